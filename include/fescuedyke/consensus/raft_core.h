#ifndef FESCUEDYKE_CONSENSUS_RAFT_CORE_H
#define FESCUEDYKE_CONSENSUS_RAFT_CORE_H

#include "fescuedyke/consensus/messages.h"
#include "fescuedyke/consensus/replicated_log.h"
#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Implements Raft consensus on the replicated log for one member.

namespace fescuedyke {

struct raft_settings {
    millis heartbeat_interval{100};
    /// A member starts an election after a random time without contact from a leader, between one
    /// and two times this value.
    millis election_timeout{600};
    /// Longest time until the first election of a member that starts with a log and does not hear
    /// from a leader. It may be short: if a leader does exist, the other members refuse the
    /// pre-vote, and the leader is not disturbed.
    millis first_election_timeout{400};
    std::size_t max_entries_per_append = 64;
    std::size_t snapshot_chunk_bytes = 256U << 10U;
    /// Time without contact after which the leader regards a member as silent. A silent member can
    /// be replaced when its instance returns with another disk. Join requests expire after the same
    /// time.
    millis member_silence_timeout{1500};
    /// Whether a member with an empty log may vote in the bootstrap election.
    bool may_bootstrap = true;
    /// Number of voters to maintain. While there are fewer, learners that have caught up become
    /// voters; further instances that ask to join become spare learners. If a voter is silent, a
    /// spare learner is promoted first, and then the silent voter is removed. With 0, only the
    /// initial members take part.
    std::size_t desired_voters = 0;
};

/// Persistent state of a member as read from its disk at startup.
struct durable_state {
    hard_state hard;
    snapshot base;
    std::vector<log_entry> entries;
};

/// A message with its recipient.
struct outgoing_message {
    member_id to;
    endpoint address;
    consensus_message message;
};

/// Actions that the caller must carry out after a step, in this order: persist the state, call
/// on_persisted(), send the messages, apply the committed entries.
struct raft_output {
    std::optional<hard_state> hard;
    /// Received snapshot that replaces the log; \p hard is always set together with it.
    std::optional<snapshot> snapshot_to_install;
    /// Entries from this index on are removed before the entries of \p append are written.
    std::optional<log_index> truncate_from;
    std::vector<log_entry> append;
    std::vector<outgoing_message> messages;
    /// Committed entries; each is delivered exactly once and in log order.
    std::vector<log_entry> committed;

    bool must_persist() const
    {
        return hard || snapshot_to_install || truncate_from || !append.empty();
    }
};

enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

const char* to_string(raft_role role);

/// Implements the Raft state machine without access to clock, sockets or disk. A member with an
/// empty log votes only in the bootstrap election, or when the candidate knows its current disk id.
/// A member that lost its disk can therefore never vote again under its old identity.
class raft_core {
public:
    /// \p self holds the identity and the addresses of this member. \p initial_members also
    /// includes this member; the disk ids in it may be unknown.
    raft_core(const raft_settings& settings, member_entry self, member_list initial_members,
              durable_state state, random_source& random);

    void tick(instant now);
    void receive(const consensus_message& message, instant now);

    /// Appends a command to the log. Fails with kUnavailable when this member is not the leader.
    absl::StatusOr<log_index> propose(std::string command, instant now);

    /// Proposes a membership that differs from the current one by one member. Fails with
    /// kUnavailable when this member is not the leader, and with kFailedPrecondition while another
    /// change is in progress or before the leader has committed an entry of its own term.
    absl::Status propose_members(member_list next, instant now);

    /// Reports that all state of the last output is durable.
    void on_persisted();

    /// Returns the accumulated output and clears it.
    raft_output take_output();

    /// Creates a snapshot. \p data is the state after applying all entries up to \p index, which
    /// must be committed.
    snapshot make_snapshot(log_index index, std::string data) const;
    /// Reports that \p s is durable, and removes the log entries that it covers.
    void on_snapshot_persisted(const snapshot& s);

    /// Steps down and asks the most up-to-date voter to take over, before this member stops.
    void transfer_leadership(instant now);

    bool is_leader() const { return role_ == raft_role::leader; }
    raft_role role() const { return role_; }
    log_term term() const { return hard_.term; }
    log_index commit_index() const { return commit_index_; }
    const replicated_log& log() const { return log_; }
    const hard_state& hard() const { return hard_; }
    const member_id& self() const { return self_; }
    const std::optional<member_id>& leader() const { return leader_; }
    bool is_member() const;

    /// Returns whether this member is the leader and a quorum confirmed it less than the
    /// minimum election timeout ago. No other leader can have committed an entry since then.
    bool holds_leader_lease(instant now) const;

