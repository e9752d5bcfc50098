#include "target_connection.h"

#include <algorithm>
#include <functional>
#include <unistd.h>

namespace fescuedyke {

namespace {

/// Maximum time for which data sent to a target may stay unacknowledged before the connection is
/// closed.
constexpr millis target_ack_timeout{1500};

/// Idle timeout of a connection if the target sends no Keep-Alive timeout.
constexpr millis default_idle_timeout{4000};

/// A connection is not reused when less than this time remains until the idle timeout of the
/// target.
constexpr millis idle_margin{700};

/// If a reused connection breaks within this time after the start of a request, the target is
/// assumed to have closed it before the request arrived, so that the request may be resent here.
/// After this time, the target may have processed the request; sending it again is then a retry,
/// which is decided elsewhere.
constexpr millis stale_connection_window{30};

/// Time after the deadline of a call for which its response body may still be streamed: a response
/// that was complete at the deadline may still be on its way.
constexpr millis streamed_body_allowance{100};

/// Maximum number of reads from one connection before other work of the event loop is done.
constexpr int max_reads_per_event = 2;

/// Maximum number of bytes read for one request while its response is buffered: the response and
/// those to other requests before it.
constexpr std::uint64_t max_buffered_response_bytes = 16U << 20U;

/// Maximum number of requests with an echo that one connection carries, since it remembers them
/// all.
constexpr std::size_t max_echoes_per_connection = 1000;

std::size_t hash_of(const header& echo)
{
    return std::hash<std::string>{}(echo.value);
}

} // namespace

bool target_client::connection::connect()
{
    fd_ = start_connect(address_);
    if (fd_ < 0) {
        return false;
    }
    set_socket_options(fd_, target_ack_timeout);
    owner_.loop_.watch(fd_, watched_events_, [self = shared_from_this()](std::uint32_t events) {
        self->on_socket_ready(events);
    });
    return true;
}

void target_client::connection::start_request(std::uint64_t id, const target_request& request,
                                              callback done)
{
    request_id_ = id;
    request_started_ = owner_.loop_.now().now;
    request_ = request;
    done_ = std::move(done);
    if (request.required_echo) {
        earlier_echoes_.insert(hash_of(*request.required_echo));
        reusable_ = earlier_echoes_.size() < max_echoes_per_connection;
    }
    any_sent_ = false;
    received_bytes_ = 0;
    reader_.begin(request.request->method);
    std::vector<header> extra = request.extra_headers;
    if (find_header(request.request->headers, "host") == nullptr) {
        extra.push_back({"Host", to_string(address_)});
    }
    output_ = request_head(*request.request, extra);
    if (request.request->body) {
        output_ += *request.request->body;
    }
    if (request.request->body_stream) {
        request_body_ = std::make_unique<body_encoder>(request.request->body_stream, true,
                                                       make_loop_callback(&connection::flush_body));
    }
    output_offset_ = 0;
    response_delivered_ = false;
    if (connected_) {
        flush();
    }
}

bool target_client::connection::can_carry(const target_request& request) const
{
    return !request.required_echo || earlier_echoes_.count(hash_of(*request.required_echo)) == 0;
}

void target_client::connection::cancel()
{
    done_ = nullptr;
    close();
}

void target_client::connection::on_socket_ready(std::uint32_t events)
{
    const std::shared_ptr<connection> self = shared_from_this();
    if (!connected_ && (events & (EPOLLERR | EPOLLHUP)) != 0) {
        fail(target_failure::never_sent);
        return;
    }
    connected_ = true;
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (fd_ >= 0 && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
        on_readable();
    }
}

body_callback target_client::connection::make_loop_callback(void (connection::*step)())
{
    return [self = weak_from_this(), &loop = owner_.loop_, step] {
        loop.post([self, step] {
            const std::shared_ptr<connection> c = self.lock();
            if (c && c->fd_ >= 0) {
                (c.get()->*step)();
            }
        });
    };
}

void target_client::connection::flush_body()
{
    if (request_body_ && connected_) {
        flush();
    }
}

void target_client::connection::flush()
{
    bool wrote_any = false;
    do {
        const body_state body_state =
            request_body_ ? request_body_->fill(output_) : body_state::complete;
        const std::size_t before = output_offset_;
        const std::error_code error = body_state == body_state::aborted
                                          ? std::error_code()
                                          : send_some(fd_, output_, output_offset_);
        any_sent_ = any_sent_ || output_offset_ > before;
        if (error || body_state == body_state::aborted) {
            on_send_failure(error);
            return;
        }
        if (body_state == body_state::complete) {
            request_body_.reset();
        }
        if (output_offset_ < output_.size()) {
            break;
        }
        wrote_any = !output_.empty();
        output_.clear();
        output_offset_ = 0;
    } while (request_body_ && wrote_any);
    if (response_delivered_ && !response_body_ && request_sent()) {
        become_idle();
    }
    update_watched_events();
}

void target_client::connection::on_send_failure(std::error_code error)
{
    if (error && request_.on_failed_send) {
        request_.on_failed_send({error, received_bytes_});
    }
    was_reset_ = error && error != std::errc::broken_pipe;
    // The socket may still contain bytes that the target sent before the connection broke.
    while (!response_delivered_ && read_once()) {
    }
    if (fd_ >= 0) {
        fail(any_sent_ ? target_failure::connection_lost : target_failure::never_sent);
    }
}

void target_client::connection::update_watched_events()
{
    const std::uint32_t read_events = body_is_full() ? 0U : EPOLLIN;
    const std::uint32_t wanted = read_events | (output_.empty() ? 0U : EPOLLOUT);
    if (fd_ >= 0 && wanted != watched_events_) {
        watched_events_ = wanted;
        owner_.loop_.update_watch(fd_, wanted);
    }
}

void target_client::connection::on_readable()
{
    // The loop reports the rest again after the events of other sockets.
    for (int i = 0; i < max_reads_per_event && read_once(); ++i) {
    }
}

bool target_client::connection::read_once()
{
    const std::size_t before = input_.size();
    const socket_read_result result = read_some(fd_, input_);
    received_bytes_ += input_.size() - before;
    if (result == socket_read_result::would_block) {
        return false;
    }
    const bool expected = done_ != nullptr || response_body_;
    if (!expected) {
        // The bytes belong to no request, or the target has closed an idle connection.
        close();
        return false;
    }
    // The end of a connection after its reset does not end a response.
    if (result == socket_read_result::error || (result == socket_read_result::eof && was_reset_)) {
        fail(read_failure());
        return false;
    }
    if (result == socket_read_result::eof) {
        on_eof();
        return false;
    }
    return response_body_ ? read_streamed_body() : read_response();
}

read_progress target_client::connection::parse_input()
{
    const read_progress progress = reader_.read(input_);
    if (progress == read_progress::failed && request_.on_malformed_response) {
        request_.on_malformed_response({reader_.error(), received_bytes_});
    }
    return progress;
}

bool target_client::connection::read_streamed_body()
{
    const read_progress progress = parse_input();
    if (progress == read_progress::failed) {
        close();
        return false;
    }
    response_body_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_streaming();
        return false;
    }
    update_watched_events();
    return response_body_->available_bytes() > 0;
}

