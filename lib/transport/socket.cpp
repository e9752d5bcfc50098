#include "fescuedyke/transport/socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuedyke {

namespace {

/// Maximum number of bytes received by one call of read_some().
constexpr std::size_t max_read_bytes = 64U << 10U;
/// Maximum time for which sent data may stay unacknowledged on a new connection, until its owner
/// sets another limit.
constexpr millis default_ack_timeout{5000};

/// Idle time before the first TCP keep-alive probe, time between two probes, and number of
/// unanswered probes after which the connection is closed.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 3;

bool make_address(const endpoint& address, sockaddr_in& out)
{
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    return ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) == 1;
}

} // namespace

void set_socket_options(int fd, millis ack_timeout)
{
    const int on = 1;
    const auto limit = static_cast<unsigned>(ack_timeout.count());
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s, sizeof keepalive_idle_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                 sizeof keepalive_interval_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes, sizeof keepalive_probes);
}

absl::Status listen_on(const endpoint& address, int& fd)
{
    sockaddr_in a{};
    if (!make_address(address, a)) {
        return absl::InvalidArgumentError("listen: '" + address.host + "' is not an IPv4 address");
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
    set_socket_options(fd, default_ack_timeout);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    return fd;
}

socket_read_result read_some(int fd, std::string& buffer)
{
    std::array<char, max_read_bytes> chunk;
    const ssize_t received = ::recv(fd, chunk.data(), chunk.size(), 0);
    if (received > 0) {
        buffer.append(chunk.data(), static_cast<std::size_t>(received));
        return socket_read_result::data;
    }
    if (received == 0) {
        return socket_read_result::eof;
    }
    return errno == EAGAIN || errno == EINTR ? socket_read_result::would_block
                                             : socket_read_result::error;
}

bool is_quiet(int fd)
{
    char byte = 0;
    return ::recv(fd, &byte, sizeof byte, MSG_PEEK) < 0 && errno == EAGAIN;
}

bool has_ended(int fd)
{
    pollfd polled{fd, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0;
}

std::error_code send_some(int fd, const std::string& bytes, std::size_t& offset)
{
    while (offset < bytes.size()) {
        const ssize_t sent = ::send(fd, bytes.data() + offset, bytes.size() - offset, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR
                       ? std::error_code()
                       : std::error_code(errno, std::generic_category());
        }
        offset += static_cast<std::size_t>(sent);
    }
    return {};
}

} // namespace fescuedyke
