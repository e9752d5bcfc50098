#include "cluster/cluster.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

using cluster::control_cluster;

/// Longer than a member waits before it copies the reports of a silent source.
constexpr millis copy_time{8000};
const account_key row_key{account_side::served, owner_name("inkwell"), service_name("bookings")};

account_report make_report(std::uint64_t sequence, std::int64_t reported_at,
                           std::uint64_t answered_count)
{
    account_report report;
    report.instance = instance_id("bookings-2");
    report.node_incarnation = incarnation(7);
    report.owner = owner_name("inkwell");
    report.sequence = sequence;
    report.reported_at = wall_time(reported_at);
    report.rows[row_key].received = answered_count;
    report.rows[row_key].answered = answered_count;
    return report;
}

const account_entry* find_entry(control_cluster& c, const std::string& member)
{
    const auto& entries = c.core(member).accounts().entries();
    const auto found = entries.find({instance_id("bookings-2"), incarnation(7)});
    return found == entries.end() ? nullptr : &found->second;
}

void replace_disk(control_cluster& c, const std::string& member)
{
    c.crash(member);
    c.disk(member).wipe();
    ASSERT_TRUE(c.start(member).ok());
}

bool is_voter(control_cluster& c, const std::string& member)
{
    const auto leader = c.leader();
    if (!leader) {
        return false;
    }
    for (const member_entry& m : c.core(*leader).raft().log().members()) {
        if (m.id == c.core(member).raft().self()) {
            return m.voter;
        }
    }
    return false;
}

