#include "fescuedyke/membership/target_register.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

target_report report(const std::string& identity, std::uint64_t started, std::uint64_t sequence,
                     target_state state = target_state::ready)
{
    target_report r;
    r.identity = identity;
    r.started = started;
    r.sequence = sequence;
    r.state = state;
    return r;
}

TEST(target_register, late_reports_of_one_start_change_nothing)
{
    target_register held;
    EXPECT_EQ(held.on_report(report("a", 100, 5, target_state::draining)), report_effect::taken);
    EXPECT_EQ(held.on_report(report("a", 100, 4)), report_effect::stale);
    EXPECT_EQ(held.on_report(report("a", 100, 5)), report_effect::stale);
    EXPECT_EQ(held.present()->state, target_state::draining);
}

TEST(target_register, a_report_of_a_start_that_has_crashed_does_not_displace_its_successor)
{
    target_register held;
    held.on_report(report("a", 100, 50));
    EXPECT_EQ(held.on_report(report("b", 200, 1)), report_effect::taken);
    EXPECT_EQ(held.on_report(report("a", 100, 51)), report_effect::stale);
    EXPECT_EQ(held.present()->identity, "b");
}

TEST(target_register, a_start_under_the_same_name_counts_anew)
{
    target_register held;
    held.on_report(report("a", 100, 50));
    EXPECT_EQ(held.on_report(report("a", 200, 1)), report_effect::taken);
    EXPECT_EQ(held.on_report(report("a", 100, 51)), report_effect::stale);
    EXPECT_EQ(held.on_leave("a", 100), report_effect::stale);
    EXPECT_TRUE(held.present().has_value());
}

TEST(target_register, a_target_that_left_comes_back_only_as_a_later_start)
{
    target_register held;
    held.on_report(report("a", 100, 5));
    EXPECT_EQ(held.on_leave("a", 100), report_effect::taken);
    EXPECT_FALSE(held.present().has_value());
    EXPECT_EQ(held.on_report(report("a", 100, 6)), report_effect::stale);
    EXPECT_EQ(held.on_report(report("a", 101, 1)), report_effect::taken);
}

TEST(target_register, starts_that_do_not_tell_their_time_are_told_apart_by_name)
{
    target_register held;
    held.on_report(report("a", 0, 50));
    EXPECT_EQ(held.on_report(report("b", 0, 1)), report_effect::taken);
    EXPECT_EQ(held.on_report(report("a", 0, 51)), report_effect::stale);
}

} // namespace
} // namespace fescuedyke
