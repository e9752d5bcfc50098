#include "raw_socket.h"

#include "fescuedyke/transport/http_server.h"
#include "fescuedyke/transport/target_client.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace fescuedyke {
namespace {

http_response make_response(const std::string& text)
{
    http_response response;
    response.status = 200;
    response.body = std::make_shared<const std::string>(text);
    return response;
}

class http_server_test : public testing::Test {
protected:
    static constexpr std::uint16_t port = 27321;

    http_server_test()
    {
        http_limits limits;
        limits.max_head_bytes = 1024;
        limits.max_body_bytes = 100'000;
        limits.max_buffered_bytes = 150'000;
        limits.head_timeout = millis(300);
        server_ = std::make_unique<http_server>(
            loop_, limits,
            http_server::handlers{[this](exchange_id e, http_request r) { on_request(e, r); },
                                  [this](exchange_id) { ++cancelled_; },
                                  [this](const cut_connection& cut) { on_cut(cut); }});
        EXPECT_TRUE(server_->listen({"127.0.0.1", port}).ok());
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~http_server_test() override
    {
        loop_.stop();
        thread_.join();
    }

    /// Responds with a description of the request. A request to `/late` is answered after the next
    /// request, one to `/never` not at all.
    void on_request(exchange_id e, const http_request& r)
    {
        ++requests_;
        std::string text = r.method + " " + r.path + "|";
        for (const header& h : r.headers) {
            text += h.name + "=" + h.value + "|";
        }
        text += *r.body;
        if (r.path == "/late") {
            deferred_.emplace_back(e, text);
            return;
        }
        if (r.path == "/never") {
            return;
        }
        server_->respond(e, make_response(text));
        for (const auto& [exchange, deferred_text] : std::exchange(deferred_, {})) {
            server_->respond(exchange, make_response(deferred_text));
        }
    }

    void on_cut(const cut_connection& cut)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cuts_.push_back(cut);
        cut_reported_.notify_all();
    }

    /// Waits for the first connection that was cut.
    cut_connection wait_for_cut()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        cut_reported_.wait_for(lock, std::chrono::seconds(20), [this] { return !cuts_.empty(); });
        return cuts_.empty() ? cut_connection{} : cuts_.front();
    }

    system_clock clock_;
    event_loop loop_{clock_};
    std::unique_ptr<http_server> server_;
    std::deque<std::pair<exchange_id, std::string>> deferred_;
    std::atomic<int> requests_{0};
    std::atomic<int> cancelled_{0};
    std::mutex mutex_;
    std::condition_variable cut_reported_;
    std::vector<cut_connection> cuts_;
    std::thread thread_;
};

TEST_F(http_server_test, responds_to_pipelined_requests_in_order)
{
    raw_socket c = raw_socket::connect(port);
    c.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string received = c.read_until("GET /two");
    EXPECT_LT(received.find("GET /late|"), received.find("GET /two|"));
}

// Guards against requests that are lost with their connection and leave no trace in the log.
TEST_F(http_server_test, reports_unanswered_requests_of_a_connection_that_ended)
{
    raw_socket c = raw_socket::connect(port);
    c.send("GET /never HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n"
           "GET /never HTTP/1.1\r\nHost: a\r\n\r\nGET /par");
    while (requests_ < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    c.close();
    const cut_connection cut = wait_for_cut();
    EXPECT_EQ(cut.reason, connection_end::client_closed);
    EXPECT_EQ(cut.open_requests, 2U);
    EXPECT_EQ(cut.unsent_responses, 1U);
    EXPECT_EQ(cut.unparsed_bytes, std::string("GET /par").size());
}

TEST_F(http_server_test, preserves_method_path_query_and_repeated_headers)
{
    raw_socket c = raw_socket::connect(port);
    c.send(
        "BREW /a%2fb//c/../d?z=1&a=%20x&z=2&flag HTTP/1.1\r\nHost: a\r\nX-T: 1\r\nX-T: 2\r\n\r\n");
    const std::string received = c.read_until("X-T=2|");
    EXPECT_NE(received.find("BREW /a%2fb//c/../d?z=1&a=%20x&z=2&flag|"), std::string::npos)
        << received;
    EXPECT_NE(received.find("X-T=1|X-T=2|"), std::string::npos) << received;
}

TEST_F(http_server_test, accepts_a_chunked_body_byte_by_byte)
{
    raw_socket c = raw_socket::connect(port);
    const std::string request = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    for (const char byte : request) {
        c.send(std::string(1, byte));
    }
    EXPECT_NE(c.read_until("hello world").find("hello world"), std::string::npos);
}

TEST_F(http_server_test, accepts_an_empty_chunked_body_byte_by_byte)
{
    raw_socket c = raw_socket::connect(port);
    for (const char byte : std::string(
             "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) {
        c.send(std::string(1, byte));
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    EXPECT_EQ(c.read_until("POST /x").substr(0, 12), "HTTP/1.1 200");
}

TEST_F(http_server_test, rejects_malformed_oversized_and_slow_requests_with_the_matching_status)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"\x16\x03\x01 no request\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", "413"},
        {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "400"},
        {"GET /slow HTTP/1.1\r\nHos", "408"},
    };
    for (const auto& [bytes, status] : cases) {
        raw_socket c = raw_socket::connect(port);
        c.send(bytes);
        const std::string received = c.read_to_end();
        EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 " + status) << bytes.substr(0, 40);
        EXPECT_NE(received.find("close"), std::string::npos);
    }
}

