#include "fescuedyke/node/outbound_calls.h"

namespace fescuedyke {

namespace {

/// Targets' nodes that may refuse one routed call before it is given up.
constexpr std::size_t most_refusals = 5;

} // namespace

retry_budget& outbound_calls::budget_of(const service_name& service)
{
    return budgets_
        .emplace(service, retry_budget(settings_.retry_share, settings_.most_saved_retries))
        .first->second;
}

retry_budget& outbound_calls::refused_budget_of(const service_name& service)
{
    return refused_budgets_
        .emplace(service,
                 retry_budget(settings_.refused_retry_share, settings_.most_saved_refused_retries))
        .first->second;
}

bool outbound_calls::may_retry_routed(const outbound_call& call, const outcome& result, instant now)
{
    const bool has_time = call.deadline - now > chooser_.expected_time(call.context.service);
    if (!has_time || !call.request->is_replayable() || call.tried.size() >= most_refusals) {
        return false;
    }
    const bool reached =
        result.kind == outcome_kind::unknown || result.reason == outcome_reason::target_shed;
    if (!reached) {
        // Refused by a target's node: no target has seen the call.
        return is_instance_specific(result.reason);
    }
    const bool allowed = result.kind == outcome_kind::not_run || call.context.idempotent;
    if (!allowed || call.targets_reached >= call.most_targets) {
        return false;
    }
    retry_budget& budget = result.kind == outcome_kind::not_run
                               ? refused_budget_of(call.context.service)
                               : budget_of(call.context.service);
    return budget.spend();
}

bool outbound_calls::may_retry(const outbound_call& call, const outcome& result, instant now)
{
    if (call.routed) {
        return may_retry_routed(call, result, now);
    }
    if (!call.context.idempotent || call.allowance.left() == 0 || !call.request->is_replayable()) {
        return false;
    }
    const bool elsewhere =
        result.kind == outcome_kind::unknown || is_instance_specific(result.reason);
    const millis left = call.deadline - now;
    if (!elsewhere || left <= chooser_.expected_time(call.context.service)) {
        return false;
    }
    // Before the most important work is refused, every target that its allowance reaches is tried.
    const bool most_important = call.context.priority_rank.cls() == priority_class::critical;
    const bool exempt = most_important && result.kind == outcome_kind::not_run;
    return exempt || budget_of(call.context.service).spend();
}

} // namespace fescuedyke
