#ifndef FESCUEDYKE_NODE_EVENTS_H
#define FESCUEDYKE_NODE_EVENTS_H

#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/call/context.h"
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
/// Everything that can happen to a node, as its adapters report it.

namespace fescuedyke {

/// A request that is kept while attempts are made with it.
using shared_request = std::shared_ptr<const http_request>;

/// What a route says of a request, beside the service it goes to.
struct route_parameters {
    policy effective_policy;
    /// Time that the caller waits, if it is shorter than the policy's deadline.
    millis time_left;
    /// Most targets that the request may be sent to.
    int max_targets = 1;
};

/// A caller brought a request for \c service. Unless a route governs it, its headers still hold
/// those meant for the node.
struct caller_request {
    exchange_id exchange;
    service_name service;
    shared_request request;
    std::optional<route_parameters> route{};
};

/// A caller closed its connection before its answer.
struct caller_disconnected {
    exchange_id exchange;
};

/// Another node sent an attempt of a call; \c stream is where the reply goes.
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

/// Why an attempt got no reply.
enum class peer_failure : std::uint8_t {
    /// The other node provably never processed it.
    never_processed,
    /// The connection was lost after it was sent.
    connection_lost
};

struct peer_failed {
    call_id call;
    int attempt = 0;
    peer_failure failure = peer_failure::connection_lost;
};

/// The target answered a dispatched call.
struct target_answered {
    inbound_id call;
    http_answer answer;
    /// The target says that it did not run the call.
    bool not_run = false;
};

/// Why the target gave no answer.
enum class target_failure : std::uint8_t {
    /// No connection could be made: nothing was sent.
    never_sent,
    /// The connection was lost after the request went out.
    connection_lost,
    /// The answer was cut off.
    truncated
};

struct target_failed {
    inbound_id call;
    target_failure failure = target_failure::connection_lost;
};

/// The target announced itself, or announced itself again with other slots or labels.
struct target_announced {
    service_name service;
    /// Tells this start of the target from every other; empty if it told none.
    std::string identity;
    label_set labels;
    /// Changes whenever the target's process is a new one.
    std::uint64_t target_incarnation = 0;
    int slots = 1;
    /// The target is taken to be gone unless it announces itself again within this time.
    millis lease{10'000};
    /// Time over which it shall be warmed up.
    millis warm_up;
};

/// The target takes no new work; what it has it will finish.
struct target_draining {};

/// The node itself stops: no new roots, and no new work for its target.
struct node_stopping {};

/// The configuration is confirmed to be fresh, or changed to a later version.
struct policies_updated {
    std::shared_ptr<const policy_set> policies;
};

/// The targets of the services this node calls.
struct targets_updated {
    std::shared_ptr<const target_view> view;
};

/// The replicated table of key owners.
struct owners_updated {
    std::shared_ptr<const bucket_table> table;
};

/// This instance's ownership lease was renewed.
struct lease_renewed {
    instant until;
    /// The lease goes with a table of at least this version.
    std::uint64_t table_version = 0;
};

/// Records of a former owner of \c home, handed over before it left.
struct records_handed_over {
    bucket_home home;
    bucket_index bucket;
    /// Epoch of the grant whose history they complete.
    std::uint64_t epoch = 0;
    std::map<std::string, run_record> records;
};

/// Time passes; expected about every ten milliseconds.
struct tick {};

using node_event =
    std::variant<caller_request, caller_disconnected, peer_call, peer_cancelled, peer_reply,
                 peer_failed, target_answered, target_failed, target_announced, target_draining,
                 node_stopping, policies_updated, targets_updated, owners_updated, lease_renewed,
                 records_handed_over, tick>;

} // namespace fescuedyke

#endif
