#include "fescuedyke/node/node_core.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

const service_name service("s");
constexpr int target_slots = 1;

/// A node with its own target, and a view with two targets on other nodes.
class shutdown : public testing::Test {
protected:
    shutdown() : core_(own_settings(), random_)
    {
        announce();
        auto view = std::make_shared<target_view>();
        view->version = 1;
        view->services[service] = {other_target("other-1"), other_target("other-2")};
        handle(targets_updated{view});
    }

    static node_settings own_settings()
    {
        node_settings settings;
        settings.self = instance_id("own");
        settings.location = {region_name("r"), zone_name("a")};
        settings.adaptive_limit = false;
        return settings;
    }

    static target_info other_target(const std::string& instance)
    {
        target_info t;
        t.instance = instance_id(instance);
        t.node_address = {"10.0.0.2", 1};
        t.location = own_settings().location;
        t.service = service;
        t.slots = target_slots;
        return t;
    }

    void announce()
    {
        target_announced event;
        event.service = service;
        event.slots = target_slots;
        handle(event);
    }

    /// A call from another node.
    void receive_call(std::uint64_t number)
    {
        call_context context;
        context.call = call_id(number);
        context.service = service;
        context.idempotent = true;
        context.time_left = millis(5000);
        handle(peer_call{exchange_id(number), context, std::make_shared<http_request>()});
    }

    /// A request of a caller, with the parameters of a route.
    void receive_request(std::uint64_t number)
    {
        caller_request event;
        event.exchange = exchange_id(number);
        event.service = service;
        event.request = std::make_shared<http_request>();
        route_parameters route;
        route.effective_policy.idempotent = true;
        route.effective_policy.deadline = millis(5000);
        route.time_left = millis(5000);
        route.max_targets = 3;
        event.route = route;
        handle(event);
    }

    void handle(const node_event& event)
    {
        for (const node_action& action : core_.handle(event, {now_, wall_time(0)})) {
            if (const auto* a = std::get_if<send_call>(&action)) {
                sent_.push_back(*a);
            }
            if (const auto* a = std::get_if<dispatch_call>(&action)) {
                dispatched_.push_back(*a);
            }
            if (const auto* a = std::get_if<answer_caller>(&action)) {
                answers_.push_back(*a);
            }
            if (const auto* a = std::get_if<reply_call>(&action)) {
                replies_.push_back(*a);
            }
        }
    }

    random_source random_{7};
    node_core core_;
    instant now_{100'000};
    std::vector<send_call> sent_;
    std::vector<dispatch_call> dispatched_;
    std::vector<answer_caller> answers_;
    std::vector<reply_call> replies_;
};

// Guards against calls that a stopping node takes because its target announced itself once more.
TEST_F(shutdown, announcement_of_the_target_does_not_open_a_stopping_node)
{
    handle(node_stopping{});
    announce();
    receive_call(1);
    EXPECT_TRUE(dispatched_.empty());
    ASSERT_EQ(replies_.size(), 1U);
    EXPECT_EQ(replies_[0].reply.result.kind, outcome_kind::not_run);
    EXPECT_EQ(replies_[0].reply.result.reason, outcome_reason::draining);
}

} // namespace
} // namespace fescuedyke
