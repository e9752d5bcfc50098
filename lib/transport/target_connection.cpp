#include "target_connection.h"

#include "fescuedyke/transport/socket.h"

#include <algorithm>
#include <unistd.h>

namespace fescuedyke {

namespace {

/// Unacknowledged data closes a connection to a target after this.
constexpr millis target_unanswered{1500};

/// How long a connection is kept when the target does not say how long it keeps it.
constexpr millis default_idle{4000};

/// Kept connections are given up this long before the target closes them.
constexpr millis idle_margin{700};

/// A kept connection that dies within this time of a request's begin had been given up by the
/// target before; later, the target may have worked on the request, and sending it again is a retry
/// that others decide on.
constexpr millis stale_within{30};

} // namespace

bool target_client::connection::connect()
{
    fd_ = start_connect(address_);
    if (fd_ < 0) {
        return false;
    }
    set_socket_options(fd_, target_unanswered);
    owner_.loop_.watch(fd_, watched_, [self = shared_from_this()](std::uint32_t events) {
        self->on_ready(events);
    });
    return true;
}

void target_client::connection::begin(std::uint64_t id, const target_request& request,
                                      callback done)
{
    id_ = id;
    began_ = owner_.loop_.now().now;
    request_ = request;
    done_ = std::move(done);
    progress_ = false;
    reader_.begin(request.request->method);
    std::vector<header> extra = request.extra_headers;
    if (find_header(request.request->headers, "host") == nullptr) {
        extra.push_back({"Host", to_string(address_)});
    }
    out_ = request_head(*request.request, extra);
    if (request.request->body) {
        out_ += *request.request->body;
    }
    if (request.request->flow) {
        pump_ =
            std::make_unique<body_pump>(request.request->flow, true, later(&connection::send_more));
    }
    sent_ = 0;
    answered_ = false;
    if (connected_) {
        flush();
    }
}

void target_client::connection::cancel()
{
    done_ = nullptr;
    close();
}

void target_client::connection::on_ready(std::uint32_t events)
{
    const std::shared_ptr<connection> keep = shared_from_this();
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

flow_signal target_client::connection::later(void (connection::*step)())
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

void target_client::connection::send_more()
{
    if (pump_ && connected_) {
        flush();
    }
}

void target_client::connection::flush()
{
    bool went = false;
    do {
        const flow_state rest = pump_ ? pump_->fill(out_) : flow_state::whole;
        const std::size_t before = sent_;
        const bool good = rest != flow_state::broken && send_some(fd_, out_, sent_);
        progress_ = progress_ || sent_ > before;
        if (!good) {
            on_broken();
            return;
        }
        if (rest == flow_state::whole) {
            pump_.reset();
        }
        if (sent_ < out_.size()) {
            break;
        }
        went = !out_.empty();
        out_.clear();
        sent_ = 0;
    } while (pump_ && went);
    if (answered_ && !incoming_ && sent_all()) {
        rest();
    }
    rewatch();
}

void target_client::connection::on_broken()
{
    // What the target said before it broke off may still be there.
    if (!answered_) {
        on_readable();
    }
    if (fd_ >= 0) {
        fail(progress_ ? target_failure::connection_lost : target_failure::never_sent);
    }
}

void target_client::connection::rewatch()
{
    const std::uint32_t reads = incoming_ && incoming_->room() == 0 ? 0U : EPOLLIN;
    const std::uint32_t wanted = reads | (out_.empty() ? 0U : EPOLLOUT);
    if (fd_ >= 0 && wanted != watched_) {
        watched_ = wanted;
        owner_.loop_.rewatch(fd_, wanted);
    }
}

void target_client::connection::on_readable()
{
    for (;;) {
        const socket_read got = read_some(fd_, in_);
        if (got == socket_read::nothing) {
            return;
        }
        const bool expected = done_ != nullptr || incoming_;
        if (!expected) {
            // Nobody asked for these bytes, or the target ends a kept connection.
            close();
            return;
        }
        if (got == socket_read::broken) {
            fail(failure_now());
            return;
        }
        if (got == socket_read::ended) {
            on_end();
            return;
        }
        if (!(incoming_ ? take_rest() : take_answer())) {
            return;
        }
    }
}

bool target_client::connection::take_rest()
{
    const read_progress progress = reader_.read(in_);
    if (progress == read_progress::failed) {
        close();
        return false;
    }
    incoming_->write(reader_.take_body_part());
    if (progress == read_progress::complete) {
        end_rest();
        return false;
    }
    rewatch();
    return incoming_->room() > 0;
}

void target_client::connection::end_rest()
{
    incoming_->finish();
    incoming_.reset();
    reusable_ = reusable_ && reader_.keep_alive() && in_.empty();
    note_kept();
    after_answer();
}

void target_client::connection::read_more()
{
    if (!incoming_) {
        return;
    }
    if (incoming_->unwanted()) {
        close();
        return;
    }
    rewatch();
    on_readable();
}

bool target_client::connection::take_answer()
{
    while (!in_.empty()) {
        const read_progress progress = reader_.read(in_);
        if (progress == read_progress::failed) {
            fail(target_failure::truncated);
            return false;
        }
        if (progress == read_progress::more) {
            return !request_.answer_may_flow || !reader_.flows() || begin_rest();
        }
        if (deliver(reader_.take())) {
            return false;
        }
        reader_.begin(request_.request->method);
    }
    return true;
}

bool target_client::connection::begin_rest()
{
    http_answer answer = reader_.take_head();
    if (!is_echoed(answer)) {
        fail(target_failure::connection_lost);
        return false;
    }
    incoming_ = std::make_unique<body_writer>(reader_.content_length());
    incoming_->on_change(later(&connection::read_more));
    answer.flow = incoming_->source();
    incoming_->write(reader_.take_body_part());
    const std::shared_ptr<connection> self = shared_from_this();
    answered_ = true;
    owner_.busy_.erase(id_);
    std::exchange(done_, nullptr)(std::move(answer));
    return fd_ >= 0 && incoming_;
}

void target_client::connection::on_end()
{
    const bool whole = reader_.head_seen() && reader_.finish();
    reusable_ = false;
    if (incoming_) {
        incoming_->write(reader_.take_body_part());
        if (whole) {
            incoming_->finish();
        }
        close();
        return;
    }
    if (!whole || !deliver(reader_.take())) {
        fail(failure_now());
    }
}

target_failure target_client::connection::failure_now() const
{
    return reader_.head_seen() ? target_failure::truncated : target_failure::connection_lost;
}

bool target_client::connection::is_echoed(const http_answer& answer) const
{
    if (!request_.echoed) {
        return true;
    }
    const std::string* echo = find_header(answer.headers, request_.echoed->name);
    return echo != nullptr && *echo == request_.echoed->value;
}

void target_client::connection::note_kept()
{
    const instant now = owner_.loop_.now().now;
    const millis kept = reader_.idle_time() > millis(0) ? reader_.idle_time() : default_idle;
    idle_until_ = now + std::max(millis(0), kept - idle_margin);
    last_used_ = now;
}

void target_client::connection::after_answer()
{
    if (!reusable_) {
        close();
    }
    else if (sent_all()) {
        rest();
    }
    // A target may answer before it has read the whole request; the rest is sent all the same.
}

bool target_client::connection::deliver(http_answer answer)
{
    if (!is_echoed(answer)) {
        return false;
    }
    reusable_ = reusable_ && reader_.keep_alive() && in_.empty();
    note_kept();
    answered_ = true;
    const callback done = std::exchange(done_, nullptr);
    const std::uint64_t id = id_;
    const std::shared_ptr<connection> self = shared_from_this();
    after_answer();
    owner_.busy_.erase(id);
    done(std::move(answer));
    return true;
}

void target_client::connection::fail(target_failure failure)
{
    const callback done = std::exchange(done_, nullptr);
    const std::uint64_t id = id_;
    const target_request request = request_;
    const bool at_once = owner_.loop_.now().now - began_ <= stale_within;
    const bool stale = used_before() && at_once && !reader_.head_seen() &&
                       failure == target_failure::connection_lost;
    close();
    if (!done) {
        return;
    }
    target_client& owner = owner_;
    owner.busy_.erase(id);
    if (stale && request.may_repeat && !request.request->flow) {
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
    const std::shared_ptr<connection> keep = shared_from_this();
    release();
    owner_.on_closed(keep);
}

void target_client::connection::release()
{
    pump_.reset();
    incoming_.reset();
    if (fd_ >= 0) {
        owner_.loop_.unwatch(fd_);
        ::close(fd_);
        fd_ = -1;
    }
}

} // namespace fescuedyke