void target_client::connection::end_streaming()
{
    stop_body_timer();
    response_body_->finish();
    response_body_.reset();
    reusable_ = reusable_ && reader_.keep_alive() && input_.empty();
    reuse_or_close();
}

void target_client::connection::start_body_timer()
{
    if (!request_.time_left) {
        return;
    }
    const millis elapsed = owner_.loop_.now().now - request_started_;
    const millis remaining = *request_.time_left + streamed_body_allowance - elapsed;
    body_timer_ = owner_.loop_.run_after(remaining, [self = weak_from_this()] {
        if (const std::shared_ptr<connection> c = self.lock()) {
            c->body_timer_.reset();
            c->close();
        }
    });
}

void target_client::connection::stop_body_timer()
{
    if (body_timer_) {
        owner_.loop_.cancel(*std::exchange(body_timer_, std::nullopt));
    }
}

void target_client::connection::resume_reading()
{
    if (!response_body_) {
        return;
    }
    if (response_body_->reader_gone()) {
        close();
        return;
    }
    update_watched_events();
    if (!body_is_full()) {
        on_readable();
    }
}

bool target_client::connection::body_is_full() const
{
    return response_body_ && response_body_->available_bytes() == 0;
}

bool target_client::connection::read_response()
{
    while (!input_.empty()) {
        const read_progress progress = parse_input();
        if (progress == read_progress::failed) {
            fail(target_failure::truncated);
            return false;
        }
        if (progress == read_progress::incomplete) {
            break;
        }
        if (deliver(reader_.take())) {
            return false;
        }
        reader_.begin(request_.request->method);
    }
    if (request_.may_stream_response && reader_.is_streamed()) {
        return begin_streaming();
    }
    if (received_bytes_ > max_buffered_response_bytes) {
        fail(target_failure::truncated);
        return false;
    }
    return true;
}

