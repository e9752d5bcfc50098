#include "cluster/cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

using cluster::control_cluster;
using cluster::make_change;

constexpr millis max_election_time{6000};

std::string wait_for_leader(control_cluster& c)
{
    const bool elected = c.run_until(max_election_time, [&] { return c.leader().has_value(); });
    EXPECT_TRUE(elected) << "no leader was elected";
    return elected ? *c.leader() : "m1";
}

/// Proposes the change to the current leader and retries until it is committed, as an operator
/// does.
answer_change commit_change(control_cluster& c, const policy_change& change)
{
    answer_change last;
    const bool committed = c.run_until(millis(30'000), [&] {
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
        return last.outcome == change_outcome::committed;
    });
    EXPECT_TRUE(committed);
    return last;
}

bool applied_on_all_members(control_cluster& c, config_version version)
{
    for (const std::string& name : c.names()) {
        if (!c.is_up(name) || c.core(name).state().version() < version) {
            return false;
        }
    }
    return true;
}

TEST(control_cluster, an_accepted_change_is_applied_on_every_member)
{
    control_cluster c(3, 1);
    const answer_change answer = commit_change(c, make_change("id1", "p", 0));
    EXPECT_EQ(answer.result.code, change_code::accepted);
    EXPECT_TRUE(
        c.run_until(millis(1000), [&] { return applied_on_all_members(c, config_version(1)); }));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_failed_account_write_is_reported_and_retried)
{
    control_cluster c(1, 5);
    wait_for_leader(c);
    c.run_for(millis(1000));
    c.disk("m1").fill_up();
    account_report report;
    report.instance = instance_id("i1");
    report.sequence = 1;
    c.deliver_report("m1", report);
    ASSERT_TRUE(
        c.run_until(millis(5000), [&] { return !c.core("m1").account_flush_status().ok(); }));
    EXPECT_TRUE(c.core("m1").disk_status().ok());
    c.disk("m1").repair();
    EXPECT_TRUE(
        c.run_until(millis(5000), [&] { return c.core("m1").account_flush_status().ok(); }));
    c.crash("m1");
    ASSERT_TRUE(c.start("m1").ok());
    EXPECT_EQ(c.core("m1").accounts().entries().size(), 1U);
}

TEST(control_cluster, of_two_changes_based_on_the_same_version_one_is_rejected)
{
    control_cluster c(3, 2);
    const std::string leader = wait_for_leader(c);
    const std::uint64_t one = c.propose(leader, make_change("a", "p", 0));
    const std::uint64_t two = c.propose(leader, make_change("b", "p", 0));
    c.run_for(millis(500));
    EXPECT_EQ(c.answers().at(one).result.code, change_code::accepted);
    EXPECT_EQ(c.answers().at(two).result.code, change_code::conflict);
    EXPECT_EQ(c.answers().at(two).result.policy_version, 1U);
}

