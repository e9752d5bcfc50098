#ifndef FESCUEDYKE_LIB_TRANSPORT_TARGET_CONNECTION_H
#define FESCUEDYKE_LIB_TRANSPORT_TARGET_CONNECTION_H

#include "fescuedyke/transport/body_encoder.h"
#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/socket.h"
#include "fescuedyke/transport/target_client.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/epoll.h>
#include <system_error>
#include <unordered_set>
#include <utility>

/// \file
/// A persistent connection to a target.

namespace fescuedyke {

/// Sends one request at a time to a target and parses its response.
class target_client::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(target_client& owner, endpoint address) : owner_(owner), address_(std::move(address))
    {
    }
    ~connection() { close_socket(); }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool connect();
    void start_request(std::uint64_t id, const target_request& request, callback done);
    /// Cancels the current request without calling its callback, and closes the connection.
    void cancel();
    bool connects_to(const endpoint& address) const { return address_ == address; }
    bool closed() const { return fd_ < 0; }
    /// Returns whether nothing has arrived on the idle connection, so that what arrives next
    /// belongs to the next request.
    bool quiet() const { return is_quiet(fd_); }
    /// Returns whether a response to \p request can be told apart from copies of the responses to
    /// the requests before it: an earlier attempt of the same request has the same echo.
    bool can_carry(const target_request& request) const;
    instant idle_deadline() const { return idle_deadline_; }
    instant last_used() const { return last_used_; }
    std::uint64_t id() const { return request_id_; }

private:
    void on_socket_ready(std::uint32_t events);
    /// Returns a callback that posts a call of \p step to the loop. The call is dropped once the
    /// connection is closed.
    body_callback make_loop_callback(void (connection::*step)());
    void flush_body();
    /// Returns whether the whole request has been sent.
    bool request_sent() const { return output_.empty() && !request_body_; }

    void flush();
    /// Called when the rest of the request cannot be sent: the connection failed with \p error, or,
    /// without an error, the body of the request was aborted.
    void on_send_failure(std::error_code error);
    void update_watched_events();
    void on_readable();
    /// Reads once from the socket. Returns whether more may be read at once.
    bool read_once();
    /// Parses the next part of a streamed body. Returns whether to read on at once.
    bool read_streamed_body();
    void end_streaming();
    /// Limits the time for which the response body may be streamed.
    void start_body_timer();
    void stop_body_timer();
    void resume_reading();
    /// Returns whether no more of a streamed response may be read until its reader has taken some.
    bool body_is_full() const;
    /// Parses the response. Returns whether to read on at once.
    bool read_response();
    /// Delivers a response whose body is streamed. Returns whether to read on at once.
    bool begin_streaming();
    /// Parses the received bytes. Reports bytes that are no response.
    read_progress parse_input();
    void on_eof();
    target_failure read_failure() const;
    /// Returns whether \p response has the echo headers of the current request.
    bool answers_request(const http_response& response) const;
    void reuse_or_close();
    /// Delivers a complete response. Returns false if it belongs to another request.
    bool deliver(http_response response);
    /// Makes the connection available for the next request, from now until its idle deadline.
    void become_idle();

    void fail(target_failure failure);
    /// Returns whether the connection has served an earlier request.
    bool is_reused() const { return last_used_ != instant(); }

    void close();
    void close_socket();

    target_client& owner_;
    endpoint address_;
    int fd_ = -1;
    bool connected_ = false;
    std::uint32_t watched_events_ = EPOLLIN | EPOLLOUT;
    std::uint64_t request_id_ = 0;
    target_request request_;
    callback done_;
    response_reader reader_;
    /// The streamed bodies of the request and of the response.
    std::unique_ptr<body_encoder> request_body_;
    std::unique_ptr<body_writer> response_body_;
    std::string input_;
    /// Bytes received since the current request was started.
    std::uint64_t received_bytes_ = 0;
    /// Bytes to send; those before \c output_offset_ have been sent.
    std::string output_;
    std::size_t output_offset_ = 0;
    /// Whether a send reported that the connection failed before the target had ended it.
    bool was_reset_ = false;
    /// Whether any byte of the request has been sent.
    bool any_sent_ = false;
    /// Closes the connection if the response body is still streamed at the deadline.
    std::optional<timer_id> body_timer_;
    bool response_delivered_ = false;
    bool reusable_ = true;
    /// Hashes of the echo headers that were required of earlier responses.
    std::unordered_set<std::size_t> earlier_echoes_;
    instant request_started_;
    instant idle_deadline_;
    instant last_used_;
};

} // namespace fescuedyke

#endif
