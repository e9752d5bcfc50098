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
/// Policies, the set of policies in force, and the selection of the policy for a request.

namespace fescuedyke {

/// Importance of a request. Under overload, requests with greater values are shed first.
enum class priority_class : std::uint8_t { critical, high, normal, low };

constexpr std::size_t priority_class_count = 4;

/// Returns the name of \p c as it is written in policies.
const char* to_string(priority_class c);

/// Rules of an owner for the requests to its services that both selectors match.
struct policy {
    std::string name;
    owner_name owner;
    /// Precedence: of several matching policies, the one with the greatest order applies. Ties are
    /// broken in favor of the lexicographically smaller name.
    int order = 0;
    /// Matches the labels of the service.
    selector service_selector;
    /// Matches the labels of the request.
    selector request_selector;
    priority_class cls = priority_class::normal;
    /// Whether it is safe to run the request more than once.
    bool idempotent = false;
    /// Time limit for the whole request.
    millis deadline{2000};
    /// Retry budget of one root request, shared by its whole call tree.
    int retries = 0;
    /// Whether the request may be sent to another region.
    bool cross_region = false;
    /// Maximum size of the request body, in bytes.
    std::uint64_t max_body_bytes = 1U << 20U;
    /// Whether the policy is hidden from other owners.
    bool is_private = false;
};

/// Parses a policy from YAML. Fails with kInvalidArgument; the message lists every error with its
/// line.
absl::StatusOr<policy> parse_policy(const std::string& yaml);

/// Returns the policy for a request that no policy of the service's owner matches. It treats GET,
/// HEAD and OPTIONS as idempotent and all other methods as not idempotent.
policy default_policy(const std::string& method);

/// An immutable set of policies, indexed by name.
class policy_set {
public:
    policy_set() = default;
    policy_set(config_version version, std::map<std::string, policy> policies);

    config_version version() const { return version_; }
    const std::map<std::string, policy>& policies() const { return policies_; }

    /// Returns the policy of \p owner that applies to a request with these labels, or nullptr if
    /// none matches.
    const policy* match(const owner_name& owner, const label_set& service_labels,
                        const label_set& request_labels) const;

private:
    config_version version_;
    std::map<std::string, policy> policies_;
};

} // namespace fescuedyke

#endif
