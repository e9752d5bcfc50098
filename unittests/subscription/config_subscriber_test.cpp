#include "fescuedyke/subscription/config_subscriber.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fescuedyke {
namespace {

constexpr instant start_time(10'000);

config_subscriber make_subscriber()
{
    return config_subscriber({}, {{"m1", {"m1", 1}}, {"m2", {"m2", 1}}, {"m3", {"m3", 1}}});
}

poll_reply make_reply(const std::string& member, std::uint64_t version,
                      millis quorum_confirmation_age)
{
    poll_reply reply;
    reply.member = member;
    reply.leader = "m1";
    reply.quorum_confirmation_age = quorum_confirmation_age;
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

TEST(config_subscriber, polls_two_members_per_round)
{
    config_subscriber s = make_subscriber();
    EXPECT_EQ(s.tick(start_time).polls.size(), 2U);
    EXPECT_TRUE(s.tick(start_time + millis(10)).polls.empty());
    EXPECT_TRUE(s.tick(start_time + millis(260)).polls.empty())
        << "a member must have at most one open poll";
}

TEST(config_subscriber, a_starting_node_applies_policies_only_after_a_fresh_reply)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    const subscriber_output stale =
        s.on_reply(polls[0].number, make_reply("m1", 3, millis(9000)), start_time);
    EXPECT_EQ(find_event<policies_updated>(stale), nullptr);
    EXPECT_FALSE(s.is_fresh(start_time));
    const subscriber_output fresh =
        s.on_reply(polls[1].number, make_reply("m2", 3, millis(10)), start_time);
    ASSERT_NE(find_event<policies_updated>(fresh), nullptr);
    EXPECT_TRUE(s.is_fresh(start_time));
}

TEST(config_subscriber, older_configuration_versions_are_ignored)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    const auto newer = s.on_reply(polls[0].number, make_reply("m1", 5, millis(0)), start_time);
    EXPECT_EQ(order_of(*find_event<policies_updated>(newer)), 5);
    const auto older = s.on_reply(polls[1].number, make_reply("m2", 4, millis(0)), start_time);
    EXPECT_EQ(find_event<policies_updated>(older), nullptr);
    EXPECT_EQ(s.version(), config_version(5));
}

TEST(config_subscriber, a_member_that_sends_a_stale_reply_is_not_selected)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    const std::string stale_member = polls[0].address.host;
    s.on_reply(polls[0].number, make_reply(stale_member, 1, millis(5000)), start_time);
    s.on_reply(polls[1].number, make_reply(polls[1].address.host, 1, millis(5)), start_time);
    for (const std::string& member : s.selected_members(start_time + millis(300))) {
        EXPECT_NE(member, stale_member);
    }
}

TEST(config_subscriber, failures_of_one_moment_count_once)
{
    // The node itself was suspended, so both polls time out at the same time, and the leader's next
    // reply is stale. Together these must count as one failure; otherwise the longer back-off
    // keeps the node from polling the leader until its lease has expired.
    config_subscriber s = make_subscriber();
    s.tick(start_time);
    const instant resumed_at = start_time + millis(1100);
    const auto polls = s.tick(resumed_at).polls;
    const auto leader = std::find_if(polls.begin(), polls.end(),
                                     [](const auto& p) { return p.address.host == "m1"; });
    ASSERT_NE(leader, polls.end());
    s.on_reply(leader->number, make_reply("m1", 1, millis(1600)), resumed_at + millis(20));
    // Leases last three seconds, so the leader must be polled again before then.
    const std::vector<std::string> selected =
        s.selected_members(resumed_at + subscriber_settings{}.initial_backoff + millis(50));
    EXPECT_NE(std::find(selected.begin(), selected.end(), "m1"), selected.end());
}

// Guards against deposits refused as not-owner after a short stall of the leader.
TEST(config_subscriber, a_leader_that_stalled_once_is_asked_again_before_the_lease_runs_out)
{
    constexpr millis lease{3000};
    constexpr millis tick_period{25};
    constexpr instant stall_start = start_time + millis(1000);
    constexpr instant stall_end = stall_start + millis(1500);
    config_subscriber s = make_subscriber();
    instant lease_until = start_time + lease;
    for (instant now = start_time; now < start_time + millis(10'000); now = now + tick_period) {
        ASSERT_GE((lease_until - now).count(), 0) << (now - start_time).count() << " ms";
        for (const outgoing_poll& p : s.tick(now).polls) {
            const bool from_leader = p.address.host == "m1";
            if (from_leader && now >= stall_start && now < stall_end) {
                continue;
            }
            s.on_reply(p.number, make_reply(p.address.host, 1, millis(0)), now);
            lease_until = from_leader ? now + lease : lease_until;
        }
    }
}

TEST(config_subscriber, a_lease_starts_at_the_send_time_of_the_poll)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    poll_reply reply = make_reply("m1", 1, millis(0));
    reply.lease = millis(3000);
    reply.owners_version = 7;
    const auto output = s.on_reply(polls[0].number, reply, start_time + millis(400));
    const auto* lease = find_event<lease_renewed>(output);
    ASSERT_NE(lease, nullptr);
    EXPECT_EQ(lease->until, start_time + millis(3000));
    EXPECT_EQ(lease->table_version, 7U);
}

