#include "fescuedyke/transport/socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuedyke {

namespace {

constexpr std::size_t read_bytes = 64U << 10U;
constexpr millis default_unanswered{5000};

/// Idle time before the first keep-alive probe, the time between two, and how many go unanswered
/// before the connection is closed.
constexpr int probe_after_s = 5;
constexpr int probe_every_s = 2;
constexpr int probes = 3;

bool make_address(const endpoint& address, sockaddr_in& out)
{
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    return ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) == 1;
}

} // namespace

void set_socket_options(int fd, millis unanswered)
{
    const int on = 1;
    const auto limit = static_cast<unsigned>(unanswered.count());
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof probe_after_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_every_s, sizeof probe_every_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

absl::Status listen_on(const endpoint& address, int& fd)
{
    sockaddr_in a{};
    if (!make_address(address, a)) {
        return absl::InvalidArgumentError("listen: '" + address.host + "' is not an IP number");
    }
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    if (!bound || ::listen(fd, SOMAXCONN) != 0) {
        ::close(fd);
        fd = -1;
        return absl::UnavailableError("listen: " + address.host + ":" +
                                      std::to_string(address.port) + ": " + std::strerror(errno));
    }
    return absl::OkStatus();
}

int start_connect(const endpoint& address)
{
    sockaddr_in a{};
    if (!make_address(address, a)) {
        return -1;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    set_socket_options(fd, default_unanswered);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    return fd;
}

socket_read read_some(int fd, std::string& buffer)
{
    std::array<char, read_bytes> part;
    const ssize_t got = ::recv(fd, part.data(), part.size(), 0);
    if (got > 0) {
        buffer.append(part.data(), static_cast<std::size_t>(got));
        return socket_read::data;
    }
    if (got == 0) {
        return socket_read::ended;
    }
    return errno == EAGAIN || errno == EINTR ? socket_read::nothing : socket_read::broken;
}

bool send_some(int fd, const std::string& bytes, std::size_t& from)
{
    while (from < bytes.size()) {
        const ssize_t sent = ::send(fd, bytes.data() + from, bytes.size() - from, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        from += static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace fescuedyke
