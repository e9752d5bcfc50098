#ifndef FESCUEDYKE_CONSENSUS_MESSAGES_H
#define FESCUEDYKE_CONSENSUS_MESSAGES_H

#include "fescuedyke/routing/target_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// \file
/// Defines the messages that control members exchange and the records that they persist. The
/// protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
/// 2014) with pre-vote, check-quorum, learners and single-server membership changes.

namespace fescuedyke {

using log_index = strong<struct log_index_tag, std::uint64_t>;
using log_term = strong<struct log_term_tag, std::uint64_t>;

/// Identifies a member: an instance together with the disk that holds its log. An instance that
/// lost its disk rejoins as a different member.
struct member_id {
    std::string name;
    /// Random number drawn when the disk was first used; 0 while unknown.
    std::uint64_t disk_id = 0;

    friend bool operator==(const member_id& a, const member_id& b)
    {
        return a.name == b.name && a.disk_id == b.disk_id;
    }
    friend bool operator!=(const member_id& a, const member_id& b) { return !(a == b); }
    friend bool operator<(const member_id& a, const member_id& b)
    {
        return std::tie(a.name, a.disk_id) < std::tie(b.name, b.disk_id);
    }
};

struct member_entry {
    member_id id;
    /// Address for other processes of the system.
    endpoint address;
    /// Address of the operator API.
    endpoint api_address;
    bool voter = true;
};

using member_list = std::vector<member_entry>;

enum class entry_kind : std::uint8_t { noop, command, members };

struct log_entry {
    log_index index;
    log_term term;
    entry_kind kind = entry_kind::noop;
    /// Payload of an entry of kind command.
    std::string data;
    /// Membership that takes effect with this entry, for kind members.
    member_list members;
};

/// Current term and vote. They must be durable before any message that depends on them is sent.
struct hard_state {
    log_term term;
    member_id voted_for;
};

struct snapshot {
    log_index index;
    log_term term;
    member_list members;
    std::string data;
};

struct vote_request {
    bool pre_vote = false;
    /// Whether the leader asked the candidate to start this election (leadership transfer).
    bool leadership_transfer = false;
    log_term term;
    log_index last_index;
    log_term last_term;
    /// Disk id by which the candidate knows the voter; 0 during the bootstrap election.
    std::uint64_t voter_disk_id = 0;
};

struct vote_reply {
    bool pre_vote = false;
    log_term term;
    bool granted = false;
};

struct append_request {
    log_term term;
    log_index previous_index;
    log_term previous_term;
    log_index commit_index;
    std::vector<log_entry> entries;
    std::uint64_t follower_disk_id = 0;
    /// Number of the leader's heartbeat round, which the reply repeats to confirm that round.
    std::uint64_t round = 0;
    /// Whether the leader held its lease, that is, a quorum had confirmed it recently, when it sent
    /// the request.
    bool quorum_confirmed = false;
};

struct append_reply {
    log_term term;
    bool success = false;
    /// On success the last index known to match; on failure a hint for the index that the leader
    /// should assume to match in its next request.
    log_index index;
    std::uint64_t round = 0;
};

struct snapshot_chunk {
    log_term term;
    log_index index;
    log_term index_term;
    member_list members;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string data;
    std::uint64_t follower_disk_id = 0;
};

struct snapshot_reply {
    log_term term;
    log_index index;
    /// Number of bytes received so far; the total once the snapshot is installed.
    std::uint64_t received = 0;
};

/// Requests membership for an instance with a disk that is not yet a member.
struct join_request {
    endpoint address;
    endpoint api_address;
};

/// Tells the most up-to-date voter to start an election immediately, because the leader is shutting
/// down.
struct timeout_now {
    log_term term;
};

using consensus_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                    snapshot_chunk, snapshot_reply, join_request, timeout_now>;

struct consensus_message {
    member_id from;
    /// Address of the sender, which the receiver's log may not contain yet.
    endpoint from_address;
    consensus_body body;
};

} // namespace fescuedyke

#endif
