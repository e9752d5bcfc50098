#include "fescuedyke/transport/http_server.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <optional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace fescuedyke {

namespace {

/// Requests of one connection that are open at a time; more are left unread.
constexpr std::size_t most_pipelined = 32;

/// How often connections are checked for idleness and for heads that do not come.
constexpr millis sweep_period{500};

/// Unacknowledged data closes a caller's connection after this.
constexpr millis caller_unanswered{10'000};

constexpr int head_timeout_status = 408;
constexpr int unavailable_status = 503;

http_answer plain_answer(int status)
{
    http_answer answer;
    answer.status = status;
    answer.body = std::make_shared<const std::string>();
    return answer;
}

} // namespace

class http_server::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(http_server& server, std::uint64_t id, int fd)
        : server_(server), id_(id), fd_(fd), reader_(server.limits_),
          last_active_(server.loop_.now().now)
    {
        set_socket_options(fd_, caller_unanswered);
    }

    ~connection()
    {
        if (fd_ >= 0) {
            server_.loop_.unwatch(fd_);
            ::close(fd_);
        }
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start()
    {
        server_.loop_.watch(fd_, watched_, [self = shared_from_this()](std::uint32_t events) {
            self->on_ready(events);
        });
    }

    void answer(exchange_id exchange, const http_answer& a)
    {
        for (slot& s : slots_) {
            if (s.exchange == exchange && !s.bytes) {
                s.close = s.close || server_.winding_down_;
                s.bytes = answer_head(a, s.close);
                if (a.body && !s.is_head) {
                    *s.bytes += *a.body;
                }
                break;
            }
        }
        flush();
    }

    void on_sweep(instant now)
    {
        const bool idle = slots_.empty() && out_.empty();
        const bool partial = !in_.empty() || reading_;
        if (idle && !partial && now - last_active_ > server_.limits_.idle_time) {
            close();
            return;
        }
        if (reading_ && reader_.in_head() && now - began_ > server_.limits_.head_time) {
            refuse(head_timeout_status);
        }
    }

    void close()
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
        server_.drop(id_);
    }

    void close_if_idle()
    {
        if (slots_.empty() && out_.empty() && in_.empty() && !reading_) {
            close();
        }
    }

private:
    struct slot {
        exchange_id exchange;
        bool is_head = false;
        bool close = false;
        /// Bytes of the request's body, held until its answer has gone out.
        std::uint64_t held = 0;
        std::optional<std::string> bytes;
    };

    void on_ready(std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0) {
            flush();
        }
        if (fd_ >= 0 && (events & (EPOLLIN | EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
            on_readable(events);
        }
    }

    void on_readable(std::uint32_t events)
    {
        if (last_request_seen_ || slots_.size() >= most_pipelined) {
            // Nothing more is read; the end of the connection is still noticed.
            if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
                close();
            }
            return;
        }
        const socket_read got = read_some(fd_, in_);
        if (got == socket_read::ended || got == socket_read::broken) {
            close();
            return;
        }
        take_requests();
    }

    void take_requests()
    {
        while (fd_ >= 0 && !last_request_seen_ && slots_.size() < most_pipelined && !in_.empty()) {
            if (!reading_) {
                reading_ = true;
                began_ = server_.loop_.now().now;
            }
            const read_progress progress = reader_.read(in_);
            if (progress == read_progress::failed) {
                refuse(reader_.error_status());
                return;
            }
            if (!hold(reader_.body_bytes())) {
                refuse(unavailable_status);
                return;
            }
            if (progress == read_progress::more) {
                if (reader_.take_expectation() && slots_.empty()) {
                    out_ += continue_head();
                    flush();
                }
                return;
            }
            reading_ = false;
            take_one();
        }
        rewatch();
    }

    void take_one()
    {
        http_request request = reader_.take();
        slot s;
        s.exchange = exchange_id(server_.next_exchange_++);
        s.is_head = request.method == "HEAD";
        s.close = !reader_.keep_alive();
        s.held = std::exchange(reading_bytes_, 0);
        last_request_seen_ = s.close;
        slots_.push_back(s);
        server_.by_exchange_[s.exchange] = id_;
        const std::shared_ptr<connection> keep = shared_from_this();
        server_.handlers_.on_request(s.exchange, std::move(request));
    }

    /// Takes room for the body that is coming in. Returns false when there is none.
    bool hold(std::uint64_t bytes)
    {
        const std::uint64_t others = server_.held_bytes_ - reading_bytes_;
        if (bytes > reading_bytes_ && others + bytes > server_.limits_.held_bytes) {
            return false;
        }
        server_.held_bytes_ = others + bytes;
        reading_bytes_ = bytes;
        return true;
    }

    /// Ends the connection with an answer to what could not be read.
    void refuse(int status)
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

