#ifndef FESCUEDYKE_NODE_EVENTS_H
#define FESCUEDYKE_NODE_EVENTS_H

#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/call/context.h"
#include "fescuedyke/call/target_notice.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/policy/policy.h"
#include "fescuedyke/routing/target_view.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

/// \file
/// The events that the adapters report to the node core.

namespace fescuedyke {

/// A request shared by all attempts that are made with it.
using shared_request = std::shared_ptr<const http_request>;

/// Parameters that a route sets for a request, in addition to its service.
struct route_parameters {
    policy effective_policy;
    /// Response time up to which a response has its full value; 0 if unknown.
    millis latency_objective{0};
    /// Time that the caller still waits. It applies if it is shorter than the policy's deadline.
    millis time_left;
    /// Maximum number of targets that the request may reach.
    int max_targets = 1;
};

/// A caller sent a request for \c service. Unless \c route is set, the headers still contain those
/// meant for the node.
struct caller_request {
    exchange_id exchange;
    service_name service;
    shared_request request;
    std::optional<route_parameters> route{};
};

/// A caller closed its connection before it was answered.
struct caller_disconnected {
    exchange_id exchange;
};

/// Another node sent an attempt of a call. The reply is sent on \c stream.
struct peer_call {
    exchange_id stream;
    call_context context;
    shared_request request;
};

/// Another node cancelled an attempt.
struct peer_cancelled {
    exchange_id stream;
};

/// The reply to an attempt that this node sent.
struct peer_reply {
    call_id call;
    int attempt = 0;
    call_reply reply;
};

/// Reason why an attempt got no reply.
enum class peer_failure : std::uint8_t {
    /// The other node provably did not process the attempt.
    never_processed,
    /// The connection was lost after the attempt was sent.
    connection_lost
};

/// An attempt that this node sent got no reply.
struct peer_failed {
    call_id call;
    int attempt = 0;
    peer_failure failure = peer_failure::connection_lost;
};

/// The target answered a dispatched call.
struct target_answered {
    inbound_id call;
    http_response response;
    /// The target stated that it did not execute the call.
    bool not_run = false;
    /// What the target states about itself.
    target_notice notice{};
};

/// Reason why the target gave no response.
enum class target_failure : std::uint8_t {
    /// No connection could be established, so nothing was sent.
    never_sent,
    /// The connection was lost after the request was sent.
    connection_lost,
    /// The response ended before it was complete.
    truncated
};

/// The target gave no complete response to a dispatched call.
struct target_failed {
    inbound_id call;
    target_failure failure = target_failure::connection_lost;
};

/// A dispatched call was sent again on a new connection, because its reused one had broken. The
/// target may have received it twice.
struct target_call_resent {
    inbound_id call;
};

/// The target announced itself, or renewed its announcement, possibly with other slots or labels.
struct target_announced {
    service_name service;
    /// Identifies this target process among all others; empty if the target reported none.
    std::string identity;
    label_set labels;
    /// Changes whenever the target process restarts.
    std::uint64_t target_incarnation = 0;
    int slots = 1;
    /// The target is considered unavailable unless it announces itself again within this time.
    millis lease{10'000};
    /// Duration of the slow start, during which the concurrency limit rises to its full value.
    millis warm_up;
};

/// The target accepts no new calls and finishes those that it has.
struct target_draining {};

/// The node is shutting down: it accepts no new calls for its target.
struct node_stopping {};

/// The node accepts no new root calls from now on.
struct node_refusing {};

/// The node is about to end: it refuses all new calls and those that wait for the target, and makes
/// no further attempts.
struct node_ending {};

/// The configuration was confirmed to be fresh, or a later version was received.
struct policies_updated {
    std::shared_ptr<const policy_set> policies;
};

/// The targets of the services that this node calls were updated.
struct targets_updated {
    std::shared_ptr<const target_view> view;
};

/// A new version of the replicated table of key owners was received.
struct owners_updated {
    std::shared_ptr<const bucket_table> table;
};

/// The ownership lease of this instance was renewed.
struct lease_renewed {
    instant until;
    /// The lease is valid only together with a table of at least this version.
    std::uint64_t table_version = 0;
};

/// Records that the former owner of a bucket of \c home handed over before it left.
struct records_handed_over {
    bucket_home home;
    bucket_index bucket;
    /// Epoch of the grant whose history the records complete.
    std::uint64_t epoch = 0;
    std::map<std::string, run_record> records;
};

/// Time advanced; expected about every ten milliseconds.
struct tick {};

using node_event =
    std::variant<caller_request, caller_disconnected, peer_call, peer_cancelled, peer_reply,
                 peer_failed, target_answered, target_failed, target_call_resent, target_announced,
                 target_draining, node_stopping, node_refusing, node_ending, policies_updated,
                 targets_updated, owners_updated, lease_renewed, records_handed_over, tick>;

} // namespace fescuedyke

#endif
