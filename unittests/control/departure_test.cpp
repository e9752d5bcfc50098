#include "cluster/cluster.h"

#include "fescuedyke/control/control_state.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

/// \file
/// Tests of the record of targets that have left.

namespace fescuedyke {
namespace {

using cluster::control_cluster;

constexpr millis max_wait{20'000};
const target_departure departure_of_a{"a", 100, 5};

class departures : public testing::Test {
protected:
    void SetUp() override { ASSERT_NE(wait_for_leader(), ""); }

    std::string wait_for_leader()
    {
        cluster_.run_until(max_wait, [&] { return cluster_.leader().has_value(); });
        return cluster_.leader().value_or("");
    }

    /// Returns the reply of the member \p at within one second, if there is one.
    std::optional<departure_reply> ask(const std::string& at, const target_departure& departure,
                                       bool leaves)
    {
        const std::uint64_t request = ++last_request_;
        cluster_.send_departure(at, request, {departure, leaves});
        cluster_.run_until(millis(1000),
                           [&] { return cluster_.departure_replies().count(request) != 0; });
        const auto found = cluster_.departure_replies().find(request);
        return found == cluster_.departure_replies().end()
                   ? std::nullopt
                   : std::optional<departure_reply>(found->second);
    }

    void record_at_leader(const target_departure& departure)
    {
        const std::optional<departure_reply> reply = ask(wait_for_leader(), departure, true);
        ASSERT_TRUE(reply && reply->decided && reply->departed);
    }

    control_cluster cluster_{3, 41};
    std::uint64_t last_request_ = 0;
};

// Guards against a target that has left and is used again, because the processes that knew of its
// departure were restarted (review case 4).
TEST_F(departures, a_recorded_departure_outlives_a_restart_of_all_members)
{
    record_at_leader(departure_of_a);
    for (const std::string& name : cluster_.names()) {
        cluster_.crash(name);
    }
    for (const std::string& name : cluster_.names()) {
        ASSERT_TRUE(cluster_.start(name).ok());
    }
    const std::optional<departure_reply> reply = ask(wait_for_leader(), departure_of_a, false);
    EXPECT_TRUE(reply && reply->decided && reply->departed);
    EXPECT_EQ(cluster_.violation(), "");
}

TEST_F(departures, a_departure_covers_earlier_reports_and_starts_of_its_identity_only)
{
    record_at_leader(departure_of_a);
    const std::string leader = *cluster_.leader();
    EXPECT_TRUE(ask(leader, {"a", 100, 4}, false)->departed);
    EXPECT_TRUE(ask(leader, {"a", 99, 70}, false)->departed);
    for (const target_departure& later :
         {target_departure{"a", 100, 6}, target_departure{"a", 101, 1},
          target_departure{"b", 100, 5}}) {
        const std::optional<departure_reply> reply = ask(leader, later, false);
        EXPECT_TRUE(reply && reply->decided && !reply->departed);
    }
}

// Guards against a node that is told that a target has not left by a member that missed it.
TEST_F(departures, a_member_that_may_miss_a_departure_does_not_decide_that_there_is_none)
{
    const std::string old_leader = *cluster_.leader();
    cluster_.isolate(old_leader);
    std::string new_leader = old_leader;
    cluster_.run_until(max_wait, [&] {
        for (const std::string& name : cluster_.names()) {
            const bool leads = name != old_leader && cluster_.core(name).raft().is_leader();
            new_leader = leads ? name : new_leader;
        }
        return new_leader != old_leader;
    });
    ASSERT_NE(new_leader, old_leader);
    ASSERT_TRUE(ask(new_leader, departure_of_a, true)->departed);
    for (const std::string& name : cluster_.names()) {
        const std::optional<departure_reply> reply = ask(name, departure_of_a, false);
        EXPECT_TRUE(reply && (reply->departed || !reply->decided)) << name;
    }
    EXPECT_FALSE(ask(old_leader, {"b", 100, 5}, false)->decided);
    // The departure that the old leader cannot commit is not confirmed either.
    const std::optional<departure_reply> unrecorded = ask(old_leader, {"b", 100, 5}, true);
    EXPECT_FALSE(unrecorded && unrecorded->departed);
}

TEST_F(departures, a_member_that_does_not_lead_names_the_leader)
{
    const std::string leader = *cluster_.leader();
    for (const std::string& name : cluster_.names()) {
        if (name != leader) {
            const std::optional<departure_reply> reply = ask(name, departure_of_a, true);
            EXPECT_TRUE(reply && !reply->decided && reply->leader == leader);
        }
    }
}

// Guards against a departure that is lost with the log entries that a snapshot replaces.
TEST(departure_state, a_snapshot_contains_the_departures)
{
    control_state state;
    state.apply(departure_of_a);
    state.apply(target_departure{"b", 7});
    const absl::StatusOr<control_state> restored =
        control_state::decode_snapshot(state.encode_snapshot());
    ASSERT_TRUE(restored.ok());
    EXPECT_TRUE(restored->has_departed(departure_of_a));
    EXPECT_TRUE(restored->has_departed({"b", 7, 1}));
    EXPECT_FALSE(restored->has_departed({"c", 7, 1}));
}

// Guards against a member that cannot read its disk after an update of the program.
TEST(departure_state, a_snapshot_from_before_departures_were_recorded_can_be_read)
{
    // Version, policies, owners, document, results and their order, all empty.
    const std::string earlier("\x96\x00\x80\x92\x00\x80\x93\x00\x00\xa0\x80\x90", 12);
    EXPECT_TRUE(control_state::decode_snapshot(earlier).ok());
    EXPECT_FALSE(control_state::decode_snapshot(earlier.substr(0, 11)).ok());
}

// Guards against memory that grows with the number of departures.
TEST(departure_state, the_oldest_departures_are_forgotten)
{
    control_state state;
    for (int i = 0; i < 5000; ++i) {
        state.apply(target_departure{"t" + std::to_string(i), 1});
    }
    EXPECT_FALSE(state.has_departed({"t0", 1}));
    EXPECT_TRUE(state.has_departed({"t4999", 1}));
    EXPECT_LT(state.encode_snapshot().size(), 64U << 10U);
}

} // namespace
} // namespace fescuedyke
