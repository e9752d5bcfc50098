#ifndef FESCUEDYKE_UNITTESTS_RAW_SOCKET_H
#define FESCUEDYKE_UNITTESTS_RAW_SOCKET_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

/// \file
/// Blocking sockets for tests that act as a caller or a target at the byte level.

namespace fescuedyke {

/// Longer than any expected wait in these tests: it expires only if a response never arrives, or if
/// sent bytes are never read.
constexpr timeval receive_timeout{20, 0};

/// A blocking TCP socket.
class raw_socket {
public:
    explicit raw_socket(int fd) : fd_(fd)
    {
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &receive_timeout, sizeof receive_timeout);
    }
    raw_socket(raw_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    ~raw_socket() { close(); }

    static raw_socket connect(std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_port = htons(port);
        ::inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
        EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
        return raw_socket(fd);
    }

    /// Waits for the next connection on a listening socket that does not block.
    static raw_socket accept(int listening_fd)
    {
        int accepted = -1;
        while ((accepted = ::accept(listening_fd, nullptr, nullptr)) < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return raw_socket(accepted);
    }

    void send(const std::string& bytes) const
    {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    /// Reads until \p delimiter has been received, or until the peer has closed the connection.
    /// Returns all received bytes.
    std::string read_until(const std::string& delimiter)
    {
        std::array<char, 4096> chunk{};
        while (received_.find(delimiter) == std::string::npos) {
            const ssize_t received = ::recv(fd_, chunk.data(), chunk.size(), 0);
            if (received <= 0) {
                break;
            }
            received_.append(chunk.data(), static_cast<std::size_t>(received));
        }
        return std::exchange(received_, "");
    }

    /// Returns the next received bytes, or an empty string once the peer has closed the connection.
    std::string read_some()
    {
        std::string chunk(256U << 10U, '\0');
        const ssize_t received = ::recv(fd_, chunk.data(), chunk.size(), 0);
        chunk.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
        return chunk;
    }

    /// Returns whether all of \p bytes could be sent.
    bool try_send(const std::string& bytes) const
    {
        return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    /// Sends \p part again and again until \p max_bytes are sent. Returns whether the peer closed
    /// the connection before.
    bool send_until_closed(const std::string& part, std::size_t max_bytes) const
    {
        for (std::size_t sent = 0; sent < max_bytes; sent += part.size()) {
            if (::send(fd_, part.data(), part.size(), MSG_NOSIGNAL) < 0) {
                return errno != EAGAIN;
            }
        }
        return false;
    }

    /// Discards received bytes until the peer closes the connection. Returns false if it does not.
    bool wait_for_close() const
    {
        std::array<char, 4096> chunk{};
        ssize_t received = 0;
        while ((received = ::recv(fd_, chunk.data(), chunk.size(), 0)) > 0) {
        }
        return received == 0 || errno != EAGAIN;
    }

    /// Returns whether bytes or the end of the connection arrive within \p timeout.
    bool becomes_readable(std::chrono::milliseconds timeout) const
    {
        pollfd polled{fd_, POLLIN, 0};
        return ::poll(&polled, 1, static_cast<int>(timeout.count())) > 0;
    }

    /// Reads until the peer has closed the connection and returns all received bytes.
    std::string read_to_end() { return read_until("\x01never\x01"); }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    /// Ends the sending direction in order.
    void end_sending() const { ::shutdown(fd_, SHUT_WR); }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger reset_on_close{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        close();
    }

private:
    int fd_;
    std::string received_;
};

} // namespace fescuedyke

#endif
