#include "http_connection.h"

#include <cassert>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

/// Maximum number of open requests per connection. While it is reached, no further request is read.
constexpr std::size_t max_pipelined_requests = 32;

/// Maximum time for which data sent to a caller may stay unacknowledged before the connection is
/// closed.
constexpr millis caller_ack_timeout{10'000};

/// Maximum time between the moment at which the caller has received everything and the end of its
/// own direction, which it closes.
constexpr millis caller_close_timeout{1000};

constexpr int head_timeout_status = 408;
constexpr int unavailable_status = 503;
/// The request was passed on, so the status must not promise that it did not run.
constexpr int body_timeout_status = 504;

http_response empty_response(int status)
{
    http_response response;
    response.status = status;
    response.body = std::make_shared<const std::string>();
    return response;
}

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

/// Returns whether bytes have arrived that were not read.
bool has_unread_bytes(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

/// Returns whether the peer has not acknowledged everything that was sent.
bool has_unacknowledged_bytes(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace

http_server::connection::connection(http_server& server, std::uint64_t id, int fd)
    : server_(server), id_(id), fd_(fd), reader_(server.limits_),
      last_active_(server.loop_.now().now)
{
    set_socket_options(fd_, caller_ack_timeout);
}

http_server::connection::~connection()
{
    if (fd_ >= 0) {
        server_.loop_.unwatch(fd_);
        ::close(fd_);
    }
}

void http_server::connection::start()
{
    server_.loop_.watch(fd_, watched_events_, [self = shared_from_this()](std::uint32_t events) {
        self->on_socket_ready(events);
    });
}

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

void http_server::connection::check_timeouts(instant now)
{
    if (sending_ended_ && !incoming_body_) {
        check_closing(now);
        return;
    }
    if (now - last_active_ > server_.limits_.idle_timeout) {
        close_if_idle();
    }
    if (request_in_progress_ && reader_.in_head() &&
        now - request_started_ > server_.limits_.head_timeout) {
        reject(head_timeout_status);
        return;
    }
    const bool reading = (watched_events_ & EPOLLIN) != 0;
    if (incoming_body_ && reading && now - last_read_ > server_.limits_.idle_timeout) {
        fail_streaming(body_timeout_status);
    }
}

void http_server::connection::close(connection_end reason)
{
    if (fd_ < 0) {
        return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    server_.loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
    server_.buffered_bytes_ -= std::exchange(reserved_bytes_, 0);
    cancel_pending_responses(reason);
    incoming_body_.reset();
    server_.remove_connection(id_);
}

void http_server::connection::close_if_idle()
{
    // A request that has arrived is served.
    if (is_idle() && !has_unread_bytes(fd_)) {
        last_request_seen_ = true;
        closing_ = true;
        finish_closing();
    }
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

bool http_server::connection::receives_request() const
{
    return !last_request_seen_ && !incoming_body_ && (request_in_progress_ || !input_.empty());
}

bool http_server::connection::is_idle() const
{
    return !closing_ && pending_responses_.empty() && output_.empty() && !incoming_body_ &&
           !receives_request();
}

body_callback http_server::connection::make_loop_callback(void (connection::*step)())
{
    return [self = weak_from_this(), &loop = server_.loop_, step] {
        loop.post([self, step] {
            const std::shared_ptr<connection> c = self.lock();
            if (c && c->fd_ >= 0) {
                (c.get()->*step)();
            }
        });
    };
}

bool http_server::connection::can_read_more() const
{
    if (incoming_body_) {
        return incoming_body_->available_bytes() > 0;
    }
    // The response to a client that does not accept chunks may end with the connection.
    const bool may_end_connection =
        !pending_responses_.empty() && !pending_responses_.back().accepts_chunked;
    return !last_request_seen_ && !may_end_connection &&
           pending_responses_.size() < max_pipelined_requests;
}

void http_server::connection::on_socket_ready(std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (fd_ >= 0 && (events & (EPOLLIN | EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
        on_readable(events);
    }
}

void http_server::connection::on_readable(std::uint32_t events)
{
    if (!can_read_more()) {
        // Nothing is read for now, but the end of the connection must still be detected.
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 ||
            (!incoming_body_ && (events & EPOLLRDHUP) != 0)) {
            const bool failed = (events & EPOLLERR) != 0;
            close(failed ? connection_end::connection_failed : connection_end::client_closed);
        }
        return;
    }
    const socket_read_result result = read_some(fd_, input_);
    if (result == socket_read_result::eof) {
        close(connection_end::client_closed);
        return;
    }
    if (result == socket_read_result::error) {
        close(connection_end::connection_failed);
        return;
    }
    last_read_ = server_.loop_.now().now;
    parse_requests();
}

void http_server::connection::parse_requests()
{
    while (fd_ >= 0 && can_read_more() && !input_.empty()) {
        if (incoming_body_) {
            if (!read_streamed_body()) {
                break;
            }
            continue;
        }
        if (!request_in_progress_) {
            request_in_progress_ = true;
            request_started_ = server_.loop_.now().now;
        }
        const read_progress progress = reader_.read(input_);
        if (progress == read_progress::failed) {
            reject(reader_.error_status());
            return;
        }
        if (!reserve_buffer(reader_.buffered_bytes())) {
            reject(unavailable_status);
            return;
        }
        if (progress == read_progress::incomplete) {
            if (queue_continue()) {
                flush();
            }
            if (fd_ < 0) {
                return;
            }
            if (!reader_.is_streamed()) {
                return;
            }
        }
        if (reader_.is_streamed()) {
            begin_streaming(progress);
            continue;
        }
        request_in_progress_ = false;
        dispatch(reader_.take());
    }
    update_watched_events();
}

void http_server::connection::begin_streaming(read_progress progress)
{
    http_request request = reader_.take_head();
    incoming_body_ = std::make_unique<body_writer>(reader_.content_length());
    incoming_body_->set_change_callback(make_loop_callback(&connection::parse_requests));
    request.body_stream = incoming_body_->make_reader();
    incoming_body_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_streaming();
    }
    dispatch(std::move(request));
}

bool http_server::connection::read_streamed_body()
{
    const std::size_t before = input_.size();
    const read_progress progress = reader_.read(input_);
    if (progress == read_progress::failed) {
        fail_streaming(reader_.error_status());
        return false;
    }
    incoming_body_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_streaming();
        flush();
        return true;
    }
    return input_.size() < before;
}

void http_server::connection::fail_streaming(int status)
{
    const std::shared_ptr<connection> self = shared_from_this();
    incoming_body_.reset();
    request_in_progress_ = false;
    input_.clear();
    if (pending_responses_.empty()) {
        last_request_seen_ = true;
        closing_ = true;
        flush();
        return;
    }
    // The newest request is the one whose body was being received.
    pending_response& pending = pending_responses_.back();
    end_after(pending);
    if (!pending.response) {
        pending.response = empty_response(status);
        server_.connection_by_exchange_.erase(pending.exchange);
        server_.handlers_.on_cancelled(pending.exchange);
    }
    flush();
}

void http_server::connection::end_streaming()
{
    incoming_body_->finish();
    incoming_body_.reset();
    reader_.begin_next_request();
    request_in_progress_ = false;
    last_active_ = server_.loop_.now().now;
}

void http_server::connection::dispatch(http_request request)
{
    pending_response pending;
    pending.exchange = exchange_id(server_.next_exchange_++);
    pending.is_head_request = request.method == "HEAD";
    pending.close = !reader_.keep_alive() || server_.draining_;
    pending.reserved_bytes = std::exchange(reserved_bytes_, 0);
    pending.accepts_chunked = reader_.accepts_chunked();
    last_request_seen_ = pending.close;
    const exchange_id exchange = pending.exchange;
    pending_responses_.push_back(std::move(pending));
    server_.connection_by_exchange_[exchange] = id_;
    const std::shared_ptr<connection> self = shared_from_this();
    server_.handlers_.on_request(exchange, std::move(request));
}

bool http_server::connection::reserve_buffer(std::uint64_t bytes)
{
    const std::uint64_t others = server_.buffered_bytes_ - reserved_bytes_;
    if (bytes > reserved_bytes_ && others + bytes > server_.limits_.max_buffered_bytes) {
        return false;
    }
    server_.buffered_bytes_ = others + bytes;
    reserved_bytes_ = bytes;
    return true;
}

void http_server::connection::reject(int status)
{
    last_request_seen_ = true;
    request_in_progress_ = false;
    input_.clear();
    server_.buffered_bytes_ -= std::exchange(reserved_bytes_, 0);
    pending_response pending;
    pending.close = true;
    pending.response = empty_response(status);
    pending_responses_.push_back(std::move(pending));
    flush();
}

void http_server::connection::flush()
{
    for (;;) {
        queue_responses();
        if (fd_ < 0) {
            return;
        }
        queue_continue();
        if (!send_some(fd_, output_, output_offset_)) {
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
            reset_at_end_ = ends_with_connection(*pending.response, pending.accepts_chunked);
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
    cancel_pending_responses(connection_end::response_aborted);
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
        reset_on_close(fd_);
        close(connection_end::response_aborted);
        return;
    }
    if (now - closing_since_ > caller_close_timeout) {
        close(connection_end::last_response);
    }
}

void http_server::connection::schedule_parsing()
{
    parsing_scheduled_ = true;
    server_.loop_.post([self = shared_from_this()] {
        self->parsing_scheduled_ = false;
        if (self->fd_ >= 0) {
            self->parse_requests();
        }
    });
}

void http_server::connection::update_watched_events()
{
    if (fd_ < 0) {
        return;
    }
    const bool reading = can_read_more();
    // While a body waits to be read, EPOLLRDHUP is not watched: the end of the stream is detected
    // when the bytes before it have been read.
    const std::uint32_t ends = incoming_body_ && !reading ? 0U : EPOLLRDHUP;
    const std::uint32_t wanted =
        ends | (reading ? EPOLLIN : 0U) | (output_.empty() ? 0U : EPOLLOUT);
    if (reading && (watched_events_ & EPOLLIN) == 0) {
        last_read_ = server_.loop_.now().now;
    }
    if (wanted != watched_events_) {
        watched_events_ = wanted;
        server_.loop_.update_watch(fd_, wanted);
    }
}

void http_server::connection::cancel_pending_responses(connection_end reason)
{
    const std::deque<pending_response> open =
        std::exchange(pending_responses_, std::deque<pending_response>());
    cut_connection cut;
    cut.reason = reason;
    cut.unsent_responses = fd_ < 0 && has_unsent_bytes() ? 1 : 0;
    cut.unparsed_bytes = input_.size();
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
    if (server_.handlers_.on_cut && cut.open_requests + cut.unsent_responses > 0) {
        server_.handlers_.on_cut(cut);
    }
}

} // namespace fescuedyke
