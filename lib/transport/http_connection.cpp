#include "http_connection.h"

#include <unistd.h>
#include <utility>

/// \file
/// The requests of a connection accepted by the HTTP server.

namespace fescuedyke {

namespace {

/// Maximum number of open requests per connection. While it is reached, no further request is read.
constexpr std::size_t max_pipelined_requests = 32;

/// Maximum time for which data sent to a caller may stay unacknowledged before the connection is
/// closed.
constexpr millis caller_ack_timeout{10'000};

constexpr int request_timeout_status = 408;
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
        reject(request_timeout_status);
        return;
    }
    const bool reading = (watched_events_ & EPOLLIN) != 0;
    if (!reading || now - last_read_ <= server_.limits_.idle_timeout) {
        return;
    }
    if (incoming_body_) {
        fail_streaming(body_timeout_status);
    }
    else if (request_in_progress_ && !reader_.in_head()) {
        reject(request_timeout_status);
    }
}

bool http_server::connection::receives_request() const
{
    return !last_request_seen_ && !incoming_body_ && (request_in_progress_ || !input_.empty());
}

bool http_server::connection::has_open_requests() const
{
    return !pending_responses_.empty() || !output_.empty() || incoming_body_ || receives_request();
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
    // The end of the connection is reported before the bytes in front of it are read.
    caller_gone_ = caller_gone_ || (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
    if (caller_gone_ && (incoming_body_ || !can_read_more())) {
        const bool failed = (events & EPOLLERR) != 0;
        close(failed ? connection_end::connection_failed : connection_end::client_closed);
        return;
    }
    if (!can_read_more()) {
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
    const auto& needs_caller = server_.handlers_.needs_caller;
    // The end may have arrived since the events were reported, behind the bytes that were read.
    if (needs_caller && needs_caller(request) && (caller_gone_ || has_ended(fd_))) {
        ++dropped_requests_;
        close(connection_end::client_closed);
        return;
    }
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
    const std::uint32_t wanted =
        EPOLLRDHUP | (reading ? EPOLLIN : 0U) | (output_.empty() ? 0U : EPOLLOUT);
    if (reading && (watched_events_ & EPOLLIN) == 0) {
        last_read_ = server_.loop_.now().now;
    }
    if (wanted != watched_events_) {
        watched_events_ = wanted;
        server_.loop_.update_watch(fd_, wanted);
    }
}

} // namespace fescuedyke
