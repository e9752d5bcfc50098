#ifndef FESCUEDYKE_NODE_NODE_SETTINGS_H
#define FESCUEDYKE_NODE_NODE_SETTINGS_H

#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/routing/target_chooser.h"
#include "fescuedyke/support/ids.h"

#include <cstdint>

/// \file
/// Settings of the node core.

namespace fescuedyke {

struct node_settings {
    instance_id self;
    incarnation self_incarnation;
    locality location;
    endpoint address;
    /// Owner of the target beside this node. The node accounts its calls to this owner.
    owner_name owner;
    routing_settings routing;
    run_registry_settings registry;
    /// Maximum size of the requests held for callers, and separately of those held for the target.
    std::uint64_t memory_bytes = 192ULL << 20U;
    /// Bandwidth budget of this node for traffic to each other region, in bytes per second.
    std::uint64_t region_bytes_per_second = 1ULL << 20U;
    /// Whether a running idempotent call may be preempted by a call of higher priority.
    bool preemption = true;
    /// Whether the concurrency limit of the target may adapt to values below its slot count.
    bool adaptive_limit = true;
    /// Retry budget of each service: the retries added by each success, and the maximum balance.
    double retries_per_success = 0.1;
    double max_saved_retries = 10;
    /// Separate retry budget for routed calls that a target refused without executing them. A retry
    /// of these does not repeat any child calls. It grows with the requests, since it is needed
    /// most when few of them succeed.
    double refused_retries_per_request = 0.1;
    double max_saved_refused_retries = 10;
    /// Whether a call is refused locally if the admission levels reported by other nodes exclude
    /// its rank.
    bool refuse_early = true;
    /// Time for which a call with an idempotency key may continue to run after its deadline.
    millis run_grace_period{30'000};
};

} // namespace fescuedyke

#endif
