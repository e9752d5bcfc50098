#include "http_connection.h"

#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

/// Requests of one connection that are open at a time; more are left unread.
constexpr std::size_t most_pipelined = 32;

/// Unacknowledged data closes a caller's connection after this.
constexpr millis caller_unanswered{10'000};

constexpr int head_timeout_status = 408;
constexpr int unavailable_status = 503;

http_response plain_answer(int status)
{
    http_response answer;
    answer.status = status;
    answer.body = std::make_shared<const std::string>();
    return answer;
}

} // namespace

http_server::connection::connection(http_server& server, std::uint64_t id, int fd)
    : server_(server), id_(id), fd_(fd), reader_(server.limits_),
      last_active_(server.loop_.now().now)
{
    set_socket_options(fd_, caller_unanswered);
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
    server_.loop_.watch(fd_, watched_, [self = shared_from_this()](std::uint32_t events) {
        self->on_ready(events);
    });
}

void http_server::connection::answer(exchange_id exchange, const http_response& a)
{
    for (slot& s : slots_) {
        if (s.exchange == exchange && !s.bytes) {
            fill_slot(s, a);
            break;
        }
    }
    flush();
}

void http_server::connection::on_sweep(instant now)
{
    const bool idle = slots_.empty() && out_.empty();
    const bool partial = !in_.empty() || reading_;
    if (idle && !partial && now - last_active_ > server_.limits_.idle_time) {
        close();
        return;
    }
    if (reading_ && reader_.in_head() && now - began_ > server_.limits_.head_time) {
        refuse(head_timeout_status);
        return;
    }
    if (incoming_ && wants_bytes() && now - last_read_ > server_.limits_.idle_time) {
        close();
    }
}

void http_server::connection::close()
{
    if (fd_ < 0) {
        return;
    }
    const std::shared_ptr<connection> keep = shared_from_this();
    server_.loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
    server_.held_bytes_ -= std::exchange(reading_bytes_, 0);
    abandon_slots();
    incoming_.reset();
    server_.drop(id_);
}

void http_server::connection::close_if_idle()
{
    if (slots_.empty() && out_.empty() && in_.empty() && !reading_) {
        close();
    }
}

void http_server::connection::fill_slot(slot& s, const http_response& a)
{
    const bool up_to_end = a.body_stream && !a.body_stream->length() && !s.knows_chunks;
    s.close = s.close || server_.winding_down_ || up_to_end;
    s.bytes = answer_head(a, s.close, s.knows_chunks);
    if (a.body && !s.is_head) {
        *s.bytes += *a.body;
    }
    if (a.body_stream && !s.is_head) {
        s.rest =
            std::make_unique<body_pump>(a.body_stream, s.knows_chunks, later(&connection::flush));
    }
}

body_callback http_server::connection::later(void (connection::*step)())
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

bool http_server::connection::wants_bytes() const
{
    if (incoming_) {
        return incoming_->available_bytes() > 0;
    }
    return !last_request_seen_ && slots_.size() < most_pipelined;
}

void http_server::connection::on_ready(std::uint32_t events)
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
    if (!wants_bytes()) {
        // Nothing more is read; the end of the connection is still noticed.
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 || (!incoming_ && (events & EPOLLRDHUP) != 0)) {
            close();
        }
        return;
    }
    const socket_read got = read_some(fd_, in_);
    if (got == socket_read::ended || got == socket_read::broken) {
        close();
        return;
    }
    last_read_ = server_.loop_.now().now;
    take_requests();
}

void http_server::connection::take_requests()
{
    while (fd_ >= 0 && wants_bytes() && !in_.empty()) {
        if (incoming_) {
            if (!take_body()) {
                break;
            }
            continue;
        }
        if (!reading_) {
            reading_ = true;
            began_ = server_.loop_.now().now;
        }
        const read_progress progress = reader_.read(in_);
        if (progress == read_progress::failed) {
            refuse(reader_.error_status());
            return;
        }
        if (!hold(reader_.held_bytes())) {
            refuse(unavailable_status);
            return;
        }
        if (progress == read_progress::more) {
            if (reader_.take_expectation() && slots_.empty()) {
                out_ += continue_head();
                flush();
            }
            if (!reader_.flows()) {
                return;
            }
        }
        if (reader_.flows()) {
            begin_flow(progress);
            continue;
        }
        reading_ = false;
        hand_over(reader_.take());
    }
    rewatch();
}

void http_server::connection::begin_flow(read_progress progress)
{
    http_request request = reader_.take_head();
    incoming_ = std::make_unique<body_writer>(reader_.content_length());
    incoming_->set_change_callback(later(&connection::take_requests));
    request.body_stream = incoming_->make_reader();
    incoming_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_flow();
    }
    hand_over(std::move(request));
}

