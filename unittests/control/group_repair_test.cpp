#include "growing_group.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

/// \file
/// Tests that a group replaces its lost members while it is busy with changes.

namespace fescuedyke {
namespace {

using cluster::control_cluster;

/// Requests of the operators are numbered from here on.
constexpr std::uint64_t first_request = 5'000'000;

/// Time between two changes of one operator; shorter than the heartbeat interval.
constexpr millis change_interval{70};

/// Operators that change the route document all the time, each change on top of the version that
/// the leader has.
class operators {
public:
    operators(control_cluster& c, millis interval, int changes_at_once)
        : cluster_(c), interval_(interval), changes_at_once_(changes_at_once)
    {
    }

    /// Makes changes for \p time, or until \p condition holds. Returns whether it does.
    bool run_until(millis time, const std::function<bool()>& condition)
    {
        for (const instant until = cluster_.now() + time; cluster_.now() < until;) {
            if (condition()) {
                return true;
            }
            make_changes();
            cluster_.run_for(interval_);
        }
        return condition();
    }
    void run_for(millis time)
    {
        run_until(time, [] { return false; });
    }

    /// Returns the newest version that was acknowledged.
    std::uint64_t acknowledged()
    {
        std::uint64_t newest = 0;
        for (const auto& [request, answer] : cluster_.answers()) {
            const bool accepted = request >= first_request &&
                                  answer.outcome == change_outcome::committed &&
                                  answer.result.code == change_code::accepted;
            newest = accepted ? std::max(newest, answer.result.policy_version) : newest;
        }
        return newest;
    }

private:
    void make_changes()
    {
        const auto leader = cluster_.leader();
        if (!leader) {
            return;
        }
        const std::uint64_t base = cluster_.core(*leader).state().document().version;
        for (int i = 0; i < changes_at_once_; ++i) {
            ++last_request_;
            cluster_.propose_document(
                *leader, last_request_,
                make_document_change(base, base + 1, std::to_string(last_request_)));
        }
    }

    control_cluster& cluster_;
    millis interval_;
    int changes_at_once_;
    std::uint64_t last_request_ = first_request;
};

/// Lets the instance lose its disk and return one second later.
void lose_disk(control_cluster& c, operators& o, const std::string& name)
{
    c.crash(name);
    c.disk(name).wipe();
    o.run_for(millis(1000));
    ASSERT_TRUE(c.start(name).ok());
}

// Guards against lost disks that are never replaced, because each change puts off the maintenance
// of the membership: after the third loss there was no quorum (review case 1).
TEST(group_repair, lost_disks_are_replaced_while_changes_come_quickly)
{
    control_cluster c(3, 31, growing_group_settings());
    start_group_of_five(c);
    operators o(c, change_interval, 1);
    for (const char* name : {"m1", "m2", "m3"}) {
        ASSERT_NO_FATAL_FAILURE(lose_disk(c, o, name));
        EXPECT_TRUE(o.run_until(catch_up_time, [&] { return votes_with_its_disk(c, name); }))
            << name << " got no vote";
        o.run_for(millis(1000));
    }
    const std::uint64_t acknowledged = o.acknowledged();
    EXPECT_GT(acknowledged, 0U);
    ASSERT_TRUE(c.run_until(max_wait, [&] { return c.leader().has_value(); }));
    EXPECT_GE(c.core(*c.leader()).state().document().version, acknowledged);
    EXPECT_EQ(c.violation(), "");
}

// Guards against changes that are accepted on two disks for as long as they come quickly.
TEST(group_repair, a_new_group_has_five_voters_within_4_s_while_changes_come_quickly)
{
    control_cluster c(3, 34, growing_group_settings());
    ASSERT_TRUE(c.add_member("m4", group_seeds(), true).ok());
    ASSERT_TRUE(c.add_member("m5", group_seeds(), true).ok());
    operators o(c, change_interval, 1);
    EXPECT_TRUE(o.run_until(catch_up_time, [&] { return voters_of(c).size() == 5; }));
    EXPECT_EQ(c.violation(), "");
}

// Guards against a new disk that never counts as caught up, because the log grows by more entries
// than it may lack before its reply arrives.
TEST(group_repair, a_lost_disk_is_replaced_while_many_operators_make_changes)
{
    control_cluster c(3, 32, growing_group_settings());
    start_group_of_five(c);
    c.set_faults({0, 0, millis(40)});
    operators o(c, millis(10), 5);
    ASSERT_NO_FATAL_FAILURE(lose_disk(c, o, "m1"));
    EXPECT_TRUE(o.run_until(catch_up_time, [&] { return votes_with_its_disk(c, "m1"); }));
    EXPECT_EQ(c.violation(), "");
}

} // namespace
} // namespace fescuedyke
