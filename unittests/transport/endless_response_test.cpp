#include "raw_socket.h"

#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/socket.h"
#include "fescuedyke/transport/target_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace fescuedyke {
namespace {

/// Stands for "without end": more than any limit on a response and all socket buffers together.
constexpr std::size_t endless_bytes = 64U << 20U;

/// Number of bytes passed to a reader or a socket at once.
constexpr std::size_t part_bytes = 16U << 10U;

constexpr timeval send_timeout{20, 0};

/// Returns \p unit repeated to about part_bytes bytes.
std::string repeat(const std::string& unit)
{
    std::string text;
    while (text.size() < part_bytes) {
        text += unit;
    }
    return text;
}

/// Feeds \p head and then \p part again and again to a reader. Returns the number of bytes after
/// which the reader failed, or endless_bytes.
std::size_t bytes_until_failure(const std::string& head, const std::string& part)
{
    response_reader reader;
    reader.begin("GET");
    std::string buffer = head;
    std::size_t bytes = head.size();
    while (bytes < endless_bytes) {
        if (reader.read(buffer) == read_progress::failed) {
            return bytes;
        }
        reader.take_body_part();
        buffer += part;
        bytes += part.size();
    }
    return endless_bytes;
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Largest number of bytes that may pass before an endless head or chunk head is given up.
constexpr std::size_t max_head_bytes = 256U << 10U;

// Guards against memory that grows without bound while a target sends a head without end.
TEST(endless_response, a_head_without_end_is_rejected)
{
    EXPECT_LT(bytes_until_failure("", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 ", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 OK\r\nA: ", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 OK\r\n", repeat("A: b\r\n")), max_head_bytes);
}

// Guards against a call that waits for its answer while interim responses arrive without end.
TEST(endless_response, interim_responses_without_end_are_rejected)
{
    EXPECT_LT(bytes_until_failure("", repeat("HTTP/1.1 102 Processing\r\n\r\n")), max_head_bytes);
}

// Guards against memory that grows without bound while a chunk has no end of its head.
TEST(endless_response, a_chunk_head_or_trailer_without_end_is_rejected)
{
    EXPECT_LT(bytes_until_failure(chunked_head, repeat("0")), max_head_bytes);
    EXPECT_LT(bytes_until_failure(chunked_head + "5;a=", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure(chunked_head + "0\r\n", repeat("A: b\r\n")), max_head_bytes);
}

// Guards against a process that ends because it reserves the length that a target declares.
TEST(endless_response, a_declared_length_reserves_no_memory)
{
    response_reader reader;
    reader.begin("GET");
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nbody";
    EXPECT_EQ(reader.read(buffer), read_progress::incomplete);
    EXPECT_TRUE(reader.is_streamed());
    EXPECT_EQ(reader.take_body_part(), "body");
}

/// A target whose connections are each served by one script, in the order in which they are
/// accepted.
class endless_target : public testing::Test {
protected:
    static constexpr std::uint16_t port = 27381;
    using script = std::function<void(raw_socket&)>;

    ~endless_target() override { join_target(); }

    void run_target(std::vector<script> scripts)
    {
        int fd = -1;
        ASSERT_TRUE(listen_on({"127.0.0.1", port}, fd).ok());
        thread_ = std::thread([this, fd, scripts = std::move(scripts)] {
            for (const script& s : scripts) {
                int accepted = -1;
                while ((accepted = ::accept(fd, nullptr, nullptr)) < 0 && !stopped_) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
                if (accepted < 0) {
                    break;
                }
                raw_socket c(accepted);
                s(c);
            }
            ::close(fd);
        });
    }

    /// Waits for the scripts to end. Those without a connection are skipped.
    void join_target()
    {
        stopped_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
        stopped_ = false;
    }

    static target_request make_request(bool may_stream = false)
    {
        auto request = std::make_shared<http_request>();
        request->method = "GET";
        request->path = "/x";
        request->headers = {{"Host", "t"}};
        target_request r;
        r.address = {"127.0.0.1", port};
        r.request = request;
        r.may_stream_response = may_stream;
        r.required_echo = header{"Id", "1"};
        return r;
    }

    /// Sends a request and runs the loop until it has ended.
    target_result send(const target_request& request)
    {
        target_result result = target_failure::never_sent;
        client_->send(++next_request_, request, [&](target_result received) {
            result = std::move(received);
            loop_.post([this] { loop_.stop(); });
        });
        loop_.run();
        loop_.clear_stop();
        return result;
    }

    /// Expects that a response that begins with \p head and goes on with \p part without end is
    /// truncated, that its connection is closed, and that the next request uses another one.
    void expect_truncated(const std::string& head, const std::string& part, bool may_stream = false)
    {
        std::atomic<bool> closed{false};
        run_target({[&](raw_socket& c) {
                        c.read_until("\r\n\r\n");
                        c.try_send(head);
                        closed = c.send_until_closed(part, endless_bytes);
                    },
                    [](raw_socket& c) {
                        c.read_until("\r\n\r\n");
                        c.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nnext");
                        c.wait_for_close();
                    }});
        const target_result first = send(make_request(may_stream));
        const target_result second = send(make_request(may_stream));
        EXPECT_TRUE(closed) << "the target could send without end";
        const auto* failure = std::get_if<target_failure>(&first);
        EXPECT_TRUE(failure != nullptr && *failure == target_failure::truncated);
        const auto* next = std::get_if<http_response>(&second);
        EXPECT_TRUE(next != nullptr && *next->body == "next");
        client_->close_idle();
        join_target();
    }

    system_clock clock_;
    event_loop loop_{clock_};
    std::unique_ptr<target_client> client_ = std::make_unique<target_client>(loop_);
    std::uint64_t next_request_ = 0;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

// Guards against a call that waits while answers to other requests arrive without end.
TEST_F(endless_target, responses_to_other_requests_without_end_are_not_read)
{
    expect_truncated("", repeat("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nlate"));
}

// Guards against memory that grows without bound while a buffered answer has no end.
TEST_F(endless_target, a_buffered_body_without_end_is_truncated)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    expect_truncated(head + "\r\n", repeat("x"));
    expect_truncated(head + "Content-Length: 1000000000000000\r\n\r\n", repeat("x"));
    expect_truncated(head + "Transfer-Encoding: chunked\r\n\r\n", repeat("4\r\nbody\r\n"));
}

// Guards against a target whose bytes keep the event loop in one connection.
TEST_F(endless_target, other_work_runs_between_the_parts_of_a_response)
{
    constexpr std::size_t body_bytes = 400U << 10U;
    std::atomic<bool> sent{false};
    run_target({[&](raw_socket& c) {
        c.read_until("\r\n\r\n");
        loop_.post([this] { loop_.stop(); });
        c.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + std::to_string(body_bytes) +
               "\r\n\r\n" + std::string(body_bytes, 'x'));
        sent = true;
        c.wait_for_close();
    }});
    bool done = false;
    client_->send(1, make_request(), [&](const target_result&) {
        done = true;
        loop_.post([this] { loop_.stop(); });
    });
    loop_.run();
    loop_.clear_stop();
    // The socket buffers usually take the whole response; the test does not depend on it.
    for (int i = 0; i < 200 && !sent; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    bool done_before_other_work = false;
    loop_.post([&] { done_before_other_work = done; });
    loop_.run();
    EXPECT_TRUE(done);
    EXPECT_FALSE(done_before_other_work);
    client_->close_idle();
}

// Guards against memory that grows without bound while a streamed answer has no end: more was read
// from the target each time than its reader had taken (issue 35, report of an answer without end).
TEST_F(endless_target, no_more_of_a_streamed_response_is_read_than_its_reader_takes)
{
    constexpr std::uint64_t bytes_to_read = 64U << 20U;
    // More than the buffers of both sockets and of the stream hold.
    constexpr std::uint64_t max_bytes_ahead = 64U << 20U;
    constexpr std::size_t bytes_at_once = 16U << 10U;
    std::atomic<std::uint64_t> sent{0};
    run_target({[&](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n");
        const std::string part(part_bytes, 'x');
        while (c.try_send(part)) {
            sent += part.size();
        }
    }});
    const target_result result = send(make_request(true));
    const auto* response = std::get_if<http_response>(&result);
    ASSERT_TRUE(response != nullptr && response->body_stream != nullptr);
    body_reader& body = *response->body_stream;
    const std::uint64_t pass = body.rewind([] {});
    std::string part(bytes_at_once, '\0');
    std::uint64_t read = 0;
    while (read < bytes_to_read && body.state(pass) == body_state::open) {
        read += body.read(pass, part.data(), part.size());
        loop_.post([this] { loop_.stop(); });
        loop_.run();
        loop_.clear_stop();
    }
    EXPECT_GE(read, bytes_to_read);
    EXPECT_LT(sent, read + max_bytes_ahead);
    client_.reset();
    join_target();
}

// Guards against a connection that outlives its client because its response is still streamed.
TEST_F(endless_target, a_streamed_response_ends_with_its_client)
{
    std::atomic<bool> closed{false};
    run_target({[&](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + std::string(600U << 10U, 'x'));
        closed = c.wait_for_close();
    }});
    const target_result result = send(make_request(true));
    const auto* response = std::get_if<http_response>(&result);
    EXPECT_TRUE(response != nullptr && response->body_stream != nullptr);
    client_.reset();
    join_target();
    EXPECT_TRUE(closed);
}

// Guards against an answer of bytes that arrived before their request was sent.
TEST_F(endless_target, a_connection_with_unread_bytes_is_not_reused)
{
    std::atomic<bool> sent{false};
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n";
    run_target({[&](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(head + "mine");
                    std::this_thread::sleep_for(std::chrono::milliseconds(100));
                    c.send(head + "none");
                    sent = true;
                    c.send_until_closed(repeat("x"), endless_bytes);
                },
                [&](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(head + "next");
                    c.wait_for_close();
                }});
    send(make_request());
    while (!sent) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const target_result second = send(make_request());
    const auto* next = std::get_if<http_response>(&second);
    EXPECT_TRUE(next != nullptr && *next->body == "next");
    client_->close_idle();
}

} // namespace
} // namespace fescuedyke
