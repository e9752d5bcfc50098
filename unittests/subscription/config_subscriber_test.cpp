#include "fescuedyke/subscription/config_subscriber.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fescuedyke {
namespace {

constexpr instant start(10'000);

config_subscriber make()
{
    return config_subscriber({}, {{"m1", {"m1", 1}}, {"m2", {"m2", 1}}, {"m3", {"m3", 1}}});
}

poll_reply reply_from(const std::string& member, std::uint64_t version, millis beacon)
{
    poll_reply reply;
    reply.member = member;
    reply.leader = "m1";
    reply.beacon_age = beacon;
    reply.version = config_version(version);
    policy_record record;
    record.owner = owner_name("inkwell");
    record.name = "p";
    record.version = version;
    record.changed_in = config_version(version);
    record.yaml = "policy: p\nowner: inkwell\norder: " + std::to_string(version) + "\n";
    reply.policies = {record};
    return reply;
}

template <class T> const T* find_event(const subscriber_output& output)
{
    for (const node_event& e : output.events) {
        if (const T* found = std::get_if<T>(&e)) {
            return found;
        }
    }
    return nullptr;
}

int order_of(const policies_updated& event)
{
    return event.policies->policies().at("inkwell/p").order;
}

TEST(config_subscriber, asks_two_members_at_once)
{
    config_subscriber s = make();
    EXPECT_EQ(s.tick(start).polls.size(), 2U);
    EXPECT_TRUE(s.tick(start + millis(10)).polls.empty());
    EXPECT_TRUE(s.tick(start + millis(260)).polls.empty()) << "one poll at a time for each member";
}

TEST(config_subscriber, a_starting_node_serves_only_with_a_version_confirmed_fresh)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    const subscriber_output stale =
        s.on_reply(polls[0].number, reply_from("m1", 3, millis(9000)), start);
    EXPECT_EQ(find_event<policies_updated>(stale), nullptr);
    EXPECT_FALSE(s.is_fresh(start));
    const subscriber_output fresh =
        s.on_reply(polls[1].number, reply_from("m2", 3, millis(10)), start);
    ASSERT_NE(find_event<policies_updated>(fresh), nullptr);
    EXPECT_TRUE(s.is_fresh(start));
}

TEST(config_subscriber, versions_only_go_upwards)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    const auto newer = s.on_reply(polls[0].number, reply_from("m1", 5, millis(0)), start);
    EXPECT_EQ(order_of(*find_event<policies_updated>(newer)), 5);
    const auto older = s.on_reply(polls[1].number, reply_from("m2", 4, millis(0)), start);
    EXPECT_EQ(find_event<policies_updated>(older), nullptr);
    EXPECT_EQ(s.version(), config_version(5));
}

TEST(config_subscriber, leaves_a_member_with_an_old_beacon_although_it_answers)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    const std::string left = polls[0].address.host;
    s.on_reply(polls[0].number, reply_from(left, 1, millis(5000)), start);
    s.on_reply(polls[1].number, reply_from(polls[1].address.host, 1, millis(5)), start);
    for (const std::string& member : s.chosen(start + millis(300))) {
        EXPECT_NE(member, left);
    }
}

TEST(config_subscriber, failures_of_one_moment_count_once)
{
    // The node itself stood still: both polls are late, and the leader's next word was old.
    config_subscriber s = make();
    s.tick(start);
    const instant awake = start + millis(1100);
    const auto polls = s.tick(awake).polls;
    const auto leader = std::find_if(polls.begin(), polls.end(),
                                     [](const auto& p) { return p.address.host == "m1"; });
    ASSERT_NE(leader, polls.end());
    s.on_reply(leader->number, reply_from("m1", 1, millis(1600)), awake + millis(20));
    // Leases last three seconds, so that the leader must be asked again before.
    const std::vector<std::string> asked =
        s.chosen(awake + subscriber_settings{}.avoid + millis(50));
    EXPECT_NE(std::find(asked.begin(), asked.end(), "m1"), asked.end());
}