bool target_client::connection::begin_streaming()
{
    http_response response = reader_.take_head();
    if (!answers_request(response)) {
        fail(target_failure::connection_lost);
        return false;
    }
    response_body_ = std::make_unique<body_writer>(reader_.content_length());
    response_body_->set_change_callback(make_loop_callback(&connection::resume_reading));
    response.body_stream = response_body_->make_reader();
    response_body_->write(reader_.take_body_part());
    const std::shared_ptr<connection> self = shared_from_this();
    start_body_timer();
    response_delivered_ = true;
    std::exchange(done_, nullptr)(std::move(response));
    return fd_ >= 0 && response_body_;
}

void target_client::connection::on_eof()
{
    const bool complete = reader_.head_complete() && reader_.finish_at_eof();
    reusable_ = false;
    if (response_body_) {
        response_body_->write(reader_.take_body_part());
        if (complete) {
            response_body_->finish();
        }
        close();
        return;
    }
    if (!complete || !deliver(reader_.take())) {
        fail(read_failure());
    }
}

target_failure target_client::connection::read_failure() const
{
    return reader_.head_complete() ? target_failure::truncated : target_failure::connection_lost;
}

bool target_client::connection::answers_request(const http_response& response) const
{
    const auto names = [&](const std::optional<header>& echo, bool required) {
        const std::string* value = echo ? find_header(response.headers, echo->name) : nullptr;
        return !echo || (value == nullptr ? !required : *value == echo->value);
    };
    return names(request_.required_echo, true) && names(request_.optional_echo, false);
}

void target_client::connection::become_idle()
{
    const instant now = owner_.loop_.now().now;
    const millis timeout = reader_.server_idle_timeout() > millis(0) ? reader_.server_idle_timeout()
                                                                     : default_idle_timeout;
    idle_deadline_ = now + std::max(millis(0), timeout - idle_margin);
    last_used_ = now;
    owner_.on_idle(shared_from_this());
}

void target_client::connection::reuse_or_close()
{
    if (!reusable_) {
        close();
    }
    else if (request_sent()) {
        become_idle();
    }
    // A target may respond before it has read the whole request; the rest of the request is still
    // sent.
}

bool target_client::connection::deliver(http_response response)
{
    if (!answers_request(response)) {
        // More copies may follow at any time.
        reusable_ = false;
        return false;
    }
    reusable_ = reusable_ && reader_.keep_alive() && input_.empty();
    response_delivered_ = true;
    const callback done = std::exchange(done_, nullptr);
    const std::shared_ptr<connection> self = shared_from_this();
    reuse_or_close();
    done(std::move(response));
    return true;
}

void target_client::connection::fail(target_failure failure)
{
    const callback done = std::exchange(done_, nullptr);
    const std::uint64_t id = request_id_;
    const target_request request = request_;
    const bool within_stale_window =
        owner_.loop_.now().now - request_started_ <= stale_connection_window;
    const bool stale = is_reused() && within_stale_window && !reader_.head_complete() &&
                       failure == target_failure::connection_lost;
    close();
    if (!done) {
        return;
    }
    target_client& owner = owner_;
    if (stale && request.may_resend && !request.request->body_stream) {
        if (request.on_resent) {
            request.on_resent();
        }
        owner.start(id, request, done, true);
        return;
    }
    done(failure);
}

void target_client::connection::close()
{
    if (fd_ < 0) {
        return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    close_socket();
    owner_.on_closed(self);
}

void target_client::connection::close_socket()
{
    stop_body_timer();
    request_body_.reset();
    response_body_.reset();
    if (fd_ >= 0) {
        owner_.loop_.unwatch(fd_);
        ::close(fd_);
        fd_ = -1;
    }
}

} // namespace fescuedyke
