#ifndef FESCUEDYKE_UNITTESTS_RAW_SOCKET_H
#define FESCUEDYKE_UNITTESTS_RAW_SOCKET_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

/// \file
/// Plain sockets for tests that play a client or a target byte by byte.

namespace fescuedyke {

/// More than any wait of these tests; reached only when an answer never comes.
constexpr timeval receive_timeout{20, 0};

/// A blocking socket, as a client or a target uses one.
class raw_socket {
public:
    explicit raw_socket(int fd) : fd_(fd)
    {
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
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

    void send(const std::string& bytes) const
    {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    /// Reads until \p mark has come or the other side has closed.
    std::string read_until(const std::string& mark)
    {
        std::array<char, 4096> part{};
        while (read_.find(mark) == std::string::npos) {
            const ssize_t got = ::recv(fd_, part.data(), part.size(), 0);
            if (got <= 0) {
                break;
            }
            read_.append(part.data(), static_cast<std::size_t>(got));
        }
        return std::exchange(read_, "");
    }

    /// Returns what is there, or nothing once the other side has closed.
    std::string read_part()
    {
        std::string part(256U << 10U, '\0');
        const ssize_t got = ::recv(fd_, part.data(), part.size(), 0);
        part.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return part;
    }

    /// Returns whether all could be sent.
    bool send_some(const std::string& bytes) const
    {
        return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    std::string read_to_end() { return read_until("\x01never\x01"); }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    /// Breaks the connection off with a reset.
    void reset()
    {
        const linger at_once{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

private:
    int fd_;
    std::string read_;
};

} // namespace fescuedyke

#endif
