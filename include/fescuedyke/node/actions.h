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
/// The actions that the node core requests from its adapters.

namespace fescuedyke {

/// Reports the outcome of a request to its caller, with the response if there is one.
struct answer_caller {
    exchange_id exchange;
    outcome result;
    http_response response;
};

/// Sends an attempt of a call to the node beside the chosen target.
struct send_call {
    instance_id instance;
    endpoint address;
    call_context context;
    shared_request request;
};

/// Cancels an attempt that was sent.
struct cancel_call {
    instance_id instance;
    call_id call;
    int attempt = 0;
};

/// Dispatches a call to the target. The token is sent in a header that the target copies into the
/// requests that it makes while it serves the call.
struct dispatch_call {
    inbound_id call;
    shared_request request;
    std::string token;
    /// Identity of the target process that must serve the call; empty if any process may.
    std::string target_identity;
    millis time_left;
    /// Whether the request may be sent again on a new connection if its connection is lost.
    bool may_resend = false;
    /// Whether a long response may be streamed to the caller while it is received. Responses that
    /// are stored for replay must be received whole.
    bool may_stream_response = false;
};

/// Cancels a call that was dispatched to the target.
struct cancel_dispatch {
    inbound_id call;
};

/// An attempt that this node sent to itself.
struct local_attempt {
    call_id call;
    int attempt = 0;
};

/// Destination of a reply: a peer's stream, an attempt of this node, or none once the attempt was
/// cancelled or answered.
using reply_address = std::variant<std::monostate, exchange_id, local_attempt>;

/// Replies to an attempt.
struct reply_call {
    reply_address to;
    call_reply reply;
};

/// Sends the records of a bucket to its next owner. Failures are ignored.
struct hand_over_records {
    instance_id instance;
    endpoint address;
    records_handed_over records;
};

using node_action = std::variant<answer_caller, send_call, cancel_call, dispatch_call,
                                 cancel_dispatch, reply_call, hand_over_records>;

/// Actions in the order in which they were decided.
using node_actions = std::vector<node_action>;

} // namespace fescuedyke

#endif
