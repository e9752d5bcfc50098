#include "fescuedyke/transport/target_client.h"

#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/socket.h"

#include <algorithm>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

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

/// Unrepeatable requests use a kept connection only when it was in use so lately.
constexpr millis lately{1000};

} // namespace

class target_client::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(target_client& owner, endpoint address) : owner_(owner), address_(std::move(address))
    {
    }

    ~connection() { release(); }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool connect()
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

    void begin(std::uint64_t id, const target_request& request, callback done)
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
        sent_ = 0;
        answered_ = false;
        if (connected_) {
            flush();
        }
    }

    /// Forgets its request and closes.
    void cancel()
    {
        done_ = nullptr;
        close();
    }

    bool serves(const endpoint& address) const { return address_ == address; }
    bool closed() const { return fd_ < 0; }
    instant idle_until() const { return idle_until_; }
    instant last_used() const { return last_used_; }
    std::uint64_t id() const { return id_; }

private:
    void on_ready(std::uint32_t events)
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

    void flush()
    {
        const std::size_t before = sent_;
        const bool good = send_some(fd_, out_, sent_);
        progress_ = progress_ || sent_ > before;
        if (!good) {
            // What the target said before it broke off may still be there.
            if (!answered_) {
                on_readable();
            }
            if (fd_ >= 0) {
                fail(progress_ ? target_failure::lost : target_failure::never_sent);
            }
            return;
        }
        if (sent_ == out_.size()) {
            out_.clear();
            sent_ = 0;
            if (answered_) {
                rest();
            }
        }
        rewatch();
    }

    void rewatch()
    {
        const std::uint32_t wanted = EPOLLIN | (out_.empty() ? 0U : EPOLLOUT);
        if (fd_ >= 0 && wanted != watched_) {
            watched_ = wanted;
            owner_.loop_.rewatch(fd_, wanted);
        }
    }

    void on_readable()
    {
        for (;;) {
            const socket_read got = read_some(fd_, in_);
            if (got == socket_read::nothing) {
                return;
            }
            const bool expected = done_ != nullptr;
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
            if (!take_answer()) {
                return;
            }
        }
    }

    /// Returns whether more is to be read.
    bool take_answer()
    {
        while (!in_.empty()) {
            const read_progress progress = reader_.read(in_);
            if (progress == read_progress::failed) {
                fail(target_failure::truncated);
                return false;
            }
            if (progress == read_progress::more) {
                return true;
            }
            if (deliver(reader_.take())) {
                return false;
            }
            reader_.begin(request_.request->method);
        }
        return true;
    }

    void on_end()
    {
        const bool whole = reader_.head_seen() && reader_.finish();
        reusable_ = false;
        if (!whole || !deliver(reader_.take())) {
            fail(failure_now());
        }
    }

    target_failure failure_now() const
    {
        return reader_.head_seen() ? target_failure::truncated : target_failure::lost;
    }

    /// Returns false when the answer belongs to another request.
    bool deliver(http_answer answer)
    {
        if (request_.echoed) {
            const std::string* echo = find_header(answer.headers, request_.echoed->name);
            if (echo == nullptr || *echo != request_.echoed->value) {
                return false;
            }
        }
        reusable_ = reusable_ && reader_.keep_alive() && in_.empty();
        const instant now = owner_.loop_.now().now;
        const millis kept = reader_.idle_time() > millis(0) ? reader_.idle_time() : default_idle;
        idle_until_ = now + std::max(millis(0), kept - idle_margin);
        last_used_ = now;
        answered_ = true;
        const callback done = std::exchange(done_, nullptr);
        const std::uint64_t id = id_;
        const std::shared_ptr<connection> self = shared_from_this();
        if (!reusable_) {
            close();
        }
        else if (out_.empty()) {
            rest();
        }
        // A target may answer before it has read the whole request; the rest is sent all the same.
        owner_.busy_.erase(id);
        done(std::move(answer));
        return true;
    }

    void rest() { owner_.on_idle(shared_from_this()); }

    void fail(target_failure failure)
    {
        const callback done = std::exchange(done_, nullptr);
        const std::uint64_t id = id_;
        const target_request request = request_;
        const bool at_once = owner_.loop_.now().now - began_ <= stale_within;
        const bool stale =
            used_before() && at_once && !reader_.head_seen() && failure == target_failure::lost;
        close();
        if (!done) {
            return;
        }
        target_client& owner = owner_;
        owner.busy_.erase(id);
        if (stale && request.may_repeat) {
            owner.start(id, request, done, true);
            return;
        }
        done(failure);
    }

    bool used_before() const { return last_used_ != instant(); }

    void close()
    {
        if (fd_ < 0) {
            return;
        }
        const std::shared_ptr<connection> keep = shared_from_this();
        release();
        owner_.on_closed(keep);
    }

    void release()
    {
        if (fd_ >= 0) {
            owner_.loop_.unwatch(fd_);
            ::close(fd_);
            fd_ = -1;
        }
    }

    target_client& owner_;
    endpoint address_;
    int fd_ = -1;
    bool connected_ = false;
    std::uint32_t watched_ = EPOLLIN | EPOLLOUT;
    std::uint64_t id_ = 0;
    target_request request_;
    callback done_;
    answer_reader reader_;
    std::string in_;
    std::string out_;
    std::size_t sent_ = 0;
    /// Whether any byte of the request has left.
    bool progress_ = false;
    bool answered_ = false;
    bool reusable_ = true;
    instant began_;
    instant idle_until_;
    instant last_used_;
};

