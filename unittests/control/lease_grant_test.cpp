#include "cluster/fake_disk.h"

#include "fescuedyke/control/control_core.h"

#include <gtest/gtest.h>

#include <optional>

namespace fescuedyke {
namespace {

/// A member whose two peers are played by the test: they grant each vote and confirm each
/// heartbeat, but say that they lack the leader's entries until they are allowed to take them.
class lone_leader {
public:
    lone_leader() : store_(disk_), accounts_({}, disk_), random_(1)
    {
        member_list members;
        for (const char* name : {"m1", "m2", "m3"}) {
            members.push_back({{name, 7}, {name, 1}, {name, 2}, true});
        }
        EXPECT_TRUE(store_.open("m1", 7).ok());
        log_entry first;
        first.index = log_index(1);
        first.term = log_term(1);
        first.kind = entry_kind::members;
        first.members = members;
        raft_output founding;
        founding.hard = hard_state{log_term(1), {}};
        founding.append = {first};
        EXPECT_TRUE(store_.persist(founding).ok());
        const absl::StatusOr<stored_member> stored = store_.open("m1", 7);
        EXPECT_TRUE(stored.ok());
        core_.emplace(control_settings{}, members[0], members, *stored, 1, store_, accounts_,
                      random_);
    }

    void run_for(millis time)
    {
        for (const instant until = now_ + time; now_ < until; now_ = now_ + millis(20)) {
            handle(control_tick{});
        }
    }

    void let_peers_take_entries() { peers_take_entries_ = true; }

    /// Returns the lease that a ready target gets.
    std::optional<millis> poll()
    {
        node_poll poll;
        poll.record.instance = instance_id("t1");
        poll.record.node_incarnation = incarnation(1);
        poll.record.sequence = ++sequence_;
        poll.record.target =
            target_announcement{service_name("s"), "", 0, {}, 4, target_state::ready};
        poll.wants_lease = true;
        lease_.reset();
        handle(poll_received{request_id(sequence_), poll});
        return lease_;
    }

    const control_core& core() const { return *core_; }
    instant now() const { return now_; }

private:
    void handle(const control_event& event)
    {
        const control_actions actions = core_->handle(event, {now_, wall_time(0)});
        for (const control_action& action : actions) {
            if (const auto* sent = std::get_if<send_consensus>(&action)) {
                answer(*sent);
            }
            if (const auto* reply = std::get_if<answer_poll>(&action)) {
                lease_ = reply->reply.lease;
            }
        }
    }

    void answer(const send_consensus& sent)
    {
        const member_id peer{sent.address.host, 7};
        if (const auto* vote = std::get_if<vote_request>(&sent.message.body)) {
            handle(consensus_received{
                {peer, sent.address, vote_reply{vote->pre_vote, vote->term, true}}});
        }
        if (const auto* append = std::get_if<append_request>(&sent.message.body)) {
            const log_index last(append->previous_index.value() + append->entries.size());
            const log_index match = peers_take_entries_ ? last : log_index(0);
            handle(consensus_received{
                {peer, sent.address,
                 append_reply{append->term, peers_take_entries_, match, append->round}}});
        }
    }

    cluster::fake_disk disk_;
    member_store store_;
    account_store accounts_;
    random_source random_;
    std::optional<control_core> core_;
    instant now_{1000};
    std::uint64_t sequence_ = 0;
    bool peers_take_entries_ = false;
    std::optional<millis> lease_;
};

// Guards against a lease that contradicts a command of a former leader which is not applied yet.
TEST(leases, a_leader_grants_none_before_it_has_applied_the_entries_of_former_leaders)
{
    lone_leader leader;
    leader.run_for(millis(2000));
    ASSERT_TRUE(leader.core().raft().is_leader());
    ASSERT_TRUE(leader.core().raft().holds_leader_lease(leader.now()));
    EXPECT_FALSE(leader.poll().has_value());
    leader.let_peers_take_entries();
    leader.run_for(millis(2000));
    EXPECT_TRUE(leader.poll().has_value());
}

} // namespace
} // namespace fescuedyke
