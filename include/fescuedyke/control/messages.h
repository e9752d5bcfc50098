#ifndef FESCUEDYKE_CONTROL_MESSAGES_H
#define FESCUEDYKE_CONTROL_MESSAGES_H

#include "fescuedyke/account/account.h"
#include "fescuedyke/consensus/messages.h"
#include "fescuedyke/control/control_state.h"
#include "fescuedyke/membership/node_record.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What nodes and members say to each other besides agreeing on the log.

namespace fescuedyke {

/// A node reports itself and asks for what is new; sent a few times a second to two members.
struct node_poll {
    node_record record;
    /// What the node has in force.
    config_version version_in_force;
    std::uint64_t owners_version = 0;
    /// What the node knows of this member's view.
    std::uint64_t view_epoch = 0;
    std::uint64_t view_version = 0;
    /// The node's target may own keys.
    bool wants_lease = false;
};

/// Grants that changed, by home and bucket.
using owner_delta = std::map<bucket_home, std::map<std::uint32_t, bucket_grant>>;

struct poll_reply {
    std::string member;
    member_list members;
    /// Name of the leading member; empty while there is none.
    std::string leader;
    /// How long ago a quorum last stood behind what this member tells.
    millis beacon_age;
    config_version version;
    /// Policies that changed since the node's version.
    std::vector<policy_record> policies;
    /// The document of routes, if it changed since the node's version.
    std::optional<route_document> document;
    std::uint64_t owners_version = 0;
    owner_delta owners;
    view_delta view;
    /// Length of the ownership lease, from the time the node sent the poll; only from the leader.
    std::optional<millis> lease;
};

/// A member tells another of the nodes whose leases it holds; the reply is the same from the other.
struct member_sync {
    std::string member;
    /// What the sender knows of the receiver's nodes.
    std::uint64_t known_epoch = 0;
    std::uint64_t known_version = 0;
    member_delta delta;
};

/// A node's cumulative account. Of two reports of one incarnation the one with the greater
/// sequence holds all that the other does.
struct account_report {
    instance_id instance;
    incarnation node_incarnation;
    owner_name owner;
    std::uint64_t sequence = 0;
    wall_time reported_at;
    std::map<account_key, account_row> rows;
    std::vector<unknown_key> unknown_keys;
};

std::string encode_poll(const node_poll& message);
absl::StatusOr<node_poll> decode_poll(const std::string& bytes);
std::string encode_poll_reply(const poll_reply& message);
absl::StatusOr<poll_reply> decode_poll_reply(const std::string& bytes);
std::string encode_member_sync(const member_sync& message);
absl::StatusOr<member_sync> decode_member_sync(const std::string& bytes);
std::string encode_account_report(const account_report& message);
absl::StatusOr<account_report> decode_account_report(const std::string& bytes);

} // namespace fescuedyke

#endif
