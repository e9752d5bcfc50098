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
/// What the control members say to each other, and what they keep on disk. The protocol is Raft
/// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with
/// pre-vote, quorum check, learners and one-at-a-time changes of members.

namespace fescuedyke {

using log_index = strong<struct log_index_tag, std::uint64_t>;
using log_term = strong<struct log_term_tag, std::uint64_t>;

/// A member is an instance together with the disk it keeps its log on: an instance that lost its
/// disk is another member.
struct member_id {
    std::string name;
    /// Drawn when the disk was first used; 0 while not known.
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
    /// Where other processes of the system reach it.
    endpoint address;
    /// Where operators reach it.
    endpoint api_address;
    bool voter = true;
};

using member_list = std::vector<member_entry>;

enum class entry_kind : std::uint8_t { noop, command, members };

struct log_entry {
    log_index index;
    log_term term;
    entry_kind kind = entry_kind::noop;
    /// The command, for that kind.
    std::string data;
    /// The members from here on, for that kind.
    member_list members;
};

/// Term and vote; durable before any message that depends on them is sent.
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
    /// The leader itself asked the candidate to stand.
    bool leadership_transfer = false;
    log_term term;
    log_index last_index;
    log_term last_term;
    /// Disk that the candidate takes the voter to have; 0 while the members first meet.
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
    log_index commit;
    std::vector<log_entry> entries;
    std::uint64_t follower_disk_id = 0;
    /// Numbers the leader's rounds, so that a reply tells which round it confirms.
    std::uint64_t round = 0;
    /// Whether the leader has heard from a quorum of late.
    bool quorum_confirmed = false;
};

struct append_reply {
    log_term term;
    bool success = false;
    /// Last index known to match; after a refusal, where to try next.
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
    /// Bytes received so far; the total once the snapshot is in place.
    std::uint64_t received = 0;
};

/// An instance with a disk that is not a member asks to become one.
struct join_request {
    endpoint address;
    endpoint api_address;
};

/// A leader that stops asks its best follower to stand at once.
struct timeout_now {
    log_term term;
};

using consensus_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                    snapshot_chunk, snapshot_reply, join_request, timeout_now>;

struct consensus_message {
    member_id from;
    /// Where the sender is reached; the receiver may not know it from its own log yet.
    endpoint from_address;
    consensus_body body;
};

} // namespace fescuedyke

#endif
