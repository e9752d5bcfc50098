#include "fescuedyke/transport/connection_listener.h"

#include "fescuedyke/transport/socket.h"

#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

/// Time after which a connection that could not be accepted is tried again.
constexpr millis accept_retry_delay{50};

} // namespace

connection_listener::connection_listener(event_loop& loop, std::function<void(int)> on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted))
{
}

absl::Status connection_listener::listen(const endpoint& address)
{
    if (absl::Status listening = listen_on(address, fd_); !listening.ok()) {
        return listening;
    }
    watch();
    return absl::OkStatus();
}

void connection_listener::stop()
{
    if (fd_ < 0) {
        return;
    }
    if (retry_timer_) {
        loop_.cancel(*std::exchange(retry_timer_, std::nullopt));
    }
    else {
        loop_.unwatch(fd_);
    }
    ::close(std::exchange(fd_, -1));
}

void connection_listener::watch()
{
    loop_.watch(fd_, EPOLLIN, [this](std::uint32_t) { accept_connections(); });
}

void connection_listener::accept_connections()
{
    while (fd_ >= 0 && !retry_timer_) {
        const int accepted = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            on_accepted_(accepted);
            continue;
        }
        if (errno == EAGAIN) {
            return;
        }
        const bool only_this_one = errno == ECONNABORTED || errno == EINTR || errno == EPROTO;
        if (!only_this_one) {
            pause();
        }
    }
}

void connection_listener::pause()
{
    // The socket would be reported as readable in every iteration of the loop.
    ++failed_accepts_;
    loop_.unwatch(fd_);
    retry_timer_ = loop_.run_after(accept_retry_delay, [this] {
        retry_timer_.reset();
        watch();
        accept_connections();
    });
}

} // namespace fescuedyke