TEST(config_subscriber, a_lease_counts_from_when_it_was_asked_for)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    poll_reply reply = reply_from("m1", 1, millis(0));
    reply.lease = millis(3000);
    reply.owners_version = 7;
    const auto output = s.on_reply(polls[0].number, reply, start + millis(400));
    const auto* lease = find_event<lease_renewed>(output);
    ASSERT_NE(lease, nullptr);
    EXPECT_EQ(lease->until, start + millis(3000));
    EXPECT_EQ(lease->table_version, 7U);
}

TEST(config_subscriber, a_reply_after_its_time_is_passed_over)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    s.tick(start + millis(1500));
    const auto output = s.on_reply(polls[0].number, reply_from("m1", 1, millis(0)), start);
    EXPECT_TRUE(output.events.empty());
}

subscriber_settings one_at_a_time()
{
    subscriber_settings settings;
    settings.members_at_once = 1;
    settings.follows_leader = false;
    return settings;
}

poll_reply reply_with_target(const std::string& member, bool live)
{
    poll_reply reply = reply_from(member, 1, millis(0));
    node_status status;
    status.live = live;
    status.record.instance = instance_id("t");
    status.record.target = target_announcement{service_name("s"), "", {}, 1, target_state::ready};
    reply.view = {1, 0, 2, {status}};
    for (const char* name : {"m1", "m2", "m3"}) {
        member_entry m;
        m.id.name = name;
        m.address = {name, 1};
        reply.members.push_back(m);
    }
    return reply;
}

TEST(config_subscriber, the_view_of_a_member_that_is_asked_no_more_is_dropped)
{
    config_subscriber s(one_at_a_time(), {{"m1", {"m1", 1}}, {"m2", {"m2", 1}}});
    auto polls = s.tick(start).polls;
    ASSERT_EQ(polls.size(), 1U);
    const std::string first = polls[0].address.host;
    s.on_reply(polls[0].number, reply_with_target(first, true), start + millis(50));
    // Another member is nearer; by its word the target has left.
    polls = s.tick(start + millis(300)).polls;
    ASSERT_EQ(polls.size(), 1U);
    const std::string second = polls[0].address.host;
    ASSERT_NE(second, first);
    s.on_reply(polls[0].number, reply_with_target(second, false), start + millis(301));
    polls = s.tick(start + millis(600)).polls;
    const std::string third = polls[0].address.host;
    const auto output =
        s.on_reply(polls[0].number, reply_with_target(third, false), start + millis(602));
    const auto* view = find_event<targets_updated>(output);
    ASSERT_NE(view, nullptr);
    EXPECT_TRUE(view->view->services.empty());
}

TEST(config_subscriber, a_member_that_was_taken_out_of_the_group_is_asked_no_more)
{
    config_subscriber s(one_at_a_time(), {{"gone", {"gone", 1}}, {"m1", {"m1", 1}}});
    auto polls = s.tick(start).polls;
    ASSERT_EQ(polls[0].address.host, "gone");
    s.on_failed(polls[0].number, start + millis(100));
    polls = s.tick(start + millis(300)).polls;
    ASSERT_EQ(polls[0].address.host, "m1");
    s.on_reply(polls[0].number, reply_with_target("m1", true), start + millis(301));
    for (int i = 1; i < 100; ++i) {
        const instant now = start + millis(400 * i);
        for (const outgoing_poll& p : s.tick(now).polls) {
            ASSERT_NE(p.address.host, "gone") << "after " << 400 * i << " ms";
            s.on_reply(p.number, reply_with_target(p.address.host, true), now + millis(5));
        }
    }
}

TEST(config_subscriber, the_view_survives_the_loss_of_every_member)
{
    config_subscriber s = make();
    const auto polls = s.tick(start).polls;
    poll_reply reply = reply_from("m1", 1, millis(0));
    node_status status;
    status.live = true;
    status.record.instance = instance_id("t");
    status.record.target = target_announcement{service_name("s"), "", {}, 1, target_state::ready};
    reply.view = {1, 0, 2, {status}};
    const auto output = s.on_reply(polls[0].number, reply, start);
    ASSERT_NE(find_event<targets_updated>(output), nullptr);
    for (int i = 1; i < 40; ++i) {
        const auto later = s.tick(start + millis(300 * i));
        const auto* view = find_event<targets_updated>(later);
        EXPECT_TRUE(view == nullptr || !view->view->services.empty());
    }
}

} // namespace
} // namespace fescuedyke
