#ifndef FESCUEDYKE_CALL_CONTEXT_H
#define FESCUEDYKE_CALL_CONTEXT_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"
#include "fescuedyke/call/rank.h"
#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/call_rate.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <optional>
#include <string>

/// \file
/// The context that an attempt carries from node to node, and the reply to the attempt.

namespace fescuedyke {

/// Metadata that is sent with every attempt of a call.
struct call_context {
    call_id call;
    root_id root;
    flow_id flow;
    instance_id origin;
    service_name service;
    rank priority_rank;
    /// Number of this attempt among those that the origin makes for the call, from 0.
    int attempt = 0;
    /// Number of ancestors in the call tree; 0 for a root call.
    int depth = 0;
    /// Time until the call's deadline when the attempt was sent.
    millis time_left;
    /// Time of sending by the origin's wall clock.
    wall_time sent;
    /// Number of retries lent to this attempt and the calls below it.
    int lent_retries = 0;
    bool idempotent = false;
    /// Whether the call is non-idempotent and has no idempotency key. Such a call is sent to
    /// another target only if it provably did not run at the first.
    bool keyless = false;
    /// Idempotency key; empty for idempotent calls.
    std::string key;
    /// Number of the client's own attempt under the key, from 0.
    int client_attempt = 0;
    /// Identity of the only target process that may serve the call; empty if any may.
    std::string target_identity;
    /// Rate limit that the sender knows of this target process.
    std::optional<call_rate> target_rate_limit;
    label_set labels;
};

/// Greatest depth of a call; deeper calls are refused.
constexpr int max_call_depth = 64;

/// Load of a receiving node when it sends a reply.
struct load_report {
    /// Admission level of the node: the greatest rank that it admits.
    rank level = rank::max();
    /// Admission level of the whole call chain below the node, for the flow of the call.
    rank chain_level = rank::max();
    /// Number of queued and running calls.
    int in_progress = 0;
    /// Concurrency limit.
    int limit = 0;
    /// Number of hops below the node that are known for the call's flow.
    int hops_below = 0;
    /// Expected time from arrival to response for a call of medium rank.
    millis expected_time;
    /// Mean service time of the target for the flow of the call, and its mean deviation; 0 if
    /// unknown.
    millis flow_time;
    millis flow_deviation;
    /// Expected time in the queue.
    millis queue_time;
    /// Time from the arrival of the call to the reply.
    millis time_at_node;
    /// Rate limit that the target has stated.
    std::optional<call_rate> rate_limit;
    /// Whether the target has stated that it leaves.
    bool target_leaving = false;
};

/// The receiving node's reply to one attempt.
struct call_reply {
    outcome result;
    /// For "not run" of a call with an idempotency key: guarantees that no copy of the call up to
    /// the client attempt in question will ever run.
    bool fenced = false;
    /// Valid if the outcome is "answered".
    http_response response;
    /// Number of lent retries that the attempt and the calls below it did not use.
    int unused_retries = 0;
    load_report load;
};

} // namespace fescuedyke

#endif
