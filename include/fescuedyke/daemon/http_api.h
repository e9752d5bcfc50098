#ifndef FESCUEDYKE_DAEMON_HTTP_API_H
#define FESCUEDYKE_DAEMON_HTTP_API_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/control/messages.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/settings/process_settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

/// \file
/// What callers, targets and operators ask over HTTP, read and checked.

namespace fescuedyke {

/// Path and query of a request, split and decoded.
struct request_uri {
    std::string path;
    std::map<std::string, std::string> query;
};

/// Splits what follows the method in a request line.
request_uri parse_request_uri(const std::string& path_and_query);

/// A call as `/call/<service>/<path>` asks for it.
struct call_destination {
    service_name service;
    /// The path and query for the target.
    std::string path;
};

/// Fails with kInvalidArgument when \p path names no service.
absl::StatusOr<call_destination> parse_call_path(const std::string& path);

/// A target's announcement.
struct announcement {
    target_announced event;
    endpoint address;
};

/// Reads the JSON body of an announcement. Fails with kInvalidArgument, naming the key.
absl::StatusOr<announcement> parse_announcement(const std::string& body);

/// Reads the JSON body of a change. Fails with kInvalidArgument, naming the key, also when the
/// policy in it has faults.
absl::StatusOr<policy_change> parse_policy_change(const std::string& body);

/// Finds the operator whose token the request brings, or nullptr.
const operator_entry* find_operator(const std::vector<operator_entry>& operators,
                                    const std::vector<header>& headers);

/// Returns whether \p entry may act for \p owner.
bool may_act_for(const operator_entry& entry, const owner_name& owner);

} // namespace fescuedyke

#endif
