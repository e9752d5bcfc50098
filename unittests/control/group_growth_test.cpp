#include "growing_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace fescuedyke {
namespace {

using cluster::control_cluster;

/// Partitions leaders until a member that is not a seed leads. Returns its name, or "" on failure.
std::string elect_joined_member(control_cluster& c)
{
    for (int i = 0; i < 40; ++i) {
        const auto leader = c.leader();
        if (leader && (*leader == "m4" || *leader == "m5")) {
            return *leader;
        }
        if (leader) {
            c.isolate(*leader);
        }
        c.run_for(millis(2500));
        c.unblock_links();
        c.run_for(millis(1000));
    }
    return "";
}

TEST(group_growth, instances_join_the_initial_members_until_there_are_five_voters)
{
    control_cluster c(3, 11, growing_group_settings());
    start_group_of_five(c);
    EXPECT_EQ(c.violation(), "");
}

// Guards against changes that are accepted on two disks, because the founding takes too long.
TEST(group_growth, a_new_group_has_five_voters_within_4_s)
{
    for (std::uint64_t seed = 65843; seed < 65843 + 100; ++seed) {
        control_cluster c(3, seed, growing_group_settings());
        ASSERT_TRUE(c.add_member("m4", group_seeds(), true).ok());
        ASSERT_TRUE(c.add_member("m5", group_seeds(), true).ok());
        ASSERT_TRUE(c.run_until(catch_up_time, [&] { return voters_of(c).size() == 5; }))
            << "seed " << seed;
    }
}

TEST(group_growth, a_new_member_catches_up_from_a_leader_that_is_not_one_of_its_seeds)
{
    control_cluster c(3, 12, growing_group_settings());
    start_group_of_five(c);
    ASSERT_TRUE(commit_change(c, make_document_change(0, 3, "first")));
    const std::string leader = elect_joined_member(c);
    ASSERT_NE(leader, "");
    c.crash("m1");
    ASSERT_TRUE(c.add_member("m6", group_seeds(), false).ok());
    EXPECT_TRUE(c.run_until(max_wait, [&] { return c.core("m6").state().document().version == 3; }))
        << "leader: " << leader;
    EXPECT_EQ(c.violation(), "");
}

TEST(group_growth, a_lagging_member_does_not_report_a_recent_quorum_confirmation)
{
    control_cluster c(3, 13, growing_group_settings());
    start_group_of_five(c);
    ASSERT_TRUE(commit_change(c, make_document_change(0, 3, "first")));
    const std::string leader = *c.leader();
    const std::string lagging_member = leader == "m2" ? "m3" : "m2";
    // The member receives the leader's messages, but its replies are lost, so the leader sends it
    // no further entries.
    c.block_link(lagging_member, leader);
    c.crash(lagging_member);
    c.disk(lagging_member).wipe();
    ASSERT_TRUE(c.start(lagging_member).ok());
    for (int i = 0; i < 100; ++i) {
        c.run_for(millis(50));
        const bool behind = c.core(lagging_member).state().document().version < 3;
        ASSERT_FALSE(behind &&
                     c.core(lagging_member).quorum_confirmation_age(c.now()) < millis(1500));
    }
}

TEST(group_growth, a_silent_voter_is_replaced_by_a_new_member_and_can_return_later)
{
    control_cluster c(3, 14, growing_group_settings());
    start_group_of_five(c);
    c.crash("m2");
    ASSERT_TRUE(c.add_member("m6", group_seeds(), false).ok());
    EXPECT_TRUE(wait_for_voters(c, {"m1", "m3", "m4", "m5", "m6"}));
    ASSERT_TRUE(c.start("m2").ok());
    // It learns that it was removed from the group and rejoins as a learner, which can replace a
    // silent voter.
    EXPECT_TRUE(c.run_until(max_wait, [&] {
        const auto leader = c.leader();
        return leader && c.core(*leader).raft().log().members().size() == 6;
    }));
    c.crash("m5");
    EXPECT_TRUE(wait_for_voters(c, {"m1", "m2", "m3", "m4", "m6"}));
    EXPECT_EQ(c.violation(), "");
}

/// Ends the leader's process and starts it again one second later.
void restart_leader(control_cluster& c)
{
    const auto leader = c.leader();
    ASSERT_TRUE(leader);
    c.crash(*leader);
    c.run_for(millis(1000));
    ASSERT_TRUE(c.start(*leader).ok());
}

// Guards against a group that stays below five voters, because elections delay its repair.
TEST(group_growth, an_instance_that_lost_its_disk_votes_4_s_after_its_return_despite_an_election)
{
    control_cluster c(3, 19, growing_group_settings());
    start_group_of_five(c);
    const std::string wiped_member = *c.leader() == "m2" ? "m3" : "m2";
    c.crash(wiped_member);
    c.disk(wiped_member).wipe();
    c.run_for(millis(1500));
    ASSERT_TRUE(c.start(wiped_member).ok());
    const instant counts_again = c.now() + catch_up_time;
    c.run_for(millis(1000));
    restart_leader(c);
    EXPECT_TRUE(
        c.run_until(counts_again - c.now(), [&] { return votes_with_its_disk(c, wiped_member); }));
    EXPECT_EQ(c.violation(), "");
}

// Guards against a vote that is kept, although its instance asks to join with another disk.
TEST(group_growth, an_instance_that_lost_its_disk_votes_2_s_after_its_return)
{
    control_cluster c(3, 21, growing_group_settings());
    start_group_of_five(c);
    const std::string wiped_member = *c.leader() == "m2" ? "m3" : "m2";
    c.crash(wiped_member);
    c.disk(wiped_member).wipe();
    c.run_for(millis(900));
    ASSERT_TRUE(c.start(wiped_member).ok());
    EXPECT_TRUE(c.run_until(millis(2000), [&] { return votes_with_its_disk(c, wiped_member); }));
    EXPECT_EQ(c.violation(), "");
}

// Guards against a loss of changes after cut-off voters were removed too early.
TEST(group_growth, cut_off_voters_are_not_removed_before_a_learner_votes_in_their_place)
{
    control_cluster c(3, 22, growing_group_settings());
    start_group_of_five(c);
    const std::string leader = *c.leader();
    for (const char* name : {"m4", "m5"}) {
        ASSERT_NE(name, leader);
        c.isolate(name);
    }
    c.run_for(millis(3500));
    ASSERT_TRUE(c.add_member("m6", {"m1", "m2", "m3"}, false).ok());
    ASSERT_TRUE(
        c.run_until(max_wait, [&] { return c.core(leader).raft().log().members().size() == 6; }));
    c.crash("m6");
    c.run_for(millis(1000));
    EXPECT_GE(voters_of(c).size(), 5U);
}

// Guards against a loss of changes after two instances that lost their disks lost their votes.
TEST(group_growth, the_votes_of_two_lost_disks_are_kept_until_the_new_disks_vote)
{
    control_cluster c(3, 23, growing_group_settings());
    start_group_of_five(c);
    const std::string leader = *c.leader();
    const std::vector<std::string> wiped_members = {"m4", "m5"};
    for (const std::string& name : wiped_members) {
        ASSERT_NE(name, leader);
        c.crash(name);
        c.disk(name).wipe();
        // The instance asks the other members to join, but does not hear the leader.
        c.block_link(leader, name);
    }
    c.run_for(millis(1000));
    for (const std::string& name : wiped_members) {
        ASSERT_TRUE(c.start(name).ok());
    }
    for (int i = 0; i < 60; ++i) {
        c.run_for(millis(50));
        ASSERT_GE(voters_of(c).size(), 4U) << "quorum of two disks";
    }
    c.unblock_links();
    EXPECT_TRUE(c.run_until(
        max_wait, [&] { return votes_with_its_disk(c, "m4") && votes_with_its_disk(c, "m5"); }));
    EXPECT_EQ(voters_of(c).size(), 5U);
}

// Guards against a removed instance that keeps its vote, because elections delay its removal.
TEST(group_growth, a_successor_votes_4_s_after_its_start_despite_two_elections)
{
    control_cluster c(3, 20, growing_group_settings());
    start_group_of_five(c);
    // The removed instance leads, so that its removal causes the first election.
    c.crash(*c.leader());
    ASSERT_TRUE(c.add_member("m6", {"m1", "m2", "m3"}, false).ok());
    const instant counts_again = c.now() + catch_up_time;
    ASSERT_TRUE(c.run_until(millis(2000), [&] { return c.leader().has_value(); }));
    c.run_for(millis(500));
    restart_leader(c);
    EXPECT_TRUE(c.run_until(counts_again - c.now(), [&] { return votes_with_its_disk(c, "m6"); }));
    EXPECT_EQ(c.violation(), "");
}

// Guards against two votes of ended instances, when only one of them still counts as lost.
TEST(group_growth, of_a_removed_instance_and_an_ended_leader_one_has_no_vote_after_4_s)
{
    for (std::int64_t leader_ends = 0; leader_ends < 2500; leader_ends += 10) {
        control_cluster c(3, 24 + static_cast<std::uint64_t>(leader_ends),
                          growing_group_settings());
        start_group_of_five(c);
        ASSERT_EQ(voters_of(c).count("m4"), 1U);
        c.crash("m4");
        c.run_for(millis(500));
        ASSERT_TRUE(c.add_member("m6", {"m1", "m2", "m3"}, false).ok());
        const instant counts_again = c.now() + catch_up_time;
        c.run_for(millis(leader_ends));
        c.crash(*c.leader());
        EXPECT_TRUE(c.run_until(counts_again - c.now(),
                                [&] {
                                    const std::set<std::string> voters = voters_of(c);
                                    return std::count_if(voters.begin(), voters.end(),
                                                         [&](const std::string& v) {
                                                             return c.is_up(v);
                                                         }) == 4;
                                }))
            << "the leader ended after " << leader_ends << " ms";
    }
}

TEST(group_growth, a_group_whose_members_all_crashed_elects_a_leader_within_one_election_timeout)
{
    int late_elections = 0;
    constexpr int groups = 20;
    for (int i = 0; i < groups; ++i) {
        control_cluster c(3, 100 + static_cast<std::uint64_t>(i), growing_group_settings());
        start_group_of_five(c);
        for (const std::string& name : c.names()) {
            c.crash(name);
        }
        c.run_for(millis(1000));
        for (const std::string& name : c.names()) {
            ASSERT_TRUE(c.start(name).ok());
        }
        const bool elected = c.run_until(growing_group_settings().raft.election_timeout,
                                         [&] { return c.leader().has_value(); });
        late_elections += elected ? 0 : 1;
        EXPECT_EQ(c.violation(), "");
    }
    // Some elections may end in a split vote and take longer.
    EXPECT_LE(late_elections, groups / 4);
}

TEST(group_growth, members_with_wiped_disks_never_bootstrap_a_second_group)
{
    control_cluster c(3, 15, growing_group_settings());
    start_group_of_five(c);
    for (const std::string& name : c.names()) {
        c.crash(name);
        c.disk(name).wipe();
    }
    for (const std::string& name : c.names()) {
        ASSERT_TRUE(c.start(name).ok());
    }
    c.run_for(millis(30'000));
    EXPECT_FALSE(c.leader().has_value());
}

TEST(route_documents,
     of_two_changes_based_on_the_same_version_one_is_rejected_and_retries_get_the_first_result)
{
    control_cluster c(3, 16, growing_group_settings());
    start_group_of_five(c);
    ASSERT_EQ(commit_change(c, make_document_change(0, 3, "a"))->code, change_code::accepted);
    EXPECT_EQ(commit_change(c, make_document_change(3, 9, "b"))->code, change_code::accepted);
    EXPECT_EQ(commit_change(c, make_document_change(3, 9, "c"))->code, change_code::conflict);
    EXPECT_EQ(commit_change(c, make_document_change(9, 9, "d"))->code, change_code::conflict)
        << "the new version must be greater";
    EXPECT_EQ(commit_change(c, make_document_change(9, 12, "e"))->code, change_code::accepted);
    EXPECT_EQ(commit_change(c, make_document_change(3, 9, "b"))->code, change_code::accepted)
        << "a retry must get the first result";
    EXPECT_EQ(c.core(*c.leader()).state().document().version, 12U);
}

TEST(route_documents, only_a_leader_confirmed_by_a_quorum_answers_a_read)
{
    control_cluster c(3, 17, growing_group_settings());
    start_group_of_five(c);
    ASSERT_TRUE(commit_change(c, make_document_change(0, 3, "first")));
    const std::string old_leader = *c.leader();
    c.read_document(old_leader, 1);
    ASSERT_TRUE(c.run_until(millis(1000), [&] { return c.documents().count(1) != 0; }));
    EXPECT_EQ(c.documents().at(1).document.version, 3U);
    c.isolate(old_leader);
    c.read_document(old_leader, 2);
    c.run_for(millis(8000));
    ASSERT_EQ(c.documents().count(2), 1U);
    EXPECT_NE(c.documents().at(2).outcome, change_outcome::committed);
}

TEST(control_disk, a_member_resumes_when_its_full_disk_accepts_writes_again)
{
    control_cluster c(1, 18, control_settings{});
    ASSERT_TRUE(c.run_until(max_wait, [&] { return c.leader().has_value(); }));
    cluster::fake_disk disk;
    member_store store(disk);
    account_store accounts({}, disk);
    ASSERT_TRUE(accounts.open().ok());
    const auto stored = store.open("alone", 7);
    ASSERT_TRUE(stored.ok());
    member_entry self;
    self.id = stored->id;
    random_source random(18);
    control_core core({}, self, {self}, *stored, 1, store, accounts, random);
    instant now(1000);
    const auto run = [&](millis time) {
        for (const instant until = now + time; now < until; now = now + millis(20)) {
            core.handle(control_tick{}, {now, wall_time(now.since_origin())});
        }
    };
    run(millis(3000));
    ASSERT_TRUE(core.raft().is_leader());
    disk.fill_up();
    core.handle(document_change_requested{request_id(1), make_document_change(0, 3, "first")},
                {now, wall_time(0)});
    run(millis(1000));
    EXPECT_FALSE(core.disk_status().ok());
    EXPECT_EQ(core.state().document().version, 0U);
    disk.repair();
    run(millis(3000));
    EXPECT_TRUE(core.disk_status().ok());
    EXPECT_EQ(core.state().document().version, 3U);
}

} // namespace
} // namespace fescuedyke
