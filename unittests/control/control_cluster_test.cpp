#include "cluster/cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

using cluster::control_cluster;
using cluster::make_change;

constexpr millis election_limit{6000};

std::string must_lead(control_cluster& c)
{
    const bool led = c.run_until(election_limit, [&] { return c.leader().has_value(); });
    EXPECT_TRUE(led) << "no leader came up";
    return led ? *c.leader() : "m1";
}

/// Proposes at whoever leads until the change is decided, as an operator does.
answer_change decide(control_cluster& c, const policy_change& change)
{
    answer_change last;
    const bool decided = c.run_until(millis(30'000), [&] {
        const auto leader = c.leader();
        if (!leader) {
            return false;
        }
        const std::uint64_t request = c.propose(*leader, change);
        c.run_until(millis(1000), [&] { return c.answers().count(request) != 0; });
        const auto found = c.answers().find(request);
        if (found != c.answers().end()) {
            last = found->second;
        }
        return last.outcome == change_outcome::decided;
    });
    EXPECT_TRUE(decided);
    return last;
}

bool all_applied(control_cluster& c, config_version version)
{
    for (const std::string& name : c.names()) {
        if (!c.is_up(name) || c.core(name).state().version() < version) {
            return false;
        }
    }
    return true;
}

TEST(control_cluster, accepts_a_change_and_applies_it_everywhere)
{
    control_cluster c(3, 1);
    const answer_change answer = decide(c, make_change("id1", "p", 0));
    EXPECT_EQ(answer.result.code, change_code::accepted);
    EXPECT_TRUE(c.run_until(millis(1000), [&] { return all_applied(c, config_version(1)); }));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, an_account_that_cannot_be_written_is_told_and_written_later)
{
    control_cluster c(1, 5);
    must_lead(c);
    c.run_for(millis(1000));
    c.disk("m1").fill_up();
    account_report report;
    report.instance = instance_id("i1");
    report.sequence = 1;
    c.report("m1", report);
    ASSERT_TRUE(c.run_until(millis(5000), [&] { return !c.core("m1").accounts_written().ok(); }));
    EXPECT_TRUE(c.core("m1").disk().ok());
    c.disk("m1").repair();
    EXPECT_TRUE(c.run_until(millis(5000), [&] { return c.core("m1").accounts_written().ok(); }));
    c.crash("m1");
    ASSERT_TRUE(c.start("m1").ok());
    EXPECT_EQ(c.core("m1").accounts().entries().size(), 1U);
}

TEST(control_cluster, of_two_operators_with_equal_versions_one_wins)
{
    control_cluster c(3, 2);
    const std::string leader = must_lead(c);
    const std::uint64_t one = c.propose(leader, make_change("a", "p", 0));
    const std::uint64_t two = c.propose(leader, make_change("b", "p", 0));
    c.run_for(millis(500));
    EXPECT_EQ(c.answers().at(one).result.code, change_code::accepted);
    EXPECT_EQ(c.answers().at(two).result.code, change_code::conflict);
    EXPECT_EQ(c.answers().at(two).result.policy_version, 1U);
}

