#ifndef FESCUEDYKE_LIB_TRANSPORT_HTTP_CONNECTION_H
#define FESCUEDYKE_LIB_TRANSPORT_HTTP_CONNECTION_H

#include "fescuedyke/transport/body_encoder.h"
#include "fescuedyke/transport/http_server.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <sys/epoll.h>

/// \file
/// A connection accepted by the HTTP server.

namespace fescuedyke {

/// Parses the requests of one accepted connection and sends their responses in order.
class http_server::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(http_server& server, std::uint64_t id, int fd);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start();
    void respond(exchange_id exchange, const http_response& response);
    void check_timeouts(instant now);
    void close(connection_end reason);
    /// Ends the connection if it is idle and no further request has arrived.
    void close_if_idle();
    /// Decides which response is the last one of the connection.
    void begin_drain();
    /// Returns whether a request is being received or open, or bytes of a response wait to be
    /// passed to the socket.
    bool has_open_requests() const;
    /// Returns whether there is no open request and the connection is not being closed.
    bool is_idle() const { return !closing_ && !has_open_requests(); }
    /// Returns whether bytes of a response wait to be sent.
    bool has_unsent_bytes() const { return output_offset_ < output_.size(); }

private:
    /// The response to one request, in the order of the requests.
    struct pending_response {
        exchange_id exchange;
        bool is_head_request = false;
        /// Whether this is the last response of its connection. No request behind it is passed on.
        bool close = false;
        /// Bytes reserved for the body of the request until its response has been sent.
        std::uint64_t reserved_bytes = 0;
        bool accepts_chunked = true;
        /// The response; empty until it is known.
        std::optional<http_response> response;
        /// Whether the head of the response was moved to the output buffer.
        bool head_queued = false;
        /// The rest of the response, if its body is streamed.
        std::unique_ptr<body_encoder> streamed_body;
    };

    void set_response(pending_response& pending, const http_response& response);
    /// Makes \p pending, which must be the newest, the last response of the connection.
    void end_after(pending_response& pending);
    /// Returns a callback that posts a call of \p step to the loop. The call is dropped once the
    /// connection is closed.
    body_callback make_loop_callback(void (connection::*step)());
    bool can_read_more() const;
    /// Returns whether bytes of a request that was not passed on yet were received.
    bool receives_request() const;
    void on_socket_ready(std::uint32_t events);
    void on_readable(std::uint32_t events);
    void parse_requests();
    /// Dispatches a request whose body is streamed.
    void begin_streaming(read_progress progress);
    /// Parses the next part of a streamed body. Returns whether the input buffer may contain more
    /// to parse.
    bool read_streamed_body();
    /// Called when the rest of a streamed body cannot be read. Responds with \p status, unless the
    /// request was answered before, and makes this response the last one of the connection.
    void fail_streaming(int status);
    void end_streaming();
    /// Passes a request on, or closes the connection if the request needs a caller that is gone.
    void dispatch(http_request request);
    /// Reserves \p bytes for the body of the current request. Returns false if this would exceed
    /// http_limits::max_buffered_bytes.
    bool reserve_buffer(std::uint64_t bytes);
    /// Responds with \p status to a request that was not accepted and closes the connection.
    void reject(int status);
    void flush();
    void queue_head(pending_response& pending);
    /// Moves the available responses, in the order of their requests, to the output buffer.
    void queue_responses();
    /// Called when the source of a streamed response body broke off. Cancels the requests behind it
    /// and ends the connection once the queued bytes are sent.
    void break_off();
    /// Queues a 100 (Continue) response if the client of the request that is being received expects
    /// one and earlier requests are answered. Returns whether it did.
    bool queue_continue();
    /// Called after the last response. Shuts down the sending direction and waits for the caller to
    /// close its own: closing the connection while bytes of a further request arrive would reset
    /// it, and the caller could lose the response. Further requests are not read.
    void finish_closing();
    /// Closes the connection if the caller, which has received everything, does not close it.
    void check_closing(instant now);
    /// Posts the parsing of the rest of the input buffer to the loop. The input stays in the buffer
    /// while too many requests are open, one that may end the connection is open, or a streamed
    /// body has no room.
    void schedule_parsing();
    void update_watched_events();
    /// Cancels the pending requests and reports them as cut off for \p reason, with the number of
    /// bytes that were left in the socket.
    void cancel_pending_responses(connection_end reason, std::size_t unread_bytes);

    http_server& server_;
    std::uint64_t id_;
    int fd_;
    request_reader reader_;
    std::string input_;
    /// Bytes to send; those before \c output_offset_ have been sent.
    std::string output_;
    std::size_t output_offset_ = 0;
    std::deque<pending_response> pending_responses_;
    std::uint32_t watched_events_ = EPOLLIN | EPOLLRDHUP;
    /// Whether a request is being received.
    bool request_in_progress_ = false;
    /// Bytes reserved for the body of the request that is being received.
    std::uint64_t reserved_bytes_ = 0;
    /// Receives the rest of a streamed body.
    std::unique_ptr<body_writer> incoming_body_;
    /// When bytes were last read, or reading was resumed after a time without room for them.
    instant last_read_;
    bool parsing_scheduled_ = false;
    /// Whether the end of the connection has arrived, although bytes before it may be unread.
    bool caller_gone_ = false;
    /// Requests that were not passed on, because they need the caller.
    std::size_t dropped_requests_ = 0;
    /// Whether no further request is accepted.
    bool last_request_seen_ = false;
    /// Whether nothing is sent behind the bytes that are queued.
    bool closing_ = false;
    /// Whether all bytes were passed to the socket and no more will be.
    bool sending_ended_ = false;
    /// Whether the end of the connection ends the body of the last response.
    bool body_ends_with_connection_ = false;
    /// Whether a reset ends the connection: such a body broke off and must not look complete.
    bool reset_at_end_ = false;
    /// When the caller was last known not to have received everything.
    instant closing_since_;
    instant request_started_;
    /// When the last response was sent or the last streamed body was received, whichever is later.
    instant last_active_;
};

} // namespace fescuedyke

#endif
