#ifndef FESCUEDYKE_LIB_TRANSPORT_HTTP_CONNECTION_H
#define FESCUEDYKE_LIB_TRANSPORT_HTTP_CONNECTION_H

#include "fescuedyke/transport/body_pump.h"
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
    void answer(exchange_id exchange, const http_response& a);
    void on_sweep(instant now);
    void close();
    void close_if_idle();

private:
    struct slot {
        exchange_id exchange;
        bool is_head = false;
        bool close = false;
        /// Bytes of the request's body, held until its answer has gone out.
        std::uint64_t held = 0;
        bool knows_chunks = true;
        std::optional<std::string> bytes;
        /// The rest of the answer, if its body flows.
        std::unique_ptr<body_pump> rest;
    };

    void fill_slot(slot& s, const http_response& a);
    /// Returns a signal that calls \p step from the loop.
    body_callback later(void (connection::*step)());
    bool wants_bytes() const;
    void on_ready(std::uint32_t events);
    void on_readable(std::uint32_t events);
    void take_requests();
    /// Hands a request over whose body follows.
    void begin_flow(read_progress progress);
    /// Returns whether there may be more to take from what has come.
    bool take_body();
    /// The rest of a body cannot be read. Its request is answered with \p status, unless it was
    /// answered before.
    void break_flow(int status);
    void end_flow();
    void hand_over(http_request request);
    /// Takes room for the body that is coming in. Returns false when there is none.
    bool hold(std::uint64_t bytes);
    /// Ends the connection with an answer to what could not be read.
    void refuse(int status);
    void flush();
    /// Moves answers, in the order of their requests, to what is to be sent. Returns false when the
    /// connection had to be closed.
    bool take_answers();
    /// After the last answer. A client that still sends its body would not see the answer if the
    /// connection was closed under it.
    void finish_closing();
    /// What was left in the buffer is read once there is room for it.
    void resume_reading();
    void rewatch();
    void abandon_slots();

    http_server& server_;
    std::uint64_t id_;
    int fd_;
    request_reader reader_;
    std::string in_;
    std::string out_;
    std::size_t sent_ = 0;
    std::deque<slot> slots_;
    std::uint32_t watched_ = EPOLLIN | EPOLLRDHUP;
    /// A request is coming in.
    bool reading_ = false;
    /// Room taken for its body.
    std::uint64_t reading_bytes_ = 0;
    /// Takes the rest of a body that flows.
    std::unique_ptr<body_writer> incoming_;
    instant last_read_;
    bool resuming_ = false;
    /// No request is taken any more.
    bool last_request_seen_ = false;
    bool closing_ = false;
    instant began_;
    instant last_active_;
};

} // namespace fescuedyke

#endif
