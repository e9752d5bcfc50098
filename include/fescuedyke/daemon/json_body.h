#ifndef FESCUEDYKE_DAEMON_JSON_BODY_H
#define FESCUEDYKE_DAEMON_JSON_BODY_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>

/// \file
/// Parsing of JSON bodies that other programs sent.

namespace fescuedyke {

/// Maximum number of objects and arrays inside one another, outermost included. Functions that copy
/// a value recurse to its depth.
constexpr int max_json_depth = 32;

/// Parses a JSON object. Fails with kInvalidArgument if \p body is anything else or is nested more
/// deeply than max_json_depth.
absl::StatusOr<nlohmann::json> parse_json_object(const std::string& body);

} // namespace fescuedyke

#endif
