#include "fescuedyke/membership/lease_table.h"
#include "fescuedyke/membership/view_builder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

constexpr instant start_time(10'000);

node_record make_record(const std::string& name, std::uint64_t node_incarnation,
                        std::uint64_t sequence, target_state state = target_state::ready)
{
    node_record r;
    r.instance = instance_id(name);
    r.node_incarnation = incarnation(node_incarnation);
    r.sequence = sequence;
    r.target = target_announcement{service_name("s"), "", 0, {}, 4, state};
    return r;
}

bool is_live(const lease_table& table, const std::string& name)
{
    const auto found = table.nodes().find(instance_id(name));
    return found != table.nodes().end() && found->second.live;
}

TEST(lease_table, a_node_without_reports_expires_with_its_lease)
{
    lease_table table({}, 1);
    table.on_report(make_record("a", 1, 1), config_version(0), start_time);
    table.expire(start_time + millis(1900));
    EXPECT_TRUE(is_live(table, "a"));
    table.expire(start_time + millis(2100));
    EXPECT_FALSE(is_live(table, "a"));
}

TEST(lease_table, a_late_report_of_an_earlier_incarnation_is_ignored)
{
    lease_table table({}, 1);
    table.on_report(make_record("a", 2, 1), config_version(0), start_time);
    table.on_report(make_record("a", 1, 9, target_state::draining), config_version(0), start_time);
    EXPECT_EQ(table.nodes().at(instance_id("a")).record.node_incarnation, incarnation(2));
    table.expire(start_time + millis(1000));
    table.on_report(make_record("a", 1, 10), config_version(0), start_time + millis(1500));
    table.expire(start_time + millis(2500));
    EXPECT_FALSE(is_live(table, "a"))
        << "a report of an earlier incarnation renewed the lease of the current one";
}

TEST(lease_table, the_state_received_from_a_silent_member_is_discarded)
{
    lease_table first({}, 1);
    lease_table second({}, 2);
    first.on_report(make_record("a", 1, 1), config_version(0), start_time);
    second.on_member_delta("m1", first.held_changes_since(0, 0), start_time);
    EXPECT_TRUE(is_live(second, "a"));
    second.expire(start_time + millis(2900));
    EXPECT_TRUE(is_live(second, "a"));
    second.expire(start_time + millis(3100));
    EXPECT_FALSE(is_live(second, "a"));
}

TEST(lease_table, an_older_ready_record_does_not_override_draining)
{
    lease_table first({}, 1);
    lease_table second({}, 2);
    first.on_report(make_record("a", 1, 1), config_version(0), start_time);
    second.on_report(make_record("a", 1, 2, target_state::draining), config_version(0), start_time);
    second.on_member_delta("m1", first.held_changes_since(0, 0), start_time);
    EXPECT_EQ(second.nodes().at(instance_id("a")).record.target->state, target_state::draining);
}

TEST(lease_table, the_latest_active_config_version_of_any_member_is_kept)
{
    lease_table first({}, 1);
    lease_table second({}, 2);
    first.on_report(make_record("a", 1, 1), config_version(4), start_time);
    second.on_report(make_record("a", 1, 1), config_version(7), start_time);
    first.on_member_delta("m2", second.held_changes_since(0, 0), start_time);
    EXPECT_EQ(first.nodes().at(instance_id("a")).active_config_version, config_version(7));
}

/// Applying deltas must yield the same view as fetching the full state.
RC_GTEST_PROP(lease_table, applied_deltas_equal_the_full_state, ())
{
    lease_table table({}, 1);
    view_builder incremental;
    instant now = start_time;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        now = now + millis(*rc::gen::inRange(0, 900));
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        if (*rc::gen::inRange(0, 3) != 0) {
            table.on_report(make_record(name, static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)),
                                        static_cast<std::uint64_t>(*rc::gen::inRange(1, 4))),
                            config_version(0), now);
        }
        table.expire(now);
        if (*rc::gen::inRange(0, 2) == 0) {
            incremental.on_delta("m", table.view_changes_since(incremental.known_epoch("m"),
                                                               incremental.known_version("m")));
        }
    }
    incremental.on_delta("m", table.view_changes_since(incremental.known_epoch("m"),
                                                       incremental.known_version("m")));
    view_builder full_state;
    full_state.on_delta("m", table.view_changes_since(0, 0));
    const target_view incremental_view = incremental.build();
    const target_view full_view = full_state.build();
    RC_ASSERT(incremental_view.services.size() == full_view.services.size());
    for (const auto& [service, targets] : full_view.services) {
        RC_ASSERT(incremental_view.services.at(service).size() == targets.size());
        for (std::size_t i = 0; i < targets.size(); ++i) {
            RC_ASSERT(incremental_view.services.at(service)[i].instance == targets[i].instance);
            RC_ASSERT(incremental_view.services.at(service)[i].node_incarnation ==
                      targets[i].node_incarnation);
        }
    }
}

} // namespace
} // namespace fescuedyke
