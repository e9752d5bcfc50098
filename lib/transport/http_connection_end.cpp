#include "http_connection.h"

#include <cassert>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

/// \file
/// The responses and the end of a connection accepted by the HTTP server.

namespace fescuedyke {

namespace {

/// Maximum time between the moment at which the caller has received everything and the end of its
/// own direction, which it closes.
constexpr millis caller_close_timeout{1000};

/// Returns whether the end of the connection is the end of the body.
bool ends_with_connection(const http_response& response, bool accepts_chunked)
{
    return response.body_stream && !response.body_stream->length() && !accepts_chunked;
}

/// Makes a later close of the socket reset the connection.
void reset_on_close(int fd)
{
    const linger no_wait{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

/// Returns the number of bytes that have arrived and were not read.
std::size_t unread_bytes(int fd)
{
    int bytes = 0;
    const bool known = ::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

/// Returns whether the peer has not acknowledged everything that was sent.
bool has_unacknowledged_bytes(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace

void http_server::connection::respond(exchange_id exchange, const http_response& response)
{
    for (pending_response& pending : pending_responses_) {
        if (pending.exchange == exchange && !pending.response) {
            set_response(pending, response);
            break;
        }
    }
    flush();
}

void http_server::connection::set_response(pending_response& pending, const http_response& response)
{
    pending.response = response;
    if (ends_with_connection(response, pending.accepts_chunked)) {
        end_after(pending);
    }
    if (response.body_stream && !pending.is_head_request) {
        pending.streamed_body = std::make_unique<body_encoder>(
            response.body_stream, pending.accepts_chunked, make_loop_callback(&connection::flush));
    }
}

void http_server::connection::end_after(pending_response& pending)
{
    assert(&pending == &pending_responses_.back() && "a request is behind the last one");
    pending.close = true;
    last_request_seen_ = true;
}

void http_server::connection::begin_drain()
{
    if (receives_request() || pending_responses_.empty() || pending_responses_.back().head_queued) {
        // The next request is the last one.
        return;
    }
    end_after(pending_responses_.back());
    update_watched_events();
}

void http_server::connection::flush()
{
    for (;;) {
        queue_responses();
        if (fd_ < 0) {
            return;
        }
        queue_continue();
        if (send_some(fd_, output_, output_offset_)) {
            close(connection_end::connection_failed);
            return;
        }
        if (output_offset_ < output_.size()) {
            break;
        }
        const bool wrote_any = !output_.empty();
        if (wrote_any) {
            last_active_ = server_.loop_.now().now;
        }
        output_.clear();
        output_offset_ = 0;
        if (closing_ && pending_responses_.empty()) {
            finish_closing();
            return;
        }
        if (!wrote_any) {
            break;
        }
    }
    update_watched_events();
    if (!input_.empty() && !parsing_scheduled_ && can_read_more()) {
        schedule_parsing();
    }
}

void http_server::connection::queue_head(pending_response& pending)
{
    const http_response& response = *pending.response;
    output_ += response_head(response, pending.close, pending.accepts_chunked);
    if (response.body && !pending.is_head_request) {
        output_ += *response.body;
    }
    pending.head_queued = true;
    body_ends_with_connection_ = ends_with_connection(response, pending.accepts_chunked);
    server_.connection_by_exchange_.erase(pending.exchange);
}

void http_server::connection::queue_responses()
{
    while (!pending_responses_.empty() && pending_responses_.front().response) {
        pending_response& pending = pending_responses_.front();
        if (!pending.head_queued) {
            queue_head(pending);
        }
        const body_state body_state =
            pending.streamed_body ? pending.streamed_body->fill(output_) : body_state::complete;
        if (body_state == body_state::aborted) {
            reset_at_end_ = body_ends_with_connection_;
            break_off();
            return;
        }
        if (body_state == body_state::open) {
            return;
        }
        server_.buffered_bytes_ -= pending.reserved_bytes;
        closing_ = pending.close;
        pending_responses_.pop_front();
        assert((!closing_ || pending_responses_.empty()) &&
               "a request is behind the last response of its connection");
    }
}

void http_server::connection::break_off()
{
    // The end of the connection lets the caller detect that the response is truncated. The bytes
    // before it are still sent: they contain earlier responses.
    const std::shared_ptr<connection> self = shared_from_this();
    last_request_seen_ = true;
    closing_ = true;
    cancel_pending_responses(connection_end::response_aborted, 0);
    incoming_body_.reset();
    request_in_progress_ = false;
    input_.clear();
}

bool http_server::connection::queue_continue()
{
    // The responses to earlier requests come first.
    const bool is_next =
        incoming_body_ ? pending_responses_.size() == 1 && !pending_responses_.front().response
                       : pending_responses_.empty();
    if (!request_in_progress_ || !is_next || !reader_.take_expect_continue()) {
        return false;
    }
    output_ += continue_response_head();
    return true;
}

void http_server::connection::close_if_idle()
{
    // A request that has arrived is served.
    if (is_idle() && unread_bytes(fd_) == 0) {
        last_request_seen_ = true;
        closing_ = true;
        finish_closing();
    }
}

void http_server::connection::finish_closing()
{
    if (!reset_at_end_) {
        ::shutdown(fd_, SHUT_WR);
    }
    sending_ended_ = true;
    closing_since_ = server_.loop_.now().now;
    update_watched_events();
}

void http_server::connection::check_closing(instant now)
{
    if (has_unacknowledged_bytes(fd_)) {
        // The caller reads slowly. TCP_USER_TIMEOUT ends the connection if it does not read at all.
        closing_since_ = now;
        return;
    }
    if (reset_at_end_) {
        close(connection_end::response_aborted);
        return;
    }
    if (now - closing_since_ > caller_close_timeout) {
        close(connection_end::last_response);
    }
}

void http_server::connection::close(connection_end reason)
{
    if (fd_ < 0) {
        return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    server_.loop_.unwatch(fd_);
    // Bytes behind the last request of the connection are not read on purpose.
    const std::size_t unread = last_request_seen_ ? 0 : unread_bytes(fd_);
    if (reset_at_end_ || (body_ends_with_connection_ && !sending_ended_)) {
        reset_on_close(fd_);
    }
    ::close(fd_);
    fd_ = -1;
    server_.buffered_bytes_ -= std::exchange(reserved_bytes_, 0);
    cancel_pending_responses(reason, unread);
    incoming_body_.reset();
    server_.remove_connection(id_);
}

void http_server::connection::cancel_pending_responses(connection_end reason,
                                                       std::size_t unread_bytes)
{
    const std::deque<pending_response> open =
        std::exchange(pending_responses_, std::deque<pending_response>());
    cut_connection cut;
    cut.reason = reason;
    cut.unsent_responses = fd_ < 0 && has_unsent_bytes() ? 1 : 0;
    cut.dropped_requests = dropped_requests_;
    cut.unparsed_bytes = input_.size() + unread_bytes;
    for (const pending_response& pending : open) {
        server_.buffered_bytes_ -= pending.reserved_bytes;
        const bool was_dispatched = server_.connection_by_exchange_.erase(pending.exchange) > 0;
        if (was_dispatched && !pending.response) {
            ++cut.open_requests;
            server_.handlers_.on_cancelled(pending.exchange);
        }
        else {
            ++cut.unsent_responses;
        }
    }
    const bool complete = cut.open_requests == 0 && cut.unsent_responses == 0 &&
                          cut.dropped_requests == 0 && cut.unparsed_bytes == 0;
    if (server_.handlers_.on_cut && !complete) {
        server_.handlers_.on_cut(cut);
    }
}

} // namespace fescuedyke
