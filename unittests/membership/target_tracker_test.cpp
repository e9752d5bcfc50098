#include "membership/target_reports.h"

#include "fescuedyke/membership/target_tracker.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

constexpr wall_time deregistered(1'000);

TEST(target_tracker, late_reports_of_the_same_start_are_ignored)
{
    target_tracker target;
    EXPECT_EQ(target.on_report(make_report("a", 100, 5, target_state::draining)),
              report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 100, 4)), report_result::stale);
    EXPECT_EQ(target.on_report(make_report("a", 100, 5)), report_result::stale);
    EXPECT_EQ(target.current()->state, target_state::draining);
}

TEST(target_tracker, a_late_report_of_a_crashed_start_does_not_replace_its_successor)
{
    target_tracker target;
    target.on_report(make_report("a", 100, 50));
    EXPECT_EQ(target.on_report(make_report("b", 200, 1)), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 100, 51)), report_result::stale);
    EXPECT_EQ(target.current()->identity, "b");
}

TEST(target_tracker, a_later_start_with_the_same_identity_replaces_the_earlier_one)
{
    target_tracker target;
    target.on_report(make_report("a", 100, 50));
    EXPECT_EQ(target.on_report(make_report("a", 200, 1)), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 100, 51)), report_result::stale);
    EXPECT_EQ(target.on_leave("a", 100, deregistered), report_result::stale);
    EXPECT_TRUE(target.current().has_value());
}

TEST(target_tracker, a_target_that_left_returns_only_with_a_later_start)
{
    target_tracker target;
    target.on_report(make_report("a", 100, 5));
    EXPECT_EQ(target.on_leave("a", 100, deregistered), report_result::accepted);
    EXPECT_FALSE(target.current().has_value());
    EXPECT_EQ(target.on_report(make_report("a", 100, 6)), report_result::stale);
    EXPECT_EQ(target.on_report(make_report("a", 101, 1)), report_result::accepted);
}

// Guards against a target that has left and is used again: the node was restarted, the target
// deregistered before its first report to the new process, and an earlier report arrived late.
TEST(target_tracker, a_target_that_deregisters_before_its_first_report_has_left)
{
    target_tracker target;
    EXPECT_EQ(target.on_leave("a", 100, deregistered), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 100, 7)), report_result::stale);
    EXPECT_FALSE(target.current().has_value());
    EXPECT_EQ(target.on_report(make_report("b", 200, 1)), report_result::accepted);
}

// Guards against the same if a report of an even earlier target arrived in between.
TEST(target_tracker, a_target_that_deregisters_replaces_an_earlier_one)
{
    target_tracker target;
    target.on_report(make_report("old", 50, 9));
    EXPECT_EQ(target.on_leave("a", 100, deregistered), report_result::accepted);
    EXPECT_FALSE(target.current().has_value());
    EXPECT_EQ(target.on_report(make_report("a", 100, 7)), report_result::stale);
    EXPECT_EQ(target.on_report(make_report("old", 50, 10)), report_result::stale);
}

// Guards against a late deregistration that would end the target that is in use now.
TEST(target_tracker, a_late_deregistration_of_an_earlier_target_is_ignored)
{
    target_tracker target;
    target.on_report(make_report("b", 200, 1));
    EXPECT_EQ(target.on_leave("a", 100, deregistered), report_result::stale);
    EXPECT_EQ(target.current()->identity, "b");
}

// Guards against a target that has left and is used again, if deregistrations state no start time.
TEST(target_tracker, a_deregistration_without_a_start_time_covers_earlier_starts)
{
    target_tracker target;
    EXPECT_EQ(target.on_leave("a", unknown_start_time, deregistered), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 100, 7)), report_result::stale);
    EXPECT_EQ(target.on_report(make_report("a", 1001, 1)), report_result::accepted);
}

// Guards against a deregistration without a start time that would block every later target.
TEST(target_tracker, a_deregistration_without_a_start_time_blocks_no_other_target)
{
    target_tracker target;
    EXPECT_EQ(target.on_leave("a", unknown_start_time, deregistered), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("b", 200, 1)), report_result::accepted);
    EXPECT_EQ(target.on_leave("b", unknown_start_time, deregistered), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("c", 300, 1)), report_result::accepted);
}

TEST(target_tracker, starts_without_start_time_are_distinguished_by_identity)
{
    target_tracker target;
    target.on_report(make_report("a", 0, 50));
    EXPECT_EQ(target.on_report(make_report("b", 0, 1)), report_result::accepted);
    EXPECT_EQ(target.on_report(make_report("a", 0, 51)), report_result::stale);
}

} // namespace
} // namespace fescuedyke