target_client::target_client(event_loop& loop) : loop_(loop) {}

target_client::~target_client()
{
    const auto idle = std::exchange(idle_, {});
    const auto busy = std::exchange(busy_, {});
    for (const auto& c : idle) {
        c->cancel();
    }
    for (const auto& [id, c] : busy) {
        c->cancel();
    }
}

std::shared_ptr<target_client::connection> target_client::take_idle(const target_request& request)
{
    const instant now = loop_.now().now;
    for (auto it = idle_.rbegin(); it != idle_.rend(); ++it) {
        std::shared_ptr<connection> c = *it;
        const bool fresh =
            now < c->idle_until() && (request.may_repeat || now - c->last_used() < lately);
        if (c->serves(request.address) && fresh) {
            idle_.erase(std::next(it).base());
            return c;
        }
    }
    return nullptr;
}

void target_client::send(std::uint64_t id, const target_request& request, callback done)
{
    start(id, request, std::move(done), false);
}

void target_client::start(std::uint64_t id, const target_request& request, callback done,
                          bool fresh_only)
{
    std::shared_ptr<connection> c = fresh_only ? nullptr : take_idle(request);
    if (!c) {
        c = std::make_shared<connection>(*this, request.address);
        ++connections_made_;
        if (!c->connect()) {
            loop_.post([done = std::move(done)] { done(target_failure::never_sent); });
            return;
        }
    }
    busy_[id] = c;
    c->begin(id, request, std::move(done));
}

void target_client::cancel(std::uint64_t id)
{
    const auto found = busy_.find(id);
    if (found != busy_.end()) {
        const std::shared_ptr<connection> c = std::move(found->second);
        busy_.erase(found);
        c->cancel();
    }
}

void target_client::on_idle(const std::shared_ptr<connection>& c)
{
    const instant now = loop_.now().now;
    std::vector<std::shared_ptr<connection>> old;
    for (const auto& kept : idle_) {
        if (now >= kept->idle_until()) {
            old.push_back(kept);
        }
    }
    for (const auto& kept : old) {
        kept->cancel();
    }
    idle_.push_back(c);
}

void target_client::on_closed(const std::shared_ptr<connection>& c)
{
    idle_.erase(std::remove(idle_.begin(), idle_.end(), c), idle_.end());
    loop_.post([c] {});
}

void target_client::close_idle()
{
    const auto idle = idle_;
    for (const auto& c : idle) {
        c->cancel();
    }
}

} // namespace fescuedyke
