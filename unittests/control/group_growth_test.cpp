#include "cluster/cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace fescuedyke {
namespace {

using cluster::control_cluster;

constexpr millis growth_limit{20'000};
const std::vector<std::string> seeds = {"m1", "m2", "m3"};

control_settings growing()
{
    control_settings settings;
    settings.raft.desired_voters = 5;
    settings.assigns_keys = false;
    return settings;
}

std::set<std::string> voters_of(control_cluster& c)
{
    std::set<std::string> voters;
    const auto leader = c.leader();
    if (!leader) {
        return voters;
    }
    for (const member_entry& m : c.core(*leader).raft().log().members()) {
        if (m.voter) {
            voters.insert(m.id.name);
        }
    }
    return voters;
}

bool grows_to(control_cluster& c, const std::set<std::string>& expected)
{
    return c.run_until(growth_limit, [&] { return voters_of(c) == expected; });
}

/// Three founding members and two more that join them.
void found_five(control_cluster& c)
{
    ASSERT_TRUE(c.add("m4", seeds, true).ok());
    ASSERT_TRUE(c.add("m5", seeds, true).ok());
    ASSERT_TRUE(grows_to(c, {"m1", "m2", "m3", "m4", "m5"}));
    c.founded();
}

document_change document(std::uint64_t based_on, std::uint64_t version, const std::string& text)
{
    document_change change;
    change.based_on = based_on;
    change.version = version;
    change.text = std::make_shared<const std::string>(text);
    change.change_id = std::to_string(based_on) + text;
    return change;
}

/// Sends a change to whoever leads until it is decided, as an operator does.
std::optional<change_result> decide(control_cluster& c, const document_change& change)
{
    static std::uint64_t request = 1'000'000;
    std::optional<change_result> result;
    c.run_until(growth_limit, [&] {
        const auto leader = c.leader();
        if (!leader) {
            return false;
        }
        const std::uint64_t own = ++request;
        c.propose_document(*leader, own, change);
        c.run_until(millis(1000), [&] { return c.answers().count(own) != 0; });
        const auto found = c.answers().find(own);
        if (found != c.answers().end() && found->second.outcome == change_outcome::decided) {
            result = found->second.result;
        }
        return result.has_value();
    });
    return result;
}

/// Cuts off members until one that is no seed leads.
std::string let_a_newcomer_lead(control_cluster& c)
{
    for (int i = 0; i < 40; ++i) {
        const auto leader = c.leader();
        if (leader && (*leader == "m4" || *leader == "m5")) {
            return *leader;
        }
        if (leader) {
            c.cut_off(*leader);
        }
        c.run_for(millis(2500));
        c.mend();
        c.run_for(millis(1000));
    }
    return "";
}

TEST(group_growth, others_join_the_founding_three_until_five_vote)
{
    control_cluster c(3, 11, growing());
    found_five(c);
    EXPECT_EQ(c.violation(), "");
}

TEST(group_growth, a_newcomer_is_caught_up_by_a_leader_that_is_none_of_its_seeds)
{
    control_cluster c(3, 12, growing());
    found_five(c);
    ASSERT_TRUE(decide(c, document(0, 3, "first")));
    const std::string leader = let_a_newcomer_lead(c);
    ASSERT_NE(leader, "");
    c.crash("m1");
    ASSERT_TRUE(c.add("m6", seeds, false).ok());
    EXPECT_TRUE(
        c.run_until(growth_limit, [&] { return c.core("m6").state().document().version == 3; }))
        << "led by " << leader;
    EXPECT_EQ(c.violation(), "");
}

TEST(group_growth, a_member_that_lags_does_not_pass_for_fresh)
{
    control_cluster c(3, 13, growing());
    found_five(c);
    ASSERT_TRUE(decide(c, document(0, 3, "first")));
    const std::string leader = *c.leader();
    const std::string other = leader == "m2" ? "m3" : "m2";
    // What the leader sends arrives, but its answers do not, so that nothing more is sent to it.
    c.cut(other, leader);
    c.crash(other);
    c.disk(other).wipe();
    ASSERT_TRUE(c.start(other).ok());
    for (int i = 0; i < 100; ++i) {
        c.run_for(millis(50));
        const bool behind = c.core(other).state().document().version < 3;
        ASSERT_FALSE(behind && c.core(other).beacon_age(c.now()) < millis(1500));
    }
}

TEST(group_growth, a_silent_voter_makes_room_for_a_newcomer_and_comes_back_later)
{
    control_cluster c(3, 14, growing());
    found_five(c);
    c.crash("m2");
    ASSERT_TRUE(c.add("m6", seeds, false).ok());
    EXPECT_TRUE(grows_to(c, {"m1", "m3", "m4", "m5", "m6"}));
    ASSERT_TRUE(c.start("m2").ok());
    // It learns that it was taken out, and waits as a spare.
    EXPECT_TRUE(c.run_until(growth_limit, [&] {
        const auto leader = c.leader();
        return leader && c.core(*leader).raft().log().members().size() == 6;
    }));
    c.crash("m5");
    EXPECT_TRUE(grows_to(c, {"m1", "m2", "m3", "m4", "m6"}));
    EXPECT_EQ(c.violation(), "");
}

TEST(group_growth, a_group_that_was_killed_whole_leads_again_within_an_election_time_out)
{
    int late = 0;
    constexpr int groups = 20;
    for (int i = 0; i < groups; ++i) {
        control_cluster c(3, 100 + static_cast<std::uint64_t>(i), growing());
        found_five(c);
        for (const std::string& name : c.names()) {
            c.crash(name);
        }
        c.run_for(millis(1000));
        for (const std::string& name : c.names()) {
            ASSERT_TRUE(c.start(name).ok());
        }
        const bool led =
            c.run_until(growing().raft.election_timeout, [&] { return c.leader().has_value(); });
        late += led ? 0 : 1;
        EXPECT_EQ(c.violation(), "");
    }
    // Votes may be split now and then.
    EXPECT_LE(late, groups / 4);
}

TEST(group_growth, members_without_a_disk_never_found_a_second_group)
{
    control_cluster c(3, 15, growing());
    found_five(c);
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

TEST(route_documents, one_of_two_on_the_same_version_wins_and_resends_get_the_first_answer)
{
    control_cluster c(3, 16, growing());
    found_five(c);
    ASSERT_EQ(decide(c, document(0, 3, "a"))->code, change_code::accepted);
    EXPECT_EQ(decide(c, document(3, 9, "b"))->code, change_code::accepted);
    EXPECT_EQ(decide(c, document(3, 9, "c"))->code, change_code::conflict);
    EXPECT_EQ(decide(c, document(9, 9, "d"))->code, change_code::conflict) << "not above";
    EXPECT_EQ(decide(c, document(9, 12, "e"))->code, change_code::accepted);
    EXPECT_EQ(decide(c, document(3, 9, "b"))->code, change_code::accepted) << "a resend";
    EXPECT_EQ(c.core(*c.leader()).state().document().version, 12U);
}

TEST(route_documents, a_read_is_answered_only_by_a_leader_that_a_quorum_confirms)
{
    control_cluster c(3, 17, growing());
    found_five(c);
    ASSERT_TRUE(decide(c, document(0, 3, "first")));
    const std::string old = *c.leader();
    c.read_document(old, 1);
    ASSERT_TRUE(c.run_until(millis(1000), [&] { return c.documents().count(1) != 0; }));
    EXPECT_EQ(c.documents().at(1).document.version, 3U);
    c.cut_off(old);
    c.read_document(old, 2);
    c.run_for(millis(8000));
    ASSERT_EQ(c.documents().count(2), 1U);
    EXPECT_NE(c.documents().at(2).outcome, change_outcome::decided);
}

TEST(control_disk, a_member_goes_on_when_its_full_disk_takes_writes_again)
{
    control_cluster c(1, 18, control_settings{});
    ASSERT_TRUE(c.run_until(growth_limit, [&] { return c.leader().has_value(); }));
    cluster::fake_disk disk;
    member_store store(disk);
    account_book accounts({}, disk);
    ASSERT_TRUE(accounts.open().ok());
    const auto found = store.open("alone", 7);
    ASSERT_TRUE(found.ok());
    member_entry self;
    self.id = found->id;
    random_source random(18);
    control_core core({}, self, {self}, *found, 1, store, accounts, random);
    instant now(1000);
    const auto run = [&](millis time) {
        for (const instant until = now + time; now < until; now = now + millis(20)) {
            core.handle(control_tick{}, {now, wall_time(now.since_origin())});
        }
    };
    run(millis(3000));
    ASSERT_TRUE(core.raft().is_leader());
    disk.fill_up();
    core.handle(document_requested{request_id(1), document(0, 3, "first")}, {now, wall_time(0)});
    run(millis(1000));
    EXPECT_FALSE(core.disk().ok());
    EXPECT_EQ(core.state().document().version, 0U);
    disk.repair();
    run(millis(3000));
    EXPECT_TRUE(core.disk().ok());
    EXPECT_EQ(core.state().document().version, 3U);
}

} // namespace
} // namespace fescuedyke
