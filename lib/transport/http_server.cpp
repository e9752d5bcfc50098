#include "fescuedyke/transport/http_server.h"

#include "http_connection.h"

#include <cassert>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

/// How often connections are checked for idleness and for heads that do not come.
constexpr millis sweep_period{500};

} // namespace

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

void http_server::answer(exchange_id exchange, const http_response& a)
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
