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
    void close_if_idle();
    /// Returns whether no request is open and every response was sent completely.
    bool idle() const { return pending_responses_.empty() && output_.empty() && !closing_; }
    /// Returns whether bytes of a response wait to be sent.
    bool has_unsent_bytes() const { return output_offset_ < output_.size(); }

private:
    /// The response to one request, in the order of the requests.
    struct pending_response {
        exchange_id exchange;
        bool is_head_request = false;
        /// Whether the connection is closed after this response.
        bool close = false;
        /// Bytes reserved for the body of the request until its response has been sent.
        std::uint64_t reserved_bytes = 0;
        bool accepts_chunked = true;
        /// The serialized response, without a streamed body; empty until it is known.
        std::optional<std::string> bytes;
        /// The rest of the response, if its body is streamed.
        std::unique_ptr<body_encoder> streamed_body;
    };

    void set_response(pending_response& pending, const http_response& response);
    /// Returns a callback that posts a call of \p step to the loop. The call is dropped once the
    /// connection is closed.
    body_callback make_loop_callback(void (connection::*step)());
    bool can_read_more() const;
    void on_socket_ready(std::uint32_t events);
    void on_readable(std::uint32_t events);
    void parse_requests();
    /// Dispatches a request whose body is streamed.
    void begin_streaming(read_progress progress);
    /// Parses the next part of a streamed body. Returns whether the input buffer may contain more
    /// to parse.
    bool read_streamed_body();
    /// Called when the rest of a streamed body cannot be parsed. Responds with \p status, unless
    /// the request was answered before.
    void fail_streaming(int status);
    void end_streaming();
    void dispatch(http_request request);
    /// Reserves \p bytes for the body of the current request. Returns false if this would exceed
    /// http_limits::max_buffered_bytes.
    bool reserve_buffer(std::uint64_t bytes);
    /// Responds with \p status to a request that was not accepted and closes the connection.
    void reject(int status);
    void flush();
    /// Moves the available responses, in the order of their requests, to the output buffer. Returns
    /// false if the connection had to be closed.
    bool queue_responses();
    /// Called after the last response. While the client is still sending its body, only the sending
    /// direction is shut down: closing the connection could lose the response.
    void finish_closing();
    /// Posts the parsing of the rest of the input buffer to the loop. The input stays in the buffer
    /// while too many requests are open or a streamed body has no room.
    void schedule_parsing();
    void update_watched_events();
    /// Cancels the pending requests and reports them as cut off for \p reason.
    void cancel_pending_responses(connection_end reason);

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
    instant last_read_;
    bool parsing_scheduled_ = false;
    /// Whether no further request is accepted.
    bool last_request_seen_ = false;
    bool closing_ = false;
    instant request_started_;
    instant last_active_;
};

} // namespace fescuedyke

#endif