    /// Returns, on the leader, the send time of the latest heartbeat round that a quorum confirmed;
    /// on a follower, the receive time of the latest append request whose sender held its lease and
    /// which left no committed entry missing here.
    instant quorum_confirmed_at() const { return quorum_confirmed_at_; }

    /// Join request of an instance with a disk that is not yet a member.
    struct pending_join {
        join_request request;
        instant last_heard;
    };
    const std::map<member_id, pending_join>& pending_joins() const { return pending_joins_; }
    /// Returns the instances that ask to join and are not members.
    std::vector<member_id> waiting_to_join(instant now) const;

private:
    struct progress {
        log_index next;
        log_index match;
        instant last_heard;
        instant last_sent;
        bool awaiting = false;
        /// Send time of the latest heartbeat round that the member has confirmed.
        instant confirmed_round_sent_at;
        std::uint64_t snapshot_offset = 0;
        /// Last index of the log at \c catch_up_started_at. The member catches up in rounds: each
        /// ends when the member has the entries that the log had at its start.
        log_index catch_up_index;
        instant catch_up_started_at;
        /// Whether the last round took less than an election timeout.
        bool caught_up_in_time = false;
    };

    void handle(const member_id& from, const vote_request& m, instant now);
    void handle(const member_id& from, const vote_reply& m, instant now);
    void handle(const member_id& from, const append_request& m, instant now);
    void handle(const member_id& from, const append_reply& m, instant now);
    void handle(const member_id& from, const snapshot_chunk& m, instant now);
    void handle(const member_id& from, const snapshot_reply& m, instant now);
    void handle(const member_id& from, const join_request& m, instant now);
    void handle(const member_id& from, const timeout_now& m, instant now);

    void become_follower(log_term term, instant now);
    void start_election(bool pre_vote, bool leadership_transfer, instant now);
    void send_join_requests(instant now);
    bool is_caught_up(const member_id& id, instant now);
    void update_catch_up(progress& p, instant now) const;
    bool needs_vote_of(const member_entry& learner, instant now) const;
    bool promote_learner(instant now);
    bool may_remove(const member_entry& m, instant now);
    bool remove_silent_member(instant now);
    bool demote_extra_voter(instant now);
    bool add_learner(const member_id& id, const pending_join& join, instant now);
    /// Returns the member that is the same instance as \p m with a later disk, or nullptr.
    const member_entry* find_successor(const member_entry& m) const;
    bool is_silent(const member_entry& m, instant now) const;
    void become_leader(instant now);
    void tick_leader(instant now);
    void reset_election_timer(instant now);
    bool starts_bootstrap_election() const;
    void start_first_election_timer(instant now);
    bool may_grant_vote(const member_id& from, const vote_request& m, instant now) const;
    bool is_candidate_log_up_to_date(const vote_request& m) const;
    bool has_won_election() const;
    bool accept_leader(const member_id& from, log_term term, std::uint64_t disk_id, instant now);
    void append_received(const append_request& m);
    void append_as_leader(log_entry entry);
    void send(const member_id& to, consensus_body body);
    void send_append(const member_entry& to, instant now);
    void send_snapshot(const member_entry& to, progress& p, instant now);
    void broadcast(instant now);
    void advance_commit(instant now);
    void deliver_committed();
    void update_quorum_confirmation(instant now);
    void maintain_membership(instant now);
    const member_entry* find_member(const member_id& id) const;
    const member_entry* find_member_by_name(const std::string& name) const;
    std::size_t voter_count() const;
    std::size_t quorum_size() const { return voter_count() / 2 + 1; }
    bool is_voter() const;

    raft_settings settings_;
    member_id self_;
    member_entry self_entry_;
    random_source& random_;
    hard_state hard_;
    replicated_log log_;
    raft_role role_ = raft_role::follower;
    log_index commit_index_;
    log_index delivered_index_;
    log_index persisted_index_;
    std::optional<member_id> leader_;
    instant last_leader_contact_;
    bool has_heard_leader_ = false;
    instant election_due_;
    bool election_timer_started_ = false;
    std::set<member_id> votes_;
    std::map<member_id, progress> progress_;
    std::map<std::uint64_t, instant> round_sent_at_;
    std::uint64_t current_round_ = 0;
    instant quorum_confirmed_at_;
    instant last_broadcast_;
    instant last_maintenance_;
    instant last_join_request_;
    std::map<member_id, pending_join> pending_joins_;
    /// Address of the latest known leader, which this member's log need not contain.
    endpoint leader_address_;
    /// Address of the sender of the message being handled.
    endpoint sender_address_;
    std::string incoming_snapshot_;
    log_index incoming_snapshot_index_;
    raft_output output_;
};

} // namespace fescuedyke

#endif
