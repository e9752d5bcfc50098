#include "fescuedyke/daemon/traffic_runtime.h"

#include "transport/raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

namespace fescuedyke {
namespace {

constexpr std::uint16_t own_caller_port = 27361;
constexpr std::uint16_t own_peer_port = 27362;
constexpr std::uint16_t other_caller_port = 27363;
constexpr std::uint16_t other_peer_port = 27364;
constexpr std::uint16_t target_port = 27365;

/// More than the sockets of a connection buffer.
constexpr std::size_t long_body_bytes = 24U << 20U;

/// Longer than any expected wait: a stop does not end earlier because of it.
constexpr millis long_wait{20'000};

/// Time in which a stop that does not wait for unsent responses would end.
constexpr std::chrono::milliseconds end_time{400};

const service_name service("s");

/// Runs an event loop in a thread.
class loop_thread {
public:
    explicit loop_thread(std::function<void()> at_end) : at_end_(std::move(at_end)) {}
    ~loop_thread() { join(); }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    event_loop& loop() { return loop_; }
    void start()
    {
        thread_ = std::thread([this] {
            loop_.run();
            at_end_();
        });
    }
    /// Calls \p work in the loop and waits for it.
    void run(const std::function<void()>& work)
    {
        std::promise<void> done;
        loop_.post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }
    void join()
    {
        loop_.stop();
        wait();
    }
    void wait()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    system_clock clock_;
    event_loop loop_{clock_};
    std::function<void()> at_end_;
    std::thread thread_;
};

/// A target that answers `/hold` when it is told to, `/long` with a long body, and every other
/// request at once.
class test_target {
public:
    test_target()
    {
        http_ = std::make_unique<http_server>(
            thread_.loop(), http_limits{},
            http_server::handlers{
                [this](exchange_id e, const http_request& r) { on_request(e, r); },
                [](exchange_id) {}});
        EXPECT_TRUE(http_->listen({"127.0.0.1", target_port}).ok());
        thread_.start();
    }

    int requests() const { return requests_; }
    void wait_for_requests(int count) const
    {
        while (requests_ < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    void release()
    {
        thread_.run([this] { http_->respond(held_, make_response("held")); });
    }

private:
    static http_response make_response(const std::string& text)
    {
        http_response response;
        response.status = 200;
        response.body = std::make_shared<const std::string>(text);
        return response;
    }
    void on_request(exchange_id e, const http_request& r)
    {
        ++requests_;
        if (r.path == "/hold") {
            held_ = e;
            return;
        }
        const bool is_long = r.path == "/long";
        http_->respond(e, make_response(is_long ? std::string(long_body_bytes, 'x') : "at once"));
    }

    std::atomic<int> requests_{0};
    exchange_id held_;
    std::unique_ptr<http_server> http_;
    loop_thread thread_{[this] { http_.reset(); }};
};

/// A node that passes the requests of callers on with the parameters of a route. Once its stop has
/// ended, it is destroyed, as at the end of its process.
class test_node {
public:
    test_node(const std::string& name, std::uint16_t caller_port, std::uint16_t peer_port)
    {
        http_limits limits;
        limits.stream_long_bodies = true;
        http_ = std::make_unique<http_server>(
            thread_.loop(), limits,
            http_server::handlers{
                [this](exchange_id e, const http_request& r) { on_request(e, r); },
                [this](exchange_id e) { runtime_->handle(caller_disconnected{e}); }});
        node_settings settings;
        settings.self = instance_id(name);
        settings.address = {"127.0.0.1", peer_port};
        settings.location = {region_name("r"), zone_name("a")};
        runtime_ = std::make_unique<traffic_runtime>(
            settings, thread_.loop(), *http_, dialect_, random_, metrics_,
            traffic_listeners{[](const node_record&, bool) {}, [](const account_report&) {}});
        EXPECT_TRUE(runtime_->start().ok());
        EXPECT_TRUE(http_->listen({"127.0.0.1", caller_port}).ok());
        thread_.start();
    }

    void handle(const node_event& event)
    {
        thread_.run([&] { runtime_->handle(event); });
    }
    void announce_target()
    {
        target_announced event;
        event.service = service;
        event.slots = 10;
        event.lease = long_wait;
        thread_.run([&] { runtime_->on_target_announced(event, {"127.0.0.1", target_port}); });
    }
    void stop(millis drain_limit, millis final_time)
    {
        shutdown_limits limits;
        limits.drain_limit = drain_limit;
        limits.final_time = final_time;
        thread_.run([&] {
            runtime_->stop(
                limits, {[this] { drained_ = true; }, nullptr, [this] { thread_.loop().stop(); }});
        });
    }
    void wait_until_drained() const
    {
        while (!drained_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    void wait_until_ended() { thread_.wait(); }

private:
    void on_request(exchange_id e, const http_request& r)
    {
        caller_request event;
        event.exchange = e;
        event.service = service;
        event.request = std::make_shared<http_request>(r);
        route_parameters route;
        route.effective_policy.deadline = long_wait;
        route.effective_policy.max_body_bytes = 64U << 20U;
        route.time_left = long_wait;
        event.route = route;
        runtime_->handle(event);
    }

    native_dialect dialect_;
    random_source random_{7};
    metric_registry metrics_;
    std::atomic<bool> drained_{false};
    std::unique_ptr<http_server> http_;
    std::unique_ptr<traffic_runtime> runtime_;
    loop_thread thread_{[this] {
        runtime_.reset();
        http_.reset();
    }};
};

/// Callers send to one node; the target is beside another one.
class shutdown_test : public testing::Test {
protected:
    shutdown_test()
    {
        target_info t;
        t.instance = instance_id("other");
        t.node_address = {"127.0.0.1", other_peer_port};
        t.location = {region_name("r"), zone_name("a")};
        t.service = service;
        t.slots = 10;
        auto view = std::make_shared<target_view>();
        view->version = 1;
        view->services[service] = {t};
        other_.announce_target();
        own_.handle(targets_updated{view});
    }

    static raw_socket send_request(const std::string& path)
    {
        raw_socket c = raw_socket::connect(own_caller_port);
        c.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return c;
    }

    /// Reads a long response to its end and returns the number of bytes of its body.
    static std::size_t read_long_body(raw_socket& c, std::string received)
    {
        const std::size_t head = received.find("\r\n\r\n") + 4;
        std::size_t size = received.size();
        while (size < head + long_body_bytes) {
            const std::size_t more = c.read_some().size();
            if (more == 0) {
                break;
            }
            size += more;
        }
        return size - head;
    }

    test_target target_;
    test_node other_{"other", other_caller_port, other_peer_port};
    test_node own_{"own", own_caller_port, own_peer_port};
};

// Guards against requests that a stopping node passes on although it may end before their response.
TEST_F(shutdown_test, new_request_is_refused_and_open_one_is_answered)
{
    raw_socket open = send_request("/hold");
    target_.wait_for_requests(1);
    own_.stop(long_wait, long_wait);
    const std::string refusal = send_request("/x").read_to_end();
    EXPECT_EQ(refusal.substr(0, 12), "HTTP/1.1 503") << refusal;
    EXPECT_NE(refusal.find("Connection: close"), std::string::npos) << refusal;
    EXPECT_NE(refusal.find("not-run"), std::string::npos) << refusal;
    EXPECT_EQ(target_.requests(), 1);
    target_.release();
    const std::string response = open.read_to_end();
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200") << response;
    EXPECT_NE(response.find("held"), std::string::npos) << response;
    own_.wait_until_ended();
}

// Guards against requests that arrive after the drain and end with the process.
TEST_F(shutdown_test, request_after_the_drain_limit_is_refused)
{
    raw_socket open = send_request("/hold");
    target_.wait_for_requests(1);
    own_.stop(millis(1), long_wait);
    own_.wait_until_drained();
    EXPECT_EQ(send_request("/x").read_to_end().substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(target_.requests(), 1);
    target_.release();
    EXPECT_EQ(open.read_to_end().substr(0, 12), "HTTP/1.1 200");
    own_.wait_until_ended();
}

// Guards against a node that ends while a response to a caller is only partly sent.
TEST_F(shutdown_test, response_to_a_slow_caller_is_sent_completely)
{
    raw_socket c = send_request("/long");
    const std::string start = c.read_until("\r\n\r\n");
    own_.stop(long_wait, long_wait);
    std::this_thread::sleep_for(end_time);
    EXPECT_EQ(read_long_body(c, start), long_body_bytes);
    c.close();
    own_.wait_until_ended();
}

// Guards against a node that ends while a reply to another node is only partly sent.
TEST_F(shutdown_test, reply_to_another_node_is_sent_completely)
{
    raw_socket c = send_request("/long");
    const std::string start = c.read_until("\r\n\r\n");
    other_.stop(long_wait, long_wait);
    std::this_thread::sleep_for(end_time);
    EXPECT_EQ(read_long_body(c, start), long_body_bytes);
    other_.wait_until_ended();
}

} // namespace
} // namespace fescuedyke
