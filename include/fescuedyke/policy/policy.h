#ifndef FESCUEDYKE_POLICY_POLICY_H
#define FESCUEDYKE_POLICY_POLICY_H

#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>

/// \file
/// A policy, the set of all policies in force, and the choice between them.

namespace fescuedyke {

/// How important a request is; a lesser value outlives a greater one.
enum class priority_class : std::uint8_t { critical, high, normal, low };

/// Number of priority classes.
constexpr std::size_t priority_class_count = 4;

/// Returns the name that policies use for \p c.
const char* to_string(priority_class c);

/// What an owner asks for the traffic that the selectors choose.
struct policy {
    std::string name;
    owner_name owner;
    /// Among several matching policies the greatest order wins, then the lesser name.
    int order = 0;
    selector service;
    selector request;
    priority_class cls = priority_class::normal;
    /// Whether the request may run more than once.
    bool idempotent = false;
    /// Time for the whole request, in milliseconds.
    millis deadline{2000};
    /// Retries that one root request may use over its whole tree of calls.
    int retries = 0;
    /// Whether the request may leave its region.
    bool cross_region = false;
    /// Largest body, in bytes.
    std::uint64_t max_body = 1U << 20U;
    /// Whether other owners may read this policy.
    bool is_private = false;
};

/// Reads one policy from YAML. Every fault is listed with its line in the message of the
/// kInvalidArgument status.
absl::StatusOr<policy> parse_policy(const std::string& yaml);

/// Returns the policy that governs a request no owner's policy matches: safe methods may repeat,
/// others may not.
policy default_policy(const std::string& method);

/// An immutable set of policies by name.
class policy_set {
public:
    policy_set() = default;
    policy_set(config_version version, std::map<std::string, policy> policies);

    config_version version() const { return version_; }
    const std::map<std::string, policy>& policies() const { return policies_; }

    /// Returns the policy of \p owner that governs such a request, or nullptr.
    const policy* match(const owner_name& owner, const label_set& service_labels,
                        const label_set& request_labels) const;

private:
    config_version version_;
    std::map<std::string, policy> policies_;
};

} // namespace fescuedyke

#endif
