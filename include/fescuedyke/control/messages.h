#ifndef FESCUEDYKE_CONTROL_MESSAGES_H
#define FESCUEDYKE_CONTROL_MESSAGES_H

#include "fescuedyke/account/account.h"
#include "fescuedyke/consensus/messages.h"
#include "fescuedyke/control/control_state.h"
#include "fescuedyke/membership/node_record.h"
#include "fescuedyke/membership/target_departure.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Messages between nodes and members, and between members, other than Raft messages.

namespace fescuedyke {

/// A node reports its record and requests updates. By default a node polls two members, a few times
/// per second each.
struct node_poll {
    node_record record;
    /// Configuration version that is active on the node; the reply contains the changes since then.
    config_version active_config_version;
    std::uint64_t owners_version = 0;
    /// Epoch and version of the last view delta that the node received from this member.
    std::uint64_t view_epoch = 0;
    std::uint64_t view_version = 0;
    /// Whether the node's target may own idempotency keys, so that the node requests a lease.
    bool wants_lease = false;
};

/// Changed bucket grants, by home and bucket.
using owner_delta = std::map<bucket_home, std::map<std::uint32_t, bucket_grant>>;

struct poll_reply {
    std::string member;
    member_list members;
    /// Name of the leader; empty while there is none.
    std::string leader;
    /// Time since a quorum last confirmed the leader, as far as the replying member knows. A large
    /// value means that the reply may be stale.
    millis quorum_confirmation_age;
    config_version version;
    /// Policies that changed since the node's configuration version.
    std::vector<policy_record> policies;
    /// The route document, if it changed since the node's configuration version.
    std::optional<route_document> document;
    std::uint64_t owners_version = 0;
    owner_delta owners;
    view_delta view;
    /// Duration of the ownership lease, counted from the time at which the node sent the poll. Only
    /// the leader grants leases.
    std::optional<millis> lease;
};

/// A node reports that its target leaves, or asks whether it has left.
struct departure_request {
    target_departure departure;
    /// Whether the departure is to be recorded. Otherwise the node only asks whether one is
    /// recorded that covers it.
    bool leaves = false;
};

struct departure_reply {
    /// Whether \c departed is certain. Each member may confirm a departure that it knows, but only
    /// a leader that knows all committed changes decides that there is none.
    bool decided = false;
    /// Whether a departure that covers the one of the request is durable on a quorum.
    bool departed = false;
    /// Name of the leader; empty while there is none.
    std::string leader;
};

/// Changes to the nodes whose leases the sending member holds. The receiver replies with a message
/// of the same type about the nodes whose leases it holds.
struct member_sync {
    std::string member;
    /// Epoch and version of the last delta that the sender received from the receiver.
    std::uint64_t known_epoch = 0;
    std::uint64_t known_version = 0;
    member_delta delta;
};

/// The cumulative call counts of a node. Of two reports of one incarnation, the one with the
/// greater sequence number includes all calls counted in the other.
struct account_report {
    instance_id instance;
    incarnation node_incarnation;
    owner_name owner;
    std::uint64_t sequence = 0;
    wall_time reported_at;
    std::map<account_key, account_row> rows;
    std::vector<unknown_outcome> unknown_keys;
};

/// What a member stores about one source: counts at earlier times, oldest first, and at the end its
/// latest report. The sequence numbers increase.
using account_copy = std::vector<account_report>;

/// A member passes the reports of silent sources on to another member.
struct account_copies {
    /// Distinguishes the messages of one sender.
    std::uint64_t number = 0;
    std::vector<account_copy> copies;
};

struct account_copies_reply {
    /// Whether the receiver holds all copies on its disk.
    bool stored = false;
};

std::string encode_poll(const node_poll& message);
absl::StatusOr<node_poll> decode_poll(const std::string& bytes);
std::string encode_poll_reply(const poll_reply& message);
absl::StatusOr<poll_reply> decode_poll_reply(const std::string& bytes);
std::string encode_member_sync(const member_sync& message);
absl::StatusOr<member_sync> decode_member_sync(const std::string& bytes);
std::string encode_departure_request(const departure_request& message);
absl::StatusOr<departure_request> decode_departure_request(const std::string& bytes);
std::string encode_departure_reply(const departure_reply& message);
absl::StatusOr<departure_reply> decode_departure_reply(const std::string& bytes);
std::string encode_account_report(const account_report& message);
absl::StatusOr<account_report> decode_account_report(const std::string& bytes);
std::string encode_account_copies(const account_copies& message);
absl::StatusOr<account_copies> decode_account_copies(const std::string& bytes);
std::string encode_account_copies_reply(const account_copies_reply& message);
absl::StatusOr<account_copies_reply> decode_account_copies_reply(const std::string& bytes);

} // namespace fescuedyke

#endif
