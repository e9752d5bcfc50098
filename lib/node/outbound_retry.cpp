#include "fescuedyke/node/outbound_calls.h"

namespace fescuedyke {

namespace {

/// Maximum number of nodes that are tried for one routed call.
constexpr std::size_t max_nodes_tried = 5;

} // namespace

retry_budget& outbound_calls::retry_budget_for(const service_name& service)
{
    return retry_budgets_
        .emplace(service, retry_budget(settings_.retries_per_success, settings_.max_saved_retries))
        .first->second;
}

retry_budget& outbound_calls::refused_retry_budget_for(const service_name& service)
{
    return refused_retry_budgets_
        .emplace(service, retry_budget(settings_.refused_retries_per_request,
                                       settings_.max_saved_refused_retries))
        .first->second;
}

bool outbound_calls::may_retry_routed(const outbound_call& call, const outcome& result, instant now)
{
    const bool has_time = call.deadline - now > chooser_.expected_time(call.context.service);
    if (!has_time || !call.request->is_replayable() ||
        call.tried_instances.size() >= max_nodes_tried) {
        return false;
    }
    const bool reached =
        result.kind == outcome_kind::unknown || result.reason == outcome_reason::target_shed;
    if (!reached) {
        // A refusal by the target's node means that no target has received the call.
        return is_instance_specific(result.reason);
    }
    const bool allowed = result.kind == outcome_kind::not_run || call.context.idempotent;
    if (!allowed || call.targets_reached >= call.max_targets) {
        return false;
    }
    retry_budget& budget = result.kind == outcome_kind::not_run
                               ? refused_retry_budget_for(call.context.service)
                               : retry_budget_for(call.context.service);
    return budget.spend();
}

bool outbound_calls::may_retry(const outbound_call& call, const outcome& result, instant now)
{
    if (ending_) {
        return false;
    }
    if (call.routed) {
        return may_retry_routed(call, result, now);
    }
    if (!call.context.idempotent || call.allowance.left() == 0 || !call.request->is_replayable()) {
        return false;
    }
    const bool retryable =
        result.kind == outcome_kind::unknown || is_instance_specific(result.reason);
    const millis left = call.deadline - now;
    if (!retryable || left <= chooser_.expected_time(call.context.service)) {
        return false;
    }
    // Before a call of the highest priority class is refused, it may try every target that its
    // allowance permits, regardless of the retry budget.
    const bool is_critical = call.context.priority_rank.cls() == priority_class::critical;
    const bool exempt_from_budget = is_critical && result.kind == outcome_kind::not_run;
    return exempt_from_budget || retry_budget_for(call.context.service).spend();
}

} // namespace fescuedyke