// Guards against an account that lacks an ended process without a gap: one of the two members that
// held its reports had lost its disk, and the other one was down.
TEST(account_copy, the_report_of_an_ended_process_outlives_a_lost_disk_and_a_later_crash)
{
    control_cluster c(3, 11);
    ASSERT_TRUE(c.run_until(millis(6000), [&] { return c.leader().has_value(); }));
    c.deliver_report("m1", make_report(3, 1000, 40));
    c.deliver_report("m2", make_report(3, 1000, 40));
    c.run_for(copy_time);
    replace_disk(c, "m1");
    ASSERT_TRUE(c.run_until(millis(30'000), [&] { return is_voter(c, "m1"); }));
    c.crash("m2");
    ASSERT_TRUE(c.run_until(millis(30'000), [&] { return c.leader().has_value(); }));
    const account_entry* entry = find_entry(c, "m3");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->latest.rows.at(row_key).answered, 40U);
}

TEST(account_copy, copies_arrive_after_a_cut_with_the_latest_report_that_was_received_meanwhile)
{
    control_cluster c(3, 12);
    ASSERT_TRUE(c.run_until(millis(6000), [&] { return c.leader().has_value(); }));
    c.isolate("m3");
    c.deliver_report("m1", make_report(1, 1000, 10));
    c.run_for(copy_time);
    c.deliver_report("m1", make_report(2, 9000, 25));
    c.run_for(copy_time);
    EXPECT_EQ(find_entry(c, "m3"), nullptr);
    c.unblock_links();
    c.run_for(copy_time);
    for (const char* member : {"m2", "m3"}) {
        const account_entry* entry = find_entry(c, member);
        ASSERT_NE(entry, nullptr) << member;
        EXPECT_EQ(entry->latest.rows.at(row_key).answered, 25U) << member;
    }
}

TEST(account_copy, copies_are_sent_again_until_the_receiver_has_them_on_its_disk)
{
    control_cluster c(3, 13);
    c.keep_members_with_failed_disks();
    ASSERT_TRUE(c.run_until(millis(6000), [&] { return c.leader().has_value(); }));
    c.deliver_report("m1", make_report(1, 1000, 10));
    c.disk("m3").fill_up();
    c.run_for(copy_time);
    c.crash("m3");
    c.disk("m3").repair();
    ASSERT_TRUE(c.start("m3").ok());
    EXPECT_EQ(find_entry(c, "m3"), nullptr);
    c.run_for(copy_time);
    c.crash("m3");
    ASSERT_TRUE(c.start("m3").ok());
    EXPECT_NE(find_entry(c, "m3"), nullptr);
}

TEST(account_copy, messages_are_lost_and_repeated_and_every_member_gets_every_source)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        control_settings settings;
        settings.account_copies.max_reports_per_message = 2;
        control_cluster c(3, seed, settings);
        c.set_faults({20, 20, millis(50)});
        ASSERT_TRUE(c.run_until(millis(20'000), [&] { return c.leader().has_value(); }));
        for (std::uint64_t i = 1; i <= 5; ++i) {
            account_report report = make_report(i, 1000, i);
            report.node_incarnation = incarnation(i);
            c.deliver_report(i % 2 == 0 ? "m1" : "m2", report);
        }
        c.run_for(millis(30'000));
        for (const std::string& name : c.names()) {
            EXPECT_EQ(c.core(name).accounts().entries().size(), 5U) << seed << " " << name;
        }
    }
}

TEST(account_copy, no_copy_is_sent_of_a_source_that_reports)
{
    control_cluster c(3, 14);
    ASSERT_TRUE(c.run_until(millis(6000), [&] { return c.leader().has_value(); }));
    for (std::uint64_t i = 1; i <= 20; ++i) {
        c.deliver_report("m1", make_report(i, 1000 + static_cast<std::int64_t>(i) * 3000, i));
        c.run_for(millis(3000));
    }
    EXPECT_EQ(find_entry(c, "m2"), nullptr);
    EXPECT_EQ(find_entry(c, "m3"), nullptr);
}

/// A member that held all reports, and one that got only those from the third on.
struct two_stores {
    cluster::fake_disk complete_disk;
    cluster::fake_disk late_disk;
    account_store complete{{}, complete_disk};
    account_store late{{}, late_disk};

    two_stores()
    {
        for (std::uint64_t i = 1; i <= 4; ++i) {
            const account_report report =
                make_report(i * 10, static_cast<std::int64_t>(i) * 20'000, i * 100);
            complete.on_report(report, instant(0));
            if (i >= 3) {
                late.on_report(report, instant(0));
            }
        }
    }
};

std::uint64_t answered_between(const account_store& store, std::int64_t from, std::int64_t to)
{
    const account_entry& entry = store.entries().begin()->second;
    const auto rows = account_store::rows_between(entry, wall_time(from), wall_time(to));
    return rows.empty() ? 0 : rows.begin()->second.answered;
}

TEST(account_copy, a_copy_adds_the_counts_from_before_the_first_report_that_a_member_got)
{
    two_stores s;
    EXPECT_EQ(answered_between(s.late, 40'000, 60'000), 300U);
    s.late.on_copy(account_store::make_copy(s.complete.entries().begin()->second));
    EXPECT_EQ(answered_between(s.late, 40'000, 60'000), 100U);
    ASSERT_TRUE(s.late.flush().ok());
    account_store reopened({}, s.late_disk);
    ASSERT_TRUE(reopened.open().ok());
    EXPECT_EQ(answered_between(reopened, 40'000, 60'000), 100U);
    EXPECT_EQ(answered_between(reopened, 0, 80'000), 400U);
}

TEST(account_copy, a_copy_that_is_older_or_malformed_changes_nothing)
{
    two_stores s;
    const account_copy older = account_store::make_copy(s.late.entries().begin()->second);
    s.complete.on_copy(older);
    s.complete.on_copy({});
    s.complete.on_copy({account_report{}});
    EXPECT_EQ(s.complete.entries().size(), 1U);
    EXPECT_EQ(answered_between(s.complete, 20'000, 80'000), 300U);
    s.complete.on_report(make_report(50, 100'000, 500), instant(0));
    s.complete.on_copy(older);
    EXPECT_EQ(s.complete.entries().begin()->second.latest.sequence, 50U);
}

} // namespace
} // namespace fescuedyke
