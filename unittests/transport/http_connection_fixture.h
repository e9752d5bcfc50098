#ifndef FESCUEDYKE_UNITTESTS_TRANSPORT_HTTP_CONNECTION_FIXTURE_H
#define FESCUEDYKE_UNITTESTS_TRANSPORT_HTTP_CONNECTION_FIXTURE_H

#include "fescuedyke/call/body_stream.h"
#include "fescuedyke/transport/http_server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// \file
/// Tests of the ends of connections run the HTTP server in the thread of the test.

namespace fescuedyke {

constexpr std::uint16_t connection_end_port = 27391;

/// A receive buffer that is much smaller than the responses of these tests.
constexpr int small_receive_buffer = 64 << 10;
constexpr std::size_t long_body_bytes = 8U << 20U;

/// Returns the socket of this process that a listener on \p port has accepted, or -1.
inline int accepted_socket(std::uint16_t port)
{
    constexpr int max_descriptors = 1024;
    for (int fd = 0; fd < max_descriptors; ++fd) {
        sockaddr_in local{};
        sockaddr_in remote{};
        socklen_t local_length = sizeof local;
        socklen_t remote_length = sizeof remote;
        if (::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_length) == 0 &&
            ::getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &remote_length) == 0 &&
            local.sin_family == AF_INET && ntohs(local.sin_port) == port) {
            return fd;
        }
    }
    return -1;
}

/// Returns how many bytes have arrived at \p fd and have not been read.
inline int unread_bytes(int fd)
{
    int count = 0;
    EXPECT_EQ(::ioctl(fd, FIONREAD, &count), 0);
    return count;
}

/// A clock that only the test advances.
class manual_clock final : public clock {
public:
    moment read() const override
    {
        if (watched_fd_ >= 0 && unread_bytes(watched_fd_) == 0) {
            watched_fd_ = -1;
            reaction_();
        }
        return now_;
    }
    void advance(millis duration)
    {
        now_.now = now_.now + duration;
        now_.wall = now_.wall + duration;
    }

    /// Calls \p reaction once, when the clock is read while the socket \p fd holds no unread byte:
    /// between a read of all its bytes and their use.
    void react_when_read(int fd, std::function<void()> reaction)
    {
        watched_fd_ = fd;
        reaction_ = std::move(reaction);
    }
    bool has_reacted() const { return reaction_ && watched_fd_ < 0; }

private:
    moment now_{instant(1'000'000), wall_time(1'000'000)};
    mutable int watched_fd_ = -1;
    std::function<void()> reaction_;
};

/// A caller whose socket never blocks.
class caller {
public:
    explicit caller(int receive_buffer = 0) : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receive_buffer > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_port = htons(connection_end_port);
        ::inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
        EXPECT_EQ(::connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    }
    ~caller() { close(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Sends as many of the bytes as the socket accepts and returns their number.
    std::size_t send(const std::string& bytes) const
    {
        const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /// Reads at most \p max_bytes of what has arrived.
    void receive(std::size_t max_bytes)
    {
        std::string chunk(max_bytes, '\0');
        if (ended_ || failed_) {
            return;
        }
        const ssize_t count = ::recv(fd_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            received_.append(chunk, 0, static_cast<std::size_t>(count));
            return;
        }
        ended_ = count == 0;
        failed_ = count < 0 && errno != EAGAIN;
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger reset_on_close{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        close();
    }

    const std::string& received() const { return received_; }
    /// Returns whether the server ended the stream without a reset.
    bool ended() const { return ended_; }
    /// Returns whether the connection was reset.
    bool failed() const { return failed_; }

private:
    int fd_;
    std::string received_;
    bool ended_ = false;
    bool failed_ = false;
};

constexpr const char* close_header = "Connection: close";

/// Path of requests that do not need their caller.
constexpr const char* report_path = "/report";

/// Runs the server in the thread of the test, one iteration of the event loop at a time.
class http_connection_end : public testing::Test {
protected:
    http_connection_end()
    {
        http_limits limits;
        limits.stream_long_bodies = true;
        server_ = std::make_unique<http_server>(
            loop_, limits,
            http_server::handlers{[this](exchange_id e, const http_request& r) {
                                      requests_[r.path] = {e, r};
                                  },
                                  [this](exchange_id e) {
                                      cancelled_.push_back(e);
                                      on_cancelled(e);
                                  },
                                  nullptr,
                                  [](const http_request& r) { return r.path != report_path; }});
        EXPECT_TRUE(server_->listen({"127.0.0.1", connection_end_port}).ok());
    }

    /// Called when the server reports a cancelled request.
    virtual void on_cancelled(exchange_id) {}

    static std::string get(const std::string& path, const std::string& more_headers = "")
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + more_headers + "\r\n";
    }

    static std::size_t count_of(const std::string& text, const std::string& part)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1)) {
            ++count;
        }
        return count;
    }

    void turn(int iterations = 1)
    {
        for (int i = 0; i < iterations; ++i) {
            loop_.post([this] { loop_.stop(); });
            loop_.run();
            loop_.clear_stop();
        }
    }

    /// Runs the loop until \p condition is met. Its limit only ends a test that fails.
    template <class Condition> bool turn_until(const Condition& condition)
    {
        for (int i = 0; i < 10'000 && !condition(); ++i) {
            turn();
            if (i > 1000) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        return condition();
    }

    /// Runs the loop long enough for everything that was sent to be handled.
    void settle()
    {
        turn(3);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        turn(10);
    }

    bool wait_for_requests(std::size_t count)
    {
        return turn_until([&] { return requests_.size() >= count; });
    }

    void answer(const std::string& path, const std::string& body)
    {
        http_response response;
        response.status = 200;
        response.body = std::make_shared<const std::string>(body);
        server_->respond(requests_[path].exchange, response);
    }

    /// Answers with a body of unknown length.
    std::unique_ptr<body_writer> answer_streamed(const std::string& path)
    {
        auto writer = std::make_unique<body_writer>(std::nullopt);
        http_response response;
        response.status = 200;
        response.body_stream = writer->make_reader();
        server_->respond(requests_[path].exchange, response);
        return writer;
    }

    /// Lets the caller read, \p bytes_per_turn at a time, until \p condition is met or the
    /// connection ends.
    template <class Condition>
    bool receive_until(caller& c, const Condition& condition,
                       std::size_t bytes_per_turn = 64U << 10U)
    {
        turn_until([&] {
            c.receive(bytes_per_turn);
            return c.ended() || c.failed() || condition();
        });
        return condition();
    }

    bool receive_text(caller& c, const std::string& text)
    {
        // Only the newest bytes are searched, because some responses are long.
        constexpr std::size_t searched_bytes = 256U << 10U;
        return receive_until(c, [&] {
            const std::size_t size = c.received().size();
            const std::size_t from = size > searched_bytes ? size - searched_bytes : 0;
            return c.received().find(text, from) != std::string::npos;
        });
    }

    void receive_to_end(caller& c)
    {
        receive_until(c, [] { return false; });
    }

    /// Advances the clock in steps in which the server checks its timeouts.
    void pass_time(millis duration)
    {
        constexpr millis step{500};
        for (millis passed; passed < duration; passed += step) {
            clock_.advance(step);
            turn();
        }
    }

    struct received_request {
        exchange_id exchange;
        http_request request;
    };

    manual_clock clock_;
    event_loop loop_{clock_};
    std::unique_ptr<http_server> server_;
    std::map<std::string, received_request> requests_;
    std::vector<exchange_id> cancelled_;
};

} // namespace fescuedyke

#endif