TEST(control_cluster, a_retry_gets_the_first_result_after_failover_restart_and_snapshot)
{
    control_settings settings;
    settings.entries_per_snapshot = 8;
    control_cluster c(3, 3, settings);
    const change_result first = commit_change(c, make_change("the-id", "p", 0)).result;
    for (int i = 0; i < 30; ++i) {
        commit_change(c, make_change("later" + std::to_string(i), "q" + std::to_string(i), 0));
    }
    c.crash(wait_for_leader(c));
    const change_result retried = commit_change(c, make_change("the-id", "p", 0)).result;
    EXPECT_EQ(retried.version, first.version);
    EXPECT_EQ(retried.code, first.code);
    for (const std::string& name : c.names()) {
        c.crash(name);
    }
    for (const std::string& name : c.names()) {
        ASSERT_TRUE(c.start(name).ok());
    }
    const change_result restarted = commit_change(c, make_change("the-id", "p", 0)).result;
    EXPECT_EQ(restarted.version, first.version);
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_partitioned_leader_steps_down_and_causes_no_election_when_it_returns)
{
    control_cluster c(3, 4);
    const std::string old_leader = wait_for_leader(c);
    c.isolate(old_leader);
    c.run_for(millis(2500));
    EXPECT_FALSE(c.core(old_leader).raft().holds_leader_lease(c.now()));
    EXPECT_GT(c.core(old_leader).quorum_confirmation_age(c.now()), millis(1500));
    commit_change(c, make_change("while-away", "p", 0));
    c.run_for(millis(60'000));
    const std::string leader = wait_for_leader(c);
    const log_term term = c.core(leader).raft().term();
    c.unblock_links();
    EXPECT_TRUE(
        c.run_until(millis(3000), [&] { return applied_on_all_members(c, config_version(1)); }));
    EXPECT_EQ(c.core(*c.leader()).raft().term(), term) << "the returning member caused an election";
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_member_with_a_wiped_disk_rejoins_and_becomes_a_voter_again)
{
    control_settings settings;
    settings.entries_per_snapshot = 8;
    control_cluster c(3, 5, settings);
    for (int i = 0; i < 20; ++i) {
        commit_change(c, make_change("id" + std::to_string(i), "p" + std::to_string(i), 0));
    }
    const std::string leader = wait_for_leader(c);
    const std::string wiped_member = leader == "m1" ? "m2" : "m1";
    const std::uint64_t old_disk_id = c.core(wiped_member).raft().self().disk_id;
    c.crash(wiped_member);
    c.disk(wiped_member).wipe();
    ASSERT_TRUE(c.start(wiped_member).ok());
    EXPECT_NE(c.core(wiped_member).raft().self().disk_id, old_disk_id);
    const auto is_voter_again = [&] {
        for (const member_entry& m : c.core(leader).raft().log().members()) {
            if (m.id == c.core(wiped_member).raft().self()) {
                return m.voter;
            }
        }
        return false;
    };
    EXPECT_TRUE(c.run_until(millis(20'000), is_voter_again));
    EXPECT_TRUE(
        c.run_until(millis(3000), [&] { return applied_on_all_members(c, config_version(20)); }));
    // A second failure right after the repair must lose nothing.
    c.crash(wait_for_leader(c));
    EXPECT_EQ(commit_change(c, make_change("after", "after", 0)).result.version,
              config_version(21));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, a_wiped_member_cannot_vote_under_its_old_identity)
{
    control_cluster c(3, 6);
    commit_change(c, make_change("id", "p", 0));
    const std::string leader = wait_for_leader(c);
    const std::string wiped_member = leader == "m1" ? "m2" : "m1";
    const std::string third = c.names()[3 - (leader[1] - '1') - (wiped_member[1] - '1')];
    // The third member lacks the last entry; if the wiped member could vote under its old identity,
    // the two would be a majority and lose that entry.
    c.crash(third);
    commit_change(c, make_change("id2", "p", 1));
    c.crash(leader);
    c.crash(wiped_member);
    c.disk(wiped_member).wipe();
    ASSERT_TRUE(c.start(wiped_member).ok());
    ASSERT_TRUE(c.start(third).ok());
    EXPECT_FALSE(c.run_until(millis(20'000), [&] { return c.leader().has_value(); }));
    ASSERT_TRUE(c.start(leader).ok());
    EXPECT_TRUE(c.run_until(max_election_time, [&] { return c.leader().has_value(); }));
    EXPECT_EQ(c.core(*c.leader()).state().version(), config_version(2));
    EXPECT_EQ(c.violation(), "");
}

TEST(control_cluster, restart_after_a_thousand_changes_reads_a_snapshot_and_a_short_log)
{
    control_cluster c(1, 7);
    wait_for_leader(c);
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
    wait_for_leader(c);
    EXPECT_EQ(c.core("m1").state().version(), config_version(1000));
    EXPECT_LT(c.core("m1").raft().log().last_index().value() -
                  c.core("m1").raft().log().base().index.value(),
              300U);
}

TEST(control_cluster, a_full_disk_stops_only_the_affected_member)
{
    control_cluster c(3, 8);
    const std::string leader = wait_for_leader(c);
    c.disk(leader).fill_up();
    c.propose(leader, make_change("id", "p", 0));
    EXPECT_FALSE(c.is_up(leader));
    EXPECT_EQ(commit_change(c, make_change("id", "p", 0)).result.code, change_code::accepted);
    c.disk(leader).repair();
    ASSERT_TRUE(c.start(leader).ok());
    EXPECT_TRUE(
        c.run_until(millis(3000), [&] { return applied_on_all_members(c, config_version(1)); }));
}

TEST(control_cluster, start_with_a_damaged_log_fails_with_data_loss)
{
    control_cluster c(1, 9);
    commit_change(c, make_change("id", "p", 0));
    commit_change(c, make_change("id2", "p", 1));
    c.crash("m1");
    std::string& log = c.disk("m1").files()["log"];
    log[log.size() / 2] = static_cast<char>(log[log.size() / 2] ^ 1);
    EXPECT_TRUE(absl::IsDataLoss(c.start("m1")));
}

TEST(control_cluster, a_stopping_leader_transfers_leadership)
{
    control_cluster c(3, 10);
    const std::string old_leader = wait_for_leader(c);
    c.run_for(millis(500));
    c.core(old_leader).handle(control_stopping{}, {c.now(), wall_time(0)});
    EXPECT_TRUE(c.run_until(millis(5000), [&] { return c.leader() && *c.leader() != old_leader; }));
}

TEST(control_cluster, a_leader_without_a_quorum_does_not_renew_leases)
{
    control_cluster c(3, 11);
    const std::string leader = wait_for_leader(c);
    node_poll poll;
    poll.record.instance = instance_id("t1");
    poll.record.node_incarnation = incarnation(1);
    poll.record.sequence = 1;
    poll.record.target = target_announcement{service_name("s"), "", 0, {}, 4, target_state::ready};
    poll.wants_lease = true;
    std::optional<millis> lease;
    c.run_for(millis(500));
    c.poll(leader, poll, [&](const poll_reply& r) { lease = r.lease; });
    EXPECT_TRUE(lease.has_value());
    // Wait until the buckets are assigned, so that no owner change is pending.
    c.run_for(millis(300));
    ASSERT_GT(c.core(leader).state().owners().version, 0U);
    c.isolate(leader);
    c.run_for(millis(700));
    ASSERT_TRUE(c.core(leader).raft().is_leader());
    c.poll(leader, poll, [&](const poll_reply& r) { lease = r.lease; });
    EXPECT_FALSE(lease.has_value()) << "a leader without its quorum renewed a lease";
}

TEST(raft_core, a_vote_survives_a_restart)
{
    cluster::fake_disk disk;
    member_store store(disk);
    random_source random(1);
    const auto start = [&](member_store& from) {
        const absl::StatusOr<stored_member> stored = from.open("m1", 7);
        EXPECT_TRUE(stored.ok());
        member_list initial(3);
        initial[0].id = stored->id;
        initial[1].id.name = "m2";
        initial[2].id.name = "m3";
        return raft_core({}, initial[0], initial, stored->state, random);
    };
    const auto request_vote = [&](raft_core& core, const char* candidate) {
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
    EXPECT_TRUE(request_vote(before, "m2"));
    raft_core after = start(store);
    EXPECT_FALSE(request_vote(after, "m3")) << "granted two votes in one term";
    EXPECT_TRUE(request_vote(after, "m2"));
}

/// Injects one random fault, or heals all partitions.
void inject_fault(control_cluster& c)
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
        c.isolate(name);
        return;
    case 3:
        c.block_link(name, names[*rc::gen::inRange<std::size_t>(0, names.size())]);
        return;
    case 4:
        c.pause(name);
        return;
    case 5:
        c.set_faults({*rc::gen::inRange(0, 30), *rc::gen::inRange(0, 20),
                      millis(*rc::gen::inRange(0, 200))});
        return;
    default:
        c.unblock_links();
    }
}

void repair_all_faults(control_cluster& c)
{
    c.unblock_links();
    c.set_faults({});
    for (const std::string& name : c.names()) {
        c.resume(name);
        c.disk(name).repair();
        if (!c.is_up(name)) {
            RC_ASSERT(c.start(name).ok());
        }
    }
}

RC_GTEST_PROP(control_cluster, no_accepted_change_is_lost_or_reverted_under_random_faults, ())
{
    const int size = *rc::gen::element(3, 5);
    control_settings settings;
    settings.entries_per_snapshot = static_cast<std::size_t>(*rc::gen::element(4, 256));
    control_cluster c(size, *rc::gen::arbitrary<std::uint32_t>(), settings);
    std::map<std::uint64_t, std::string> proposed_ids;
    int number = 0;
    const int rounds = *rc::gen::inRange(2, 14);
    for (int i = 0; i < rounds; ++i) {
        inject_fault(c);
        for (const std::string& name : c.names()) {
            if (c.is_up(name) && c.core(name).raft().is_leader()) {
                const std::string id = "id" + std::to_string(number++ % 20);
                proposed_ids[c.propose(name, make_change(id, "p" + id, 0))] = id;
            }
        }
        c.run_for(millis(*rc::gen::inRange(10, 1500)));
        if (*rc::gen::inRange(0, 3) == 0) {
            repair_all_faults(c);
            c.run_for(millis(500));
        }
        RC_ASSERT(c.violation().empty());
    }
    repair_all_faults(c);
    RC_ASSERT(c.run_until(millis(20'000), [&] { return c.leader().has_value(); }));
    commit_change(c, make_change("last", "last", 0));
    c.run_for(millis(3000));
    RC_ASSERT(c.violation().empty());
    std::map<std::string, change_result> first_results;
    for (const auto& [request, id] : proposed_ids) {
        const auto answer = c.answers().find(request);
        if (answer == c.answers().end() || answer->second.outcome != change_outcome::committed) {
            continue;
        }
        const change_result& result = answer->second.result;
        const auto [known, first] = first_results.emplace(id, result);
        RC_ASSERT(first || known->second.version == result.version);
        for (const std::string& name : c.names()) {
            const change_result* stored = c.core(name).state().find_result(id);
            RC_ASSERT(stored != nullptr);
            RC_ASSERT(stored->version == result.version);
            RC_ASSERT(stored->code == result.code);
        }
    }
    const std::string state = c.core("m1").state().encode_snapshot();
    for (const std::string& name : c.names()) {
        RC_ASSERT(c.core(name).state().encode_snapshot() == state);
    }
}

} // namespace
} // namespace fescuedyke