TEST(control_cluster, a_resend_gets_its_first_answer_after_fail_over_restart_and_snapshot)
{
    control_settings settings;
    settings.snapshot_every = 8;
    control_cluster c(3, 3, settings);
    const change_result first = decide(c, make_change("the-id", "p", 0)).result;
    for (int i = 0; i < 30; ++i) {
        decide(c, make_change("later" + std::to_string(i), "q" + std::to_string(i), 0));
    }
    c.crash(must_lead(c));
    const change_result again = decide(c, make_change("the-id", "p", 0)).result;
    EXPECT_EQ(again.version, first.version);
    EXPECT_EQ(again.code, first.code);
    for (const std::string& name : c.names()) {
        c.crash(name);
    }
    for (const std::string& name : c.names()) {
        ASSERT_TRUE(c.start(name).ok());
    }
    const change_result restarted = decide(c, make_change("the-id", "p", 0)).result;
    EXPECT_EQ(restarted.version, first.version);
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_member_cut_off_for_long_neither_leads_nor_disturbs)
{
    control_cluster c(3, 4);
    const std::string old = must_lead(c);
    c.cut_off(old);
    c.run_for(millis(2500));
    EXPECT_FALSE(c.core(old).raft().holds_leader_lease(c.now()));
    EXPECT_GT(c.core(old).beacon_age(c.now()), millis(1500));
    decide(c, make_change("while-away", "p", 0));
    c.run_for(millis(60'000));
    const std::string leader = must_lead(c);
    const log_term term = c.core(leader).raft().term();
    c.mend();
    EXPECT_TRUE(c.run_until(millis(3000), [&] { return all_applied(c, config_version(1)); }));
    EXPECT_EQ(c.core(*c.leader()).raft().term(), term) << "the member that came back forced a vote";
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_member_that_lost_its_disk_comes_back_as_a_learner_first)
{
    control_settings settings;
    settings.snapshot_every = 8;
    control_cluster c(3, 5, settings);
    for (int i = 0; i < 20; ++i) {
        decide(c, make_change("id" + std::to_string(i), "p" + std::to_string(i), 0));
    }
    const std::string leader = must_lead(c);
    const std::string lost = leader == "m1" ? "m2" : "m1";
    const std::uint64_t old_disk = c.core(lost).raft().self().disk_id;
    c.crash(lost);
    c.disk(lost).wipe();
    ASSERT_TRUE(c.start(lost).ok());
    EXPECT_NE(c.core(lost).raft().self().disk_id, old_disk);
    const auto is_voter_again = [&] {
        for (const member_entry& m : c.core(leader).raft().log().members()) {
            if (m.id == c.core(lost).raft().self()) {
                return m.voter;
            }
        }
        return false;
    };
    EXPECT_TRUE(c.run_until(millis(20'000), is_voter_again));
    EXPECT_TRUE(c.run_until(millis(3000), [&] { return all_applied(c, config_version(20)); }));
    // A second failure right after the repair loses nothing.
    c.crash(must_lead(c));
    EXPECT_EQ(decide(c, make_change("after", "after", 0)).result.version, config_version(21));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_wiped_member_cannot_vote_under_its_old_identity)
{
    control_cluster c(3, 6);
    decide(c, make_change("id", "p", 0));
    const std::string leader = must_lead(c);
    const std::string wiped = leader == "m1" ? "m2" : "m1";
    const std::string third = c.names()[3 - (leader[1] - '1') - (wiped[1] - '1')];
    // The third member misses the last entries; with the wiped one it would be a majority.
    c.crash(third);
    decide(c, make_change("id2", "p", 1));
    c.crash(leader);
    c.crash(wiped);
    c.disk(wiped).wipe();
    ASSERT_TRUE(c.start(wiped).ok());
    ASSERT_TRUE(c.start(third).ok());
    EXPECT_FALSE(c.run_until(millis(20'000), [&] { return c.leader().has_value(); }));
    ASSERT_TRUE(c.start(leader).ok());
    EXPECT_TRUE(c.run_until(election_limit, [&] { return c.leader().has_value(); }));
    EXPECT_EQ(c.core(*c.leader()).state().version(), config_version(2));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, restart_after_a_thousand_changes_reads_a_snapshot_and_a_short_log)
{
    control_cluster c(1, 7);
    must_lead(c);
    std::uint64_t version = 0;
    for (int i = 0; i < 1000; ++i) {
        c.propose("m1", make_change("id" + std::to_string(i), "p", version));
        ++version;
        c.run_for(millis(10));
    }
    c.run_for(millis(100));
    c.crash("m1");
    ASSERT_TRUE(c.start("m1").ok());
    RecordProperty("bytes_read", static_cast<int>(c.bytes_read("m1")));
    must_lead(c);
    EXPECT_EQ(c.core("m1").state().version(), config_version(1000));
    EXPECT_LT(c.core("m1").raft().log().last_index().value() -
                  c.core("m1").raft().log().base().index.value(),
              300U);
}

TEST(control_cluster, a_full_disk_stops_the_member_and_not_the_others)
{
    control_cluster c(3, 8);
    const std::string leader = must_lead(c);
    c.disk(leader).fill_up();
    c.propose(leader, make_change("id", "p", 0));
    EXPECT_FALSE(c.is_up(leader));
    EXPECT_EQ(decide(c, make_change("id", "p", 0)).result.code, change_code::accepted);
    c.disk(leader).repair();
    ASSERT_TRUE(c.start(leader).ok());
    EXPECT_TRUE(c.run_until(millis(3000), [&] { return all_applied(c, config_version(1)); }));
}

TEST(control_cluster, damage_in_the_log_stops_the_member_with_a_clear_error)
{
    control_cluster c(1, 9);
    decide(c, make_change("id", "p", 0));
    decide(c, make_change("id2", "p", 1));
    c.crash("m1");
    std::string& log = c.disk("m1").files()["log"];
    log[log.size() / 2] = static_cast<char>(log[log.size() / 2] ^ 1);
    EXPECT_TRUE(absl::IsDataLoss(c.start("m1")));
}

TEST(control_cluster, a_planned_stop_of_the_leader_hands_over_quickly)
{
    control_cluster c(3, 10);
    const std::string old = must_lead(c);
    c.run_for(millis(500));
    c.core(old).handle(control_stopping{}, {c.now(), wall_time(0)});
    EXPECT_TRUE(c.run_until(millis(5000), [&] { return c.leader() && *c.leader() != old; }));
}

TEST(control_cluster, a_leader_grants_no_lease_before_it_has_applied_what_came_before)
{
    control_cluster c(3, 11);
    const std::string leader = must_lead(c);
    node_poll poll;
    poll.record.instance = instance_id("t1");
    poll.record.node_incarnation = incarnation(1);
    poll.record.sequence = 1;
    poll.record.target = target_announcement{service_name("s"), "", {}, 4, target_state::ready};
    poll.wants_lease = true;
    std::optional<millis> lease;
    c.run_for(millis(500));
    c.poll(leader, poll, [&](const poll_reply& r) { lease = r.lease; });
    EXPECT_TRUE(lease.has_value());
    // Time for the buckets to be assigned, so that no change of owners is on its way.
    c.run_for(millis(300));
    ASSERT_GT(c.core(leader).state().owners().version, 0U);
    c.cut_off(leader);
    c.run_for(millis(700));
    ASSERT_TRUE(c.core(leader).raft().is_leader());
    c.poll(leader, poll, [&](const poll_reply& r) { lease = r.lease; });
    EXPECT_FALSE(lease.has_value()) << "a leader without its quorum renewed a lease";
}

TEST(raft_core, a_vote_outlives_a_restart)
{
    cluster::fake_disk disk;
    member_store store(disk);
    random_source random(1);
    const auto start = [&](member_store& from) {
        const absl::StatusOr<stored_member> found = from.open("m1", 7);
        EXPECT_TRUE(found.ok());
        member_list initial(3);
        initial[0].id = found->id;
        initial[1].id.name = "m2";
        initial[2].id.name = "m3";
        return raft_core({}, initial[0], initial, found->state, random);
    };
    const auto ask = [&](raft_core& core, const char* candidate) {
        vote_request request;
        request.term = log_term(5);
        core.receive({{candidate, 9}, {}, request}, instant(100'000));
        const raft_output output = core.take_output();
        if (output.must_persist()) {
            EXPECT_TRUE(store.persist(output).ok());
            core.on_persisted();
        }
        return std::get<vote_reply>(output.messages.at(0).message.body).granted;
    };
    raft_core before = start(store);
    EXPECT_TRUE(ask(before, "m2"));
    raft_core after = start(store);
    EXPECT_FALSE(ask(after, "m3")) << "two votes in one term";
    EXPECT_TRUE(ask(after, "m2"));
}

/// One fault drawn at random.
void disturb(control_cluster& c)
{
    const std::vector<std::string> names = c.names();
    const std::string& name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        if (c.is_up(name)) {
            c.crash(name);
        }
        return;
    case 1:
        if (c.is_up(name)) {
            c.disk(name).tear_next_write(*rc::gen::inRange<std::size_t>(0, 200));
        }
        return;
    case 2:
        c.cut_off(name);
        return;
    case 3:
        c.cut(name, names[*rc::gen::inRange<std::size_t>(0, names.size())]);
        return;
    case 4:
        c.pause(name);
        return;
    case 5:
        c.set_faults({*rc::gen::inRange(0, 30), *rc::gen::inRange(0, 20),
                      millis(*rc::gen::inRange(0, 200))});
        return;
    default:
        c.mend();
    }
}

void repair(control_cluster& c)
{
    c.mend();
    c.set_faults({});
    for (const std::string& name : c.names()) {
        c.go_on(name);
        c.disk(name).repair();
        if (!c.is_up(name)) {
            RC_ASSERT(c.start(name).ok());
        }
    }
}

RC_GTEST_PROP(control_cluster, nothing_accepted_is_lost_or_reverted_whatever_fails, ())
{
    const int size = *rc::gen::element(3, 5);
    control_settings settings;
    settings.snapshot_every = static_cast<std::size_t>(*rc::gen::element(4, 256));
    control_cluster c(size, *rc::gen::arbitrary<std::uint32_t>(), settings);
    std::map<std::uint64_t, std::string> asked;
    int number = 0;
    const int rounds = *rc::gen::inRange(2, 14);
    for (int i = 0; i < rounds; ++i) {
        disturb(c);
        for (const std::string& name : c.names()) {
            if (c.is_up(name) && c.core(name).raft().is_leader()) {
                const std::string id = "id" + std::to_string(number++ % 20);
                asked[c.propose(name, make_change(id, "p" + id, 0))] = id;
            }
        }
        c.run_for(millis(*rc::gen::inRange(10, 1500)));
        if (*rc::gen::inRange(0, 3) == 0) {
            repair(c);
            c.run_for(millis(500));
        }
        RC_ASSERT(c.violation().empty());
    }
    repair(c);
    RC_ASSERT(c.run_until(millis(20'000), [&] { return c.leader().has_value(); }));
    decide(c, make_change("last", "last", 0));
    c.run_for(millis(3000));
    RC_ASSERT(c.violation().empty());
    std::map<std::string, change_result> told;
    for (const auto& [request, id] : asked) {
        const auto answer = c.answers().find(request);
        if (answer == c.answers().end() || answer->second.outcome != change_outcome::decided) {
            continue;
        }
        const change_result& result = answer->second.result;
        const auto [known, first] = told.emplace(id, result);
        RC_ASSERT(first || known->second.version == result.version);
        for (const std::string& name : c.names()) {
            const change_result* held = c.core(name).state().find_result(id);
            RC_ASSERT(held != nullptr);
            RC_ASSERT(held->version == result.version);
            RC_ASSERT(held->code == result.code);
        }
    }
    const std::string state = c.core("m1").state().encode_snapshot();
    for (const std::string& name : c.names()) {
        RC_ASSERT(c.core(name).state().encode_snapshot() == state);
    }
}

} // namespace
} // namespace fescuedyke
