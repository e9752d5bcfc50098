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
/// The settings file of one process.

namespace fescuedyke {

/// A control member as every process is told of it.
struct member_address {
    std::string name;
    /// Where processes of the system reach it.
    endpoint control;
    /// Where operators reach it.
    endpoint api;
};

/// Who may operate, and for which owners.
struct operator_entry {
    std::string name;
    std::string token;
    /// `*` stands for all owners.
    std::vector<std::string> owners;
};

struct process_settings {
    instance_id instance;
    owner_name owner;
    locality place;
    /// Where callers, targets and operators reach the process.
    endpoint http;
    /// Where other nodes reach it.
    endpoint peer;
    /// Where metrics are read, if anywhere.
    std::optional<endpoint> metrics;
    std::vector<member_address> members;
    /// Whether this process is one of the members.
    bool is_member = false;
    /// Where this process is reached as a member, when it is not listed among them.
    std::optional<member_address> own_member_address;
    /// Whether this is the first start of the whole system, in which the listed members found the
    /// control group.
    bool bootstrap = true;
    /// Members that shall vote; 0 when they are just the listed ones.
    std::size_t desired_voters = 0;
    /// Whether keys of unrepeatable work are given to owners.
    bool assigns_keys = true;
    /// Members that a node asks at a time, and whether the leader is always among them.
    std::size_t members_per_round = 2;
    bool prefers_leader = true;
    /// Folder for a member's files.
    std::string data_directory;
    std::vector<operator_entry> operators;
    std::uint64_t memory_bytes = 192ULL << 20U;
    std::uint64_t region_bytes_per_second = 4ULL << 20U;
    std::size_t subset_size = 8;
    millis drain_timeout{30'000};
    std::string log_level = "info";
};

/// Reads settings from YAML. Every fault is listed with its line in the message of the
/// kInvalidArgument status.
absl::StatusOr<process_settings> parse_settings(const std::string& yaml);

/// Reads a settings file. Fails with kNotFound when it cannot be read.
absl::StatusOr<process_settings> load_settings(const std::string& path);

/// Reads `IP:port`. Fails with kInvalidArgument on anything else.
absl::StatusOr<endpoint> parse_endpoint(const std::string& text);

} // namespace fescuedyke

#endif
