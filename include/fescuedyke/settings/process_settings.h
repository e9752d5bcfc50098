#ifndef FESCUEDYKE_SETTINGS_PROCESS_SETTINGS_H
#define FESCUEDYKE_SETTINGS_PROCESS_SETTINGS_H

#include "fescuedyke/node/node_settings.h"
#include "fescuedyke/support/ids.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Settings of a process, read from a YAML file.

namespace fescuedyke {

/// Name and addresses of a control member.
struct member_address {
    std::string name;
    /// Address for nodes and other members.
    endpoint control;
    /// Address for operators.
    endpoint api;
};

/// An operator, its bearer token and the owners for which it is authorized.
struct operator_entry {
    std::string name;
    std::string token;
    /// `*` matches all owners.
    std::vector<std::string> owners;
};

struct process_settings {
    instance_id instance;
    owner_name owner;
    locality location;
    /// Address for callers, the target and operators.
    endpoint http;
    /// Address for other nodes.
    endpoint peer;
    /// Address that serves metrics; no metrics are served if it is not set.
    std::optional<endpoint> metrics;
    std::vector<member_address> members;
    /// Whether this process is a control member.
    bool is_member = false;
    /// Address of this process as a member; if it is set, the process need not be listed in
    /// \c members.
    std::optional<member_address> own_member_address;
    /// Whether this is the first start of the whole system, in which the listed members form the
    /// initial control group.
    bool bootstrap = true;
    /// Desired number of voting members; 0 if exactly the listed members vote.
    std::size_t desired_voters = 0;
    /// Whether the member assigns the buckets of idempotency keys to nodes.
    bool assigns_keys = true;
    /// Number of members that a node polls in each round.
    std::size_t members_per_round = 2;
    /// Whether a node prefers the leader over members with a shorter round trip.
    bool prefers_leader = true;
    /// Directory of a member's files.
    std::string data_directory;
    std::vector<operator_entry> operators;
    /// Maximum bytes of requests held for callers, and separately for the target.
    std::uint64_t memory_bytes = 192ULL << 20U;
    /// This node's share of the traffic to each other region.
    std::uint64_t region_bytes_per_second = 4ULL << 20U;
    /// Time saved that justifies sending one kibibyte to another region; 0 if calls leave their
    /// zone only when its targets accept no more.
    millis region_cost_per_kib{0};
    /// Maximum number of targets of one service and region to which this node connects.
    std::size_t subset_size = 8;
    /// Time for which open calls may continue after SIGTERM or SIGINT.
    millis drain_timeout{30'000};
    std::string log_level = "info";
};

/// Parses settings from YAML. Fails with kInvalidArgument; the message lists every error with its
/// line.
absl::StatusOr<process_settings> parse_settings(const std::string& yaml);

/// Reads and parses a settings file. Fails with kNotFound if the file cannot be opened.
absl::StatusOr<process_settings> load_settings(const std::string& path);

/// Parses an IPv4 address and a port, written as `address:port`. Fails with kInvalidArgument if
/// \p text is malformed or the port is 0.
absl::StatusOr<endpoint> parse_endpoint(const std::string& text);

} // namespace fescuedyke

#endif