bool http_server::connection::take_body()
{
    const std::size_t before = in_.size();
    const read_progress progress = reader_.read(in_);
    if (progress == read_progress::failed) {
        break_flow(reader_.error_status());
        return false;
    }
    incoming_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_flow();
        flush();
        return true;
    }
    return in_.size() < before;
}

void http_server::connection::break_flow(int status)
{
    incoming_.reset();
    const std::shared_ptr<connection> keep = shared_from_this();
    if (slots_.empty() || slots_.back().bytes) {
        close();
        return;
    }
    last_request_seen_ = true;
    reading_ = false;
    in_.clear();
    slot& s = slots_.back();
    s.close = true;
    s.bytes = answer_head(plain_answer(status), true);
    if (server_.by_exchange_.erase(s.exchange) > 0) {
        server_.handlers_.on_gone(s.exchange);
    }
    flush();
}

void http_server::connection::end_flow()
{
    incoming_->finish();
    incoming_.reset();
    reader_.next();
    reading_ = false;
}

void http_server::connection::hand_over(http_request request)
{
    slot s;
    s.exchange = exchange_id(server_.next_exchange_++);
    s.is_head = request.method == "HEAD";
    s.close = !reader_.keep_alive();
    s.held = std::exchange(reading_bytes_, 0);
    s.knows_chunks = reader_.knows_chunks();
    last_request_seen_ = s.close;
    const exchange_id exchange = s.exchange;
    slots_.push_back(std::move(s));
    server_.by_exchange_[exchange] = id_;
    const std::shared_ptr<connection> keep = shared_from_this();
    server_.handlers_.on_request(exchange, std::move(request));
}

bool http_server::connection::hold(std::uint64_t bytes)
{
    const std::uint64_t others = server_.held_bytes_ - reading_bytes_;
    if (bytes > reading_bytes_ && others + bytes > server_.limits_.held_bytes) {
        return false;
    }
    server_.held_bytes_ = others + bytes;
    reading_bytes_ = bytes;
    return true;
}

void http_server::connection::refuse(int status)
{
    last_request_seen_ = true;
    reading_ = false;
    in_.clear();
    slot s;
    s.close = true;
    s.bytes = answer_head(plain_answer(status), true);
    slots_.push_back(std::move(s));
    flush();
}

void http_server::connection::flush()
{
    for (;;) {
        if (!take_answers() || fd_ < 0) {
            return;
        }
        if (!send_some(fd_, out_, sent_)) {
            close();
            return;
        }
        if (sent_ < out_.size()) {
            break;
        }
        const bool went = !out_.empty();
        out_.clear();
        sent_ = 0;
        if (closing_ && slots_.empty()) {
            finish_closing();
            return;
        }
        if (!went) {
            break;
        }
    }
    rewatch();
    if (!in_.empty() && !resuming_ && wants_bytes()) {
        resume_reading();
    }
}

bool http_server::connection::take_answers()
{
    while (!slots_.empty() && slots_.front().bytes) {
        slot& s = slots_.front();
        out_ += std::exchange(*s.bytes, "");
        server_.by_exchange_.erase(s.exchange);
        last_active_ = server_.loop_.now().now;
        const body_state rest = s.rest ? s.rest->fill(out_) : body_state::complete;
        if (rest == body_state::aborted) {
            // What ends early must look cut off.
            close();
            return false;
        }
        if (rest == body_state::open) {
            return true;
        }
        server_.held_bytes_ -= s.held;
        closing_ = closing_ || s.close;
        slots_.pop_front();
        if (closing_) {
            abandon_slots();
        }
    }
    return true;
}

void http_server::connection::finish_closing()
{
    if (!incoming_) {
        close();
        return;
    }
    ::shutdown(fd_, SHUT_WR);
    rewatch();
}

void http_server::connection::resume_reading()
{
    resuming_ = true;
    server_.loop_.post([self = shared_from_this()] {
        self->resuming_ = false;
        if (self->fd_ >= 0) {
            self->take_requests();
        }
    });
}

void http_server::connection::rewatch()
{
    if (fd_ < 0) {
        return;
    }
    const bool reads = wants_bytes();
    // The end of a client's bytes is only seen behind a body that waits to be read.
    const std::uint32_t ends = incoming_ && !reads ? 0U : EPOLLRDHUP;
    const std::uint32_t wanted = ends | (reads ? EPOLLIN : 0U) | (out_.empty() ? 0U : EPOLLOUT);
    if (wanted != watched_) {
        watched_ = wanted;
        server_.loop_.rewatch(fd_, wanted);
    }
}

void http_server::connection::abandon_slots()
{
    const std::deque<slot> open = std::exchange(slots_, std::deque<slot>());
    for (const slot& s : open) {
        server_.held_bytes_ -= s.held;
        if (server_.by_exchange_.erase(s.exchange) > 0 && !s.bytes) {
            server_.handlers_.on_gone(s.exchange);
        }
    }
}

} // namespace fescuedyke
