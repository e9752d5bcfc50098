#ifndef FESCUEDYKE_NODE_ACTIONS_H
#define FESCUEDYKE_NODE_ACTIONS_H

#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/call/context.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/routing/target_view.h"

#include <string>
#include <variant>
#include <vector>

/// \file
/// Everything that a node asks of its adapters.

namespace fescuedyke {

/// Give a caller its outcome, and the answer if there is one.
struct answer_caller {
    exchange_id exchange;
    outcome result;
    http_answer answer;
};

/// Send an attempt of a call to the node beside the chosen target.
struct send_call {
    instance_id instance;
    endpoint address;
    call_context context;
    shared_request request;
};

/// Cancel an attempt that was sent.
struct cancel_call {
    instance_id instance;
    call_id call;
    int attempt = 0;
};

/// Hand a call to the target. The token goes along as the header that the target hands back when
/// it calls on.
struct dispatch_call {
    inbound_id call;
    shared_request request;
    std::string token;
    /// The start of the target that the call is for; empty for any.
    std::string target;
    millis time_left;
    /// Whether a connection that dies under the request may be replaced and the request sent again.
    bool may_resend = false;
    /// Whether a long answer may be passed on while it comes in. Answers that are kept for a resend
    /// may not.
    bool may_stream_answer = false;
};

/// Cancel a call at the target.
struct cancel_dispatch {
    inbound_id call;
};

/// An attempt that this node sent to itself.
struct local_attempt {
    call_id call;
    int attempt = 0;
};

/// Where a reply goes: a peer's stream, this node itself, or nowhere any more.
using reply_address = std::variant<std::monostate, exchange_id, local_attempt>;

/// Reply to an attempt.
struct reply_call {
    reply_address to;
    call_reply reply;
};

/// Hand a bucket's records to its next owner; nothing is done when that fails.
struct hand_over_records {
    instance_id instance;
    endpoint address;
    records_handed_over records;
};

using node_action = std::variant<answer_caller, send_call, cancel_call, dispatch_call,
                                 cancel_dispatch, reply_call, hand_over_records>;

/// Actions in the order decided.
using node_actions = std::vector<node_action>;

} // namespace fescuedyke

#endif