TEST_F(http_server_test, rejects_a_body_over_the_buffer_limit_before_it_is_received)
{
    raw_socket first = raw_socket::connect(port);
    first.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n");
    raw_socket probe = raw_socket::connect(port);
    probe.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    probe.read_until("GET /x");
    raw_socket second = raw_socket::connect(port);
    second.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n");
    EXPECT_EQ(second.read_to_end().substr(0, 12), "HTTP/1.1 503");
    first.send(std::string(90'000, 'x'));
    EXPECT_EQ(first.read_until("xxx").substr(0, 12), "HTTP/1.1 200");
    // The reserved bytes are released once the response has been sent.
    raw_socket third = raw_socket::connect(port);
    third.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" +
               std::string(90'000, 'y'));
    EXPECT_EQ(third.read_until("yyy").substr(0, 12), "HTTP/1.1 200");
}

TEST_F(http_server_test, reports_a_caller_disconnect)
{
    raw_socket c = raw_socket::connect(port);
    c.send("GET /never HTTP/1.1\r\nHost: a\r\n\r\nGET /never HTTP/1.1\r\nHost: a\r\n\r\n");
    raw_socket other = raw_socket::connect(port);
    other.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    other.read_until("GET /x");
    c.reset();
    for (int i = 0; i < 2000 && cancelled_ < 2; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(cancelled_, 2);
}

/// Runs a target on one listening socket. Each script handles one connection, in the order in which
/// they are accepted.
class target_client_test : public testing::Test {
protected:
    static constexpr std::uint16_t port = 27331;
    using script = std::function<void(raw_socket&)>;

    void run_target(std::vector<script> scripts)
    {
        int fd = -1;
        ASSERT_TRUE(listen_on({"127.0.0.1", port}, fd).ok());
        thread_ = std::thread([fd, scripts = std::move(scripts)] {
            for (const script& s : scripts) {
                int accepted = -1;
                while ((accepted = ::accept(fd, nullptr, nullptr)) < 0) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
                raw_socket c(accepted);
                s(c);
            }
            ::close(fd);
        });
    }

    ~target_client_test() override
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    target_result send(const std::string& id, bool may_resend = false, std::size_t body_bytes = 0)
    {
        auto request = std::make_shared<http_request>();
        request->method = body_bytes > 0 ? "POST" : "GET";
        request->path = "/x";
        request->headers = {{"Host", "t"}, {"Id", id}};
        request->body = std::make_shared<const std::string>(body_bytes, 'b');
        target_request r;
        r.address = {"127.0.0.1", port};
        r.request = request;
        r.may_resend = may_resend;
        r.required_echo = header{"Id", id};
        r.on_resent = [this] { ++resent_; };
        target_result result = target_failure::connection_lost;
        event_loop& loop = *loop_;
        client_->send(++next_request_, r, [&](target_result received) {
            result = std::move(received);
            loop.post([&loop] { loop.stop(); });
        });
        loop_->run();
        clear_loop_stop();
        return result;
    }

    /// Allows the stopped loop to run again. The loop cannot be replaced, because the connections
    /// of the client use it.
    void clear_loop_stop() { loop_->clear_stop(); }

    static std::string make_response_text(const std::string& id, const std::string& body,
                                          const std::string& more = "")
    {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static void expect_body(const target_result& r, const std::string& body)
    {
        const auto* a = std::get_if<http_response>(&r);
        ASSERT_NE(a, nullptr);
        EXPECT_EQ(*a->body, body);
    }

    static void expect_failure(const target_result& r, target_failure f)
    {
        const auto* failure = std::get_if<target_failure>(&r);
        ASSERT_NE(failure, nullptr);
        EXPECT_EQ(*failure, f);
    }

    system_clock clock_;
    std::unique_ptr<event_loop> loop_ = std::make_unique<event_loop>(clock_);
    std::unique_ptr<target_client> client_ = std::make_unique<target_client>(*loop_);
    std::uint64_t next_request_ = 0;
    int resent_ = 0;
    std::thread thread_;
};

TEST_F(target_client_test, a_response_to_another_request_is_ignored)
{
    run_target({[](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send(make_response_text("old", "late") + make_response_text("1", "mine"));
    }});
    expect_body(send("1"), "mine");
}

TEST_F(target_client_test, a_body_that_arrives_after_its_head_belongs_to_the_response)
{
    run_target({[](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        c.send("late");
    }});
    expect_body(send("1"), "late");
}

TEST_F(target_client_test, bytes_after_a_complete_response_belong_to_no_request)
{
    run_target({[](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(make_response_text("1", "one") + make_response_text("1", "again"));
                    c.read_to_end();
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(make_response_text("2", "two"));
                    c.read_to_end();
                }});
    expect_body(send("1"), "one");
    expect_body(send("2"), "two");
    client_->close_idle();
}

TEST_F(target_client_test, a_truncated_malformed_or_mismatched_response_is_a_failure)
{
    run_target({[](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf");
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send("HTTP/1.1 200 OK\r\nId: 2\r\n\r\nno length, reset");
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                    c.reset();
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send("HTTP/1.1 200 OK\r\nId: 3\r\n\r\nno length, ended");
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send("garbage that is no answer\r\n\r\n");
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(make_response_text("other", "not mine"));
                }});
    expect_failure(send("1"), target_failure::truncated);
    expect_failure(send("2"), target_failure::truncated);
    expect_body(send("3"), "no length, ended");
    expect_failure(send("4"), target_failure::truncated);
    expect_failure(send("5"), target_failure::connection_lost);
}

TEST_F(target_client_test, an_early_response_is_delivered_and_the_rest_of_the_request_is_sent)
{
    constexpr std::size_t body = 8U << 20U;
    std::atomic<std::size_t> read{0};
    run_target({[&](raw_socket& c) {
        // The first part of the body may arrive with the head.
        const std::string head = c.read_until("\r\n\r\n");
        read = head.size() - head.find("\r\n\r\n") - 4;
        c.send(make_response_text("1", "early", "Connection: keep-alive\r\n"));
        while (read < body) {
            const std::string more = c.read_until("b");
            if (more.empty()) {
                break;
            }
            read += static_cast<std::size_t>(std::count(more.begin(), more.end(), 'b'));
        }
        c.read_until("\r\n\r\n");
        c.send(make_response_text("2", "next"));
        c.read_to_end();
    }});
    expect_body(send("1", false, body), "early");
    // The connection is reused only after the target has read the rest of the request.
    for (int i = 0; i < 100 && read < body; ++i) {
        loop_->run_after(millis(20), [this] { loop_->stop(); });
        loop_->run();
        clear_loop_stop();
    }
    expect_body(send("2"), "next");
    client_->close_idle();
}

TEST_F(target_client_test,
       a_request_that_must_not_be_resent_is_sent_once_when_its_connection_breaks)
{
    std::atomic<int> requests{0};
    run_target({[&](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send(make_response_text("1", "one"));
        if (!c.read_until("\r\n\r\n").empty()) {
            ++requests;
        }
        c.reset();
    }});
    expect_body(send("1"), "one");
    expect_failure(send("2", false), target_failure::connection_lost);
    thread_.join();
    EXPECT_EQ(requests, 1);
}

TEST_F(target_client_test, a_request_that_may_be_resent_is_sent_again_when_its_connection_breaks)
{
    run_target({[](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(make_response_text("1", "one"));
                    c.read_until("\r\n\r\n");
                    c.reset();
                },
                [](raw_socket& c) {
                    c.read_until("\r\n\r\n");
                    c.send(make_response_text("2", "two"));
                    c.read_to_end();
                }});
    expect_body(send("1"), "one");
    EXPECT_EQ(resent_, 0);
    expect_body(send("2", true), "two");
    EXPECT_EQ(resent_, 1);
    client_->close_idle();
}

TEST_F(target_client_test, a_request_that_the_target_may_have_processed_is_not_resent_automatically)
{
    std::atomic<int> requests{0};
    run_target({[&](raw_socket& c) {
        c.read_until("\r\n\r\n");
        c.send(make_response_text("1", "one"));
        requests += c.read_until("\r\n\r\n").empty() ? 0 : 1;
        // Simulates a target that processes the request and crashes before it responds.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        c.reset();
    }});
    expect_body(send("1"), "one");
    expect_failure(send("2", true), target_failure::connection_lost);
    EXPECT_EQ(resent_, 0);
    thread_.join();
    EXPECT_EQ(requests, 1);
}

TEST_F(target_client_test, a_request_fails_as_never_sent_if_no_connection_is_established)
{
    expect_failure(send("1"), target_failure::never_sent);
}

} // namespace
} // namespace fescuedyke
