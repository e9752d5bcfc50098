#ifndef FESCUEDYKE_NODE_NODE_SETTINGS_H
#define FESCUEDYKE_NODE_NODE_SETTINGS_H

#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/routing/target_chooser.h"
#include "fescuedyke/support/ids.h"

#include <cstdint>

/// \file
/// Settings of the decisions of one node.

namespace fescuedyke {

struct node_settings {
    instance_id self;
    incarnation self_incarnation;
    locality place;
    endpoint address;
    /// Owner of the target beside this node, whose account the node keeps.
    owner_name owner;
    routing_settings routing;
    run_registry_settings registry;
    /// Most bytes of requests held for callers, and again for the target.
    std::uint64_t memory_bytes = 192ULL << 20U;
    /// This node's share of the traffic to each other region, in bytes per second.
    std::uint64_t region_bytes_per_second = 1ULL << 20U;
    /// Whether running idempotent work may be cancelled for more important work.
    bool preemption = true;
    /// Whether the target's limit adapts below its slots.
    bool adaptive_limit = true;
    /// Retries that one success earns, and the most that are saved up, for each service.
    double retries_per_success = 0.1;
    double max_saved_retries = 10;
    /// The same for routed calls that a target refused without running them: sending these again
    /// repeats no calls below them.
    double refused_retries_per_success = 0.1;
    double max_saved_refused_retries = 10;
    /// Whether admission levels of other nodes are heeded before a call is sent.
    bool refuse_early = true;
    /// Time that a run under a key may go on after its caller's deadline.
    millis run_grace_period{30'000};
};

} // namespace fescuedyke

#endif