TEST(config_subscriber, a_reply_after_the_poll_timeout_is_ignored)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    s.tick(start_time + millis(1500));
    const auto output = s.on_reply(polls[0].number, make_reply("m1", 1, millis(0)), start_time);
    EXPECT_TRUE(output.events.empty());
}

subscriber_settings single_member_settings()
{
    subscriber_settings settings;
    settings.members_per_round = 1;
    settings.prefers_leader = false;
    return settings;
}

poll_reply make_reply_with_target(const std::string& member, bool live)
{
    poll_reply reply = make_reply(member, 1, millis(0));
    node_status status;
    status.live = live;
    status.record.instance = instance_id("t");
    status.record.target =
        target_announcement{service_name("s"), "", 0, {}, 1, target_state::ready};
    reply.view = {1, 0, 2, {status}};
    for (const char* name : {"m1", "m2", "m3"}) {
        member_entry m;
        m.id.name = name;
        m.address = {name, 1};
        reply.members.push_back(m);
    }
    return reply;
}

TEST(config_subscriber, the_view_of_a_member_that_is_no_longer_polled_is_discarded)
{
    config_subscriber s(single_member_settings(), {{"m1", {"m1", 1}}, {"m2", {"m2", 1}}});
    auto polls = s.tick(start_time).polls;
    ASSERT_EQ(polls.size(), 1U);
    const std::string first = polls[0].address.host;
    s.on_reply(polls[0].number, make_reply_with_target(first, true), start_time + millis(50));
    // The second member has a shorter round trip and reports that the target has left.
    polls = s.tick(start_time + millis(300)).polls;
    ASSERT_EQ(polls.size(), 1U);
    const std::string second = polls[0].address.host;
    ASSERT_NE(second, first);
    s.on_reply(polls[0].number, make_reply_with_target(second, false), start_time + millis(301));
    polls = s.tick(start_time + millis(600)).polls;
    const std::string third = polls[0].address.host;
    const auto output =
        s.on_reply(polls[0].number, make_reply_with_target(third, false), start_time + millis(602));
    const auto* view = find_event<targets_updated>(output);
    ASSERT_NE(view, nullptr);
    EXPECT_TRUE(view->view->services.empty());
}

TEST(config_subscriber, a_member_removed_from_the_group_is_no_longer_polled)
{
    config_subscriber s(single_member_settings(), {{"gone", {"gone", 1}}, {"m1", {"m1", 1}}});
    auto polls = s.tick(start_time).polls;
    ASSERT_EQ(polls[0].address.host, "gone");
    s.on_failed(polls[0].number, start_time + millis(100));
    polls = s.tick(start_time + millis(300)).polls;
    ASSERT_EQ(polls[0].address.host, "m1");
    s.on_reply(polls[0].number, make_reply_with_target("m1", true), start_time + millis(301));
    for (int i = 1; i < 100; ++i) {
        const instant now = start_time + millis(400 * i);
        for (const outgoing_poll& p : s.tick(now).polls) {
            ASSERT_NE(p.address.host, "gone") << "after " << 400 * i << " ms";
            s.on_reply(p.number, make_reply_with_target(p.address.host, true), now + millis(5));
        }
    }
}

TEST(config_subscriber, the_view_is_kept_when_no_member_answers)
{
    config_subscriber s = make_subscriber();
    const auto polls = s.tick(start_time).polls;
    poll_reply reply = make_reply("m1", 1, millis(0));
    node_status status;
    status.live = true;
    status.record.instance = instance_id("t");
    status.record.target =
        target_announcement{service_name("s"), "", 0, {}, 1, target_state::ready};
    reply.view = {1, 0, 2, {status}};
    const auto output = s.on_reply(polls[0].number, reply, start_time);
    ASSERT_NE(find_event<targets_updated>(output), nullptr);
    for (int i = 1; i < 40; ++i) {
        const auto later = s.tick(start_time + millis(300 * i));
        const auto* view = find_event<targets_updated>(later);
        EXPECT_TRUE(view == nullptr || !view->view->services.empty());
    }
}

} // namespace
} // namespace fescuedyke
