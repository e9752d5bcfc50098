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
/// One connection of a client to an HTTP server.

namespace fescuedyke {

class http_server::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(http_server& server, std::uint64_t id, int fd);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start();
    void respond(exchange_id exchange, const http_answer& a);
    void check_timeouts(instant now);
    void close();
    void close_if_idle();

private:
    struct pending_response {
        exchange_id exchange;
        bool is_head_request = false;
        bool close = false;
        /// Bytes of the request's body, reserved_bytes until its answer has gone out.
        std::uint64_t reserved_bytes = 0;
        bool accepts_chunked = true;
        std::optional<std::string> bytes;
        /// The rest of the answer, if its body flows.
        std::unique_ptr<body_encoder> streamed_body;
    };

    void set_response(pending_response& s, const http_answer& a);
    /// Returns a signal that calls \p step from the loop.
    flow_signal make_loop_signal(void (connection::*step)());
    bool can_read_more() const;
    void on_ready(std::uint32_t events);
    void on_readable(std::uint32_t events);
    void parse_requests();
    /// Hands a request over whose body follows.
    void begin_streaming(read_progress progress);
    /// Returns whether there may be more to take from what has come.
    bool read_streamed_body();
    /// The rest of a body cannot be read. Its request is answered with \p status, unless it was
    /// answered before.
    void fail_streaming(int status);
    void end_streaming();
    void dispatch(http_request request);
    /// Takes room for the body that is coming in. Returns false when there is none.
    bool reserve_buffer(std::uint64_t bytes);
    /// Ends the connection with an answer to what could not be read.
    void reject(int status);
    void flush();
    /// Moves answers, in the order of their requests, to what is to be sent. Returns false when the
    /// connection had to be closed.
    bool queue_responses();
    /// After the last answer. A client that still sends its body would not see the answer if the
    /// connection was closed under it.
    void finish_closing();
    /// What was left in the buffer is read once there is room for it.
    void schedule_parsing();
    void update_watched_events();
    void cancel_pending_responses();

    http_server& server_;
    std::uint64_t id_;
    int fd_;
    request_reader reader_;
    std::string in_;
    std::string out_;
    std::size_t sent_ = 0;
    std::deque<pending_response> pending_responses_;
    std::uint32_t watched_events_ = EPOLLIN | EPOLLRDHUP;
    /// A request is coming in.
    bool request_in_progress_ = false;
    /// Room taken for its body.
    std::uint64_t reserved_bytes_ = 0;
    /// Takes the rest of a body that flows.
    std::unique_ptr<body_writer> incoming_body_;
    instant last_read_;
    bool parsing_scheduled_ = false;
    /// No request is taken any more.
    bool last_request_seen_ = false;
    bool closing_ = false;
    instant request_started_;
    instant last_active_;
};

} // namespace fescuedyke

#endif
