#ifndef FESCUEDYKE_NODE_OUTBOUND_CALLS_H
#define FESCUEDYKE_NODE_OUTBOUND_CALLS_H

#include "fescuedyke/account/account.h"
#include "fescuedyke/node/actions.h"
#include "fescuedyke/node/caller_headers.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/node/inbound_calls.h"
#include "fescuedyke/node/node_settings.h"
#include "fescuedyke/retry/allowance.h"
#include "fescuedyke/retry/retry_budget.h"
#include "fescuedyke/routing/target_chooser.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

/// \file
/// The client side of a node: calls from local callers to the nodes of their targets.

namespace fescuedyke {

/// A call from its arrival from the caller to its outcome.
struct outbound_call {
    call_id id;
    exchange_id exchange;
    shared_request request;
    caller_options options;
    account_key row_key;
    call_context context;
    instant deadline;
    bool cross_region = false;
    millis latency_objective;
    instant attempt_sent_at;
    /// Whether a route set the parameters of the call, including the limit \c max_targets.
    bool routed = false;
    int max_targets = 0;
    int targets_reached = 0;
    retry_allowance allowance{0};
    /// Retries taken from the allowance of the parent call; unused ones are returned to it.
    int lent_by_parent = 0;
    /// Retries passed to the current attempt.
    int lent = 0;
    std::set<instance_id> tried_instances;
    target_info target;
    bool attempt_open = false;
    /// Whether an earlier attempt may have been executed.
    bool may_have_run = false;
    /// A server error that was answered before the call was retried. The caller receives it unless
    /// a later attempt is answered.
    std::optional<http_response> failed_response;
    /// Result of the latest attempt.
    std::optional<outcome> last_result;
};

/// Chooses targets, sends attempts, and reports exactly one outcome to each caller.
class outbound_calls {
public:
    outbound_calls(const node_settings& settings, target_chooser& chooser, region_budget& regions,
                   flow_dependencies& dependencies, inbound_calls& inbound, account& accounts,
                   random_source& random, node_actions& actions);

    void on_request(const caller_request& event, moment at);
    void on_caller_disconnected(exchange_id exchange, instant now);
    void on_reply(const peer_reply& event, moment at);
    void on_peer_failed(const peer_failed& event, moment at);
    void on_policies(std::shared_ptr<const policy_set> policies);
    void on_owners(std::shared_ptr<const bucket_table> owners);
    /// Refuses all root calls from now on.
    void on_refusing() { refuses_root_calls_ = true; }
    /// Refuses all calls and makes no attempts from now on.
    void on_ending() { ending_ = true; }
    void expire(instant now);

    /// Cancels all child calls of \p parent, which has ended.
    void on_parent_ended(inbound_id parent, instant now);

    bool idle() const { return calls_.empty(); }
    std::size_t open_calls() const { return calls_.size(); }
    std::uint64_t bytes_held() const { return bytes_held_; }
    const std::map<service_name, retry_budget>& retry_budgets() const { return retry_budgets_; }

private:
    std::optional<outcome> check_request(const caller_request& event,
                                         const absl::StatusOr<caller_options>& options);
    std::optional<outcome> initialize(outbound_call& call,
                                      const std::optional<route_parameters>& route, instant now);
    std::optional<outcome> inherit_context(outbound_call& call, instant now);
    void initialize_root(outbound_call& call, const policy& effective_policy);
    policy match_policy(const outbound_call& call, const target_info& any_target) const;
    std::optional<outcome> choose_target(outbound_call& call, instant now);
    std::optional<outcome> choose_owner(outbound_call& call) const;
    void send_attempt(outbound_call& call, moment at);
    bool may_retry(const outbound_call& call, const outcome& result, instant now);
    bool may_retry_routed(const outbound_call& call, const outcome& result, instant now);
    void on_attempt_result(outbound_call& call, const outcome& result, bool fenced,
                           const http_response& response, moment at);
    void send_retry(outbound_call& call, moment at);
    void end(call_id id, const outcome& result, bool fenced, const http_response& response);
    void close_attempt(outbound_call& call);
    void cancel(outbound_call& call, outcome_reason reason, instant now);
    void refuse(const caller_request& event, const outcome& result, const service_name& service,
                priority_class cls);
    retry_budget& retry_budget_for(const service_name& service);
    retry_budget& refused_retry_budget_for(const service_name& service);
    outbound_call* find_attempt(call_id id, int attempt);

    const node_settings& settings_;
    target_chooser& chooser_;
    region_budget& regions_;
    flow_dependencies& dependencies_;
    inbound_calls& inbound_;
    account& accounts_;
    random_source& random_;
    node_actions& actions_;
    bool refuses_root_calls_ = false;
    bool ending_ = false;
    std::uint64_t bytes_held_ = 0;
    std::shared_ptr<const policy_set> policies_;
    std::shared_ptr<const bucket_table> owners_;
    std::map<call_id, outbound_call> calls_;
    std::map<exchange_id, call_id> by_exchange_;
    std::map<inbound_id, std::set<call_id>> by_parent_;
    std::set<std::pair<instant, call_id>> deadlines_;
    std::map<service_name, retry_budget> retry_budgets_;
    std::map<service_name, retry_budget> refused_retry_budgets_;
};

} // namespace fescuedyke

#endif
