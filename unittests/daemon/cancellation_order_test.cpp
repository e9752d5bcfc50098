#include "fescuedyke/daemon/traffic_runtime.h"

#include "transport/http_connection_fixture.h"

#include <algorithm>

/// \file
/// Tests that the actions of the node core take effect in the order in which they were decided.

namespace fescuedyke {
namespace {

constexpr std::uint16_t peer_port = 27382;
constexpr std::uint16_t target_port = 27383;

constexpr millis short_time{100};
constexpr millis long_time{20'000};

const service_name service("s");

/// A caller, a node and its target, all in the thread of the test. The target answers nothing.
class cancellation_order : public http_connection_end {
protected:
    cancellation_order()
    {
        node_settings settings;
        settings.self = instance_id("node");
        settings.address = {"127.0.0.1", peer_port};
        settings.preemption = false;
        settings.adaptive_limit = false;
        runtime_ = std::make_unique<traffic_runtime>(
            settings, loop_, *server_, dialect_, random_, metrics_,
            traffic_listeners{[](const node_record&, bool) {}, [](const account_report&) {}});
        EXPECT_TRUE(target_.listen({"127.0.0.1", target_port}).ok());
        announce_target(settings);
    }

    void announce_target(const node_settings& settings)
    {
        target_announced event;
        event.service = service;
        event.slots = 1;
        event.lease = long_time;
        runtime_->on_target_announced(event, {"127.0.0.1", target_port});
        target_info target;
        target.service = service;
        target.instance = settings.self;
        target.node_address = settings.address;
        target.slots = 1;
        auto view = std::make_shared<target_view>();
        view->services[service] = {target};
        runtime_->handle(targets_updated{view});
    }

    /// Passes the request of the caller for \p path on, with the time that it may take.
    void pass_on(const std::string& path, millis time_left)
    {
        const received_request& received = requests_[path];
        caller_request event;
        event.exchange = received.exchange;
        event.service = service;
        event.request = std::make_shared<http_request>(received.request);
        route_parameters route;
        route.effective_policy.deadline = long_time;
        route.time_left = time_left;
        event.route = route;
        runtime_->handle(event);
    }

    /// Passes on the cancellations that the server has reported since the last call.
    void on_cancelled(exchange_id exchange) override
    {
        if (runtime_) {
            runtime_->handle(caller_disconnected{exchange});
        }
    }

    bool target_has(const std::string& path) const
    {
        return std::count(at_target_.begin(), at_target_.end(), path) > 0;
    }

    native_dialect dialect_;
    random_source random_{7};
    metric_registry metrics_;
    std::vector<std::string> at_target_;
    http_server target_{
        loop_,
        {},
        {[this](exchange_id, const http_request& r) { at_target_.push_back(r.path); },
         [](exchange_id) {}}};
    std::unique_ptr<traffic_runtime> runtime_;
};

// Guards against a call that is dispatched after its cancellation and that nothing cancels any
// more, because the write of an earlier response fails within the same step (issue 28, GONE).
TEST_F(cancellation_order, a_cancelled_call_is_not_dispatched_after_its_cancellation)
{
    caller c;
    c.send(get("/first") + get("/second"));
    ASSERT_TRUE(wait_for_requests(2));
    pass_on("/first", short_time);
    pass_on("/second", long_time);
    ASSERT_TRUE(turn_until([&] { return target_has("/first"); }));
    clock_.advance(short_time);
    c.reset();
    // The first call expires, which frees the slot for the second one, and the response to its
    // caller finds the connection reset.
    runtime_->handle(tick{});
    settle();
    EXPECT_EQ(runtime_->core().inbound().open_calls(), 0U);
    EXPECT_FALSE(target_has("/second"));
}

} // namespace
} // namespace fescuedyke