    void flush()
    {
        while (!slots_.empty() && slots_.front().bytes) {
            out_ += *slots_.front().bytes;
            server_.by_exchange_.erase(slots_.front().exchange);
            server_.held_bytes_ -= slots_.front().held;
            closing_ = closing_ || slots_.front().close;
            slots_.pop_front();
            last_active_ = server_.loop_.now().now;
            if (closing_) {
                abandon_slots();
            }
        }
        if (fd_ < 0) {
            return;
        }
        if (!send_some(fd_, out_, sent_)) {
            close();
            return;
        }
        if (sent_ == out_.size()) {
            out_.clear();
            sent_ = 0;
            if (closing_) {
                close();
                return;
            }
        }
        rewatch();
        if (!in_.empty() && !resuming_ && !last_request_seen_) {
            resume_reading();
        }
    }

    /// What was left in the buffer is read once there is room for it.
    void resume_reading()
    {
        resuming_ = true;
        server_.loop_.post([self = shared_from_this()] {
            self->resuming_ = false;
            if (self->fd_ >= 0) {
                self->take_requests();
            }
        });
    }

    void rewatch()
    {
        if (fd_ < 0) {
            return;
        }
        const bool reads = !last_request_seen_ && slots_.size() < most_pipelined;
        const std::uint32_t wanted =
            EPOLLRDHUP | (reads ? EPOLLIN : 0U) | (out_.empty() ? 0U : EPOLLOUT);
        if (wanted != watched_) {
            watched_ = wanted;
            server_.loop_.rewatch(fd_, wanted);
        }
    }

    void abandon_slots()
    {
        const std::deque<slot> open = std::exchange(slots_, {});
        for (const slot& s : open) {
            server_.held_bytes_ -= s.held;
            if (server_.by_exchange_.erase(s.exchange) > 0 && !s.bytes) {
                server_.handlers_.on_gone(s.exchange);
            }
        }
    }

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
    bool resuming_ = false;
    /// No request is taken any more.
    bool last_request_seen_ = false;
    bool closing_ = false;
    instant began_;
    instant last_active_;
};

http_server::http_server(event_loop& loop, const http_limits& limits, handlers h,
                         std::uint64_t first)
    : loop_(loop), limits_(limits), handlers_(std::move(h)), next_exchange_(first),
      alive_(std::make_shared<bool>(true))
{
}

http_server::~http_server()
{
    *alive_ = false;
    stop_listening();
    // Callers that wait are not told: their node is gone.
    handlers_.on_gone = [](exchange_id) {};
    const auto open = std::exchange(connections_, {});
    for (const auto& [id, c] : open) {
        c->close();
    }
}

absl::Status http_server::listen(const endpoint& address)
{
    if (absl::Status listening = listen_on(address, fd_); !listening.ok()) {
        return listening;
    }
    loop_.watch(fd_, EPOLLIN, [this](std::uint32_t) { accept_ready(); });
    return absl::OkStatus();
}

void http_server::accept_ready()
{
    for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const std::uint64_t id = next_connection_++;
        const auto added = std::make_shared<connection>(*this, id, fd);
        connections_[id] = added;
        added->start();
        if (!sweeping_) {
            sweeping_ = true;
            loop_.after(sweep_period, [this, alive = alive_] {
                if (*alive) {
                    sweep();
                }
            });
        }
    }
}

void http_server::sweep()
{
    sweeping_ = !connections_.empty();
    if (!sweeping_) {
        return;
    }
    loop_.after(sweep_period, [this, alive = alive_] {
        if (*alive) {
            sweep();
        }
    });
    const instant now = loop_.now().now;
    const std::map<std::uint64_t, std::shared_ptr<connection>> open = connections_;
    for (const auto& [id, c] : open) {
        c->on_sweep(now);
    }
}

void http_server::drop(std::uint64_t connection)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        // The connection's own functions are still on the stack.
        loop_.post([old = std::move(found->second)] {});
        connections_.erase(found);
    }
}

void http_server::answer(exchange_id exchange, const http_answer& a)
{
    if (!loop_.in_loop()) {
        loop_.post([this, alive = alive_, exchange, a] {
            if (*alive) {
                answer(exchange, a);
            }
        });
        return;
    }
    const auto found = by_exchange_.find(exchange);
    if (found == by_exchange_.end()) {
        return;
    }
    const auto c = connections_.find(found->second);
    assert(c != connections_.end() && "an open exchange has a connection");
    const std::shared_ptr<connection> keep = c->second;
    keep->answer(exchange, a);
}

void http_server::close_idle()
{
    const std::map<std::uint64_t, std::shared_ptr<connection>> open = connections_;
    for (const auto& [id, c] : open) {
        c->close_if_idle();
    }
}

void http_server::stop_listening()
{
    if (fd_ >= 0) {
        loop_.unwatch(fd_);
        ::close(fd_);
        fd_ = -1;
    }
}

} // namespace fescuedyke
