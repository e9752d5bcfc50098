#ifndef FESCUEDYKE_CALL_CONTEXT_H
#define FESCUEDYKE_CALL_CONTEXT_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"
#include "fescuedyke/call/rank.h"
#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <string>

/// \file
/// What a call carries from node to node, and what its reply brings back.

namespace fescuedyke {

/// Travels with every attempt of a call.
struct call_context {
    call_id call;
    root_id root;
    flow_id flow;
    instance_id origin;
    service_name service;
    rank priority_rank;
    /// Counts the attempts that the origin makes for this call, from 0.
    int attempt = 0;
    /// Number of calls above this one; 0 at a root.
    int depth = 0;
    /// Time left for the whole call when it was sent.
    millis time_left;
    /// The origin's wall clock when the attempt was sent.
    wall_time sent;
    /// Retries lent to this attempt and all below it.
    int lent_retries = 0;
    bool idempotent = false;
    /// Unrepeatable work that has no key: this call goes to one target and is sent to no other
    /// unless it provably did not run.
    bool keyless = false;
    /// Idempotency key; empty for idempotent work.
    std::string key;
    /// The client's own count of its tries under the key, from 0.
    int client_attempt = 0;
    /// The start of the target that shall serve the call; empty for any.
    std::string target;
    label_set labels;
};

/// Deepest chain of calls that is carried on.
constexpr int max_call_depth = 64;

/// Load of a receiving node at the time of a reply.
struct load_report {
    /// Greatest rank that the node itself still admits.
    rank level = rank::max();
    /// The same for the whole chain below the node, for the flow of the call.
    rank chain_level = rank::max();
    int in_progress = 0;
    int limit = 0;
    /// Hops of calls that the flow is known to make below the node.
    int hops_below = 0;
    /// Expected time from arrival to answer for a call of middling rank.
    millis expected_time;
};

/// What the receiving node sends back for one attempt.
struct call_reply {
    outcome result;
    /// With "not run" about a key: no copy up to the client's try in question will ever run.
    bool fenced = false;
    /// Valid when the result is answered.
    http_response response;
    /// Retries not used by the attempt and all below it.
    int unused_retries = 0;
    load_report load;
};

} // namespace fescuedyke

#endif
