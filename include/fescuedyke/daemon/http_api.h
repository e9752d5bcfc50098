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
/// Parsing and validation of the HTTP requests of callers, targets and operators.

namespace fescuedyke {

/// Path and query of a request. Names and values in the query are percent-decoded.
struct request_uri {
    std::string path;
    std::map<std::string, std::string> query;
};

/// Parses the path and query of an HTTP request line.
request_uri parse_request_uri(const std::string& path_and_query);

/// Destination of a call, given as `/call/<service>/<path>`.
struct call_destination {
    service_name service;
    /// Path and query of the request to the target.
    std::string path;
};

/// Parses the path of a call. Fails with kInvalidArgument if \p path does not begin with `/call/`
/// or contains no valid service name.
absl::StatusOr<call_destination> parse_call_path(const std::string& path);

/// The announcement of a target to its node, and the address on which the target listens.
struct announcement {
    target_announced event;
    endpoint address;
};

/// Parses the JSON body of an announcement. Fails with kInvalidArgument; the message names the key.
absl::StatusOr<announcement> parse_announcement(const std::string& body);

/// Parses the JSON body of a policy change. Fails with kInvalidArgument if the body or the policy
/// in it is invalid; the message names the key.
absl::StatusOr<policy_change> parse_policy_change(const std::string& body);

/// Returns the operator whose token is in the `Authorization` header, or nullptr.
const operator_entry* find_operator(const std::vector<operator_entry>& operators,
                                    const std::vector<header>& headers);

/// Returns whether \p entry is authorized to act for \p owner.
bool may_act_for(const operator_entry& entry, const owner_name& owner);

} // namespace fescuedyke

#endif
