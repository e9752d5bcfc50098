#include "fescuedyke/node/outbound_calls.h"

#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

/// Lowest HTTP status that counts as a failure of the target.
constexpr int min_failure_status = 500;

/// Assumed number of hops below a service that has not reported any yet.
constexpr int default_hops_below = 1;

constexpr std::uint64_t flow_hash_seed = 0x666c6f77;

outcome refused(outcome_reason reason)
{
    return outcome::not_run(reason);
}

flow_id flow_of(const service_name& service, const std::string& policy_name)
{
    return flow_id(stable_hash(policy_name, stable_hash(service.value(), flow_hash_seed)));
}

label_set request_labels(const outbound_call& call)
{
    label_set labels = call.options.labels;
    labels.emplace("method", call.request->method);
    labels.emplace("path", call.request->path);
    return labels;
}

label_set service_labels(const target_info& target)
{
    label_set labels = target.labels;
    labels.emplace("name", target.service.value());
    return labels;
}

} // namespace

outbound_calls::outbound_calls(const node_settings& settings, target_chooser& chooser,
                               region_budget& regions, flow_dependencies& dependencies,
                               inbound_calls& inbound, account& accounts, random_source& random,
                               node_actions& actions)
    : settings_(settings), chooser_(chooser), regions_(regions), dependencies_(dependencies),
      inbound_(inbound), accounts_(accounts), random_(random), actions_(actions)
{
}

std::optional<outcome> outbound_calls::check_request(const caller_request& event,
                                                     const absl::StatusOr<caller_options>& options)
{
    if (!options.ok()) {
        return refused(outcome_reason::bad_request);
    }
    if (!policies_ && !event.route) {
        return refused(outcome_reason::not_ready);
    }
    if (ending_ || (refuses_root_calls_ && !options->parent)) {
        return refused(outcome_reason::draining);
    }
    if (bytes_held_ + event.request->held_bytes() > settings_.memory_bytes) {
        return refused(outcome_reason::memory_full);
    }
    return std::nullopt;
}

void outbound_calls::refuse(const caller_request& event, const outcome& result,
                            const service_name& service, priority_class cls)
{
    const account_key row{account_side::sent, settings_.owner, service, cls};
    accounts_.on_received(row);
    accounts_.on_ended(row, result);
    actions_.emplace_back(answer_caller{event.exchange, result, {}});
}

void outbound_calls::on_request(const caller_request& event, moment at)
{
    const instant now = at.now;
    const absl::StatusOr<caller_options> options =
        event.route ? caller_options{} : parse_caller_options(event.request->headers);
    if (const std::optional<outcome> refusal = check_request(event, options)) {
        refuse(event, *refusal, event.service, priority_class::normal);
        return;
    }
    outbound_call call;
    call.id = call_id(random_());
    call.exchange = event.exchange;
    call.request = event.request;
    call.options = *options;
    call.context.call = call.id;
    call.context.origin = settings_.self;
    call.context.service = event.service;
    if (const std::optional<outcome> refusal = initialize(call, event.route, now)) {
        refuse(event, *refusal, event.service, call.context.priority_rank.cls());
        return;
    }
    if (!event.route) {
        auto stripped = std::make_shared<http_request>(*event.request);
        stripped->headers = filter_forwarded_headers(event.request->headers);
        call.request = std::move(stripped);
    }
    call.row_key = {account_side::sent, settings_.owner, event.service,
                    call.context.priority_rank.cls()};
    accounts_.on_received(call.row_key);
    bytes_held_ += call.request->held_bytes();
    by_exchange_[call.exchange] = call.id;
    deadlines_.insert({call.deadline, call.id});
    if (call.options.parent) {
        by_parent_[*call.options.parent].insert(call.id);
    }
    refused_retry_budget_for(event.service).refill();
    outbound_call& stored = calls_.emplace(call.id, std::move(call)).first->second;
    send_attempt(stored, at);
}

policy outbound_calls::match_policy(const outbound_call& call, const target_info& any_target) const
{
    const policy* matched =
        policies_->match(any_target.owner, service_labels(any_target), request_labels(call));
    return matched != nullptr ? *matched : default_policy(call.request->method);
}

std::optional<outcome> outbound_calls::initialize(outbound_call& call,
                                                  const std::optional<route_parameters>& route,
                                                  instant now)
{
    const target_info* any_target = chooser_.find_any(call.context.service);
    if (any_target == nullptr) {
        return refused(outcome_reason::no_target);
    }
    const policy effective_policy =
        route ? route->effective_policy : match_policy(call, *any_target);
    if (route) {
        call.routed = true;
        call.max_targets = route->max_targets;
        call.latency_objective = route->latency_objective;
        call.options.timeout = route->time_left;
        call.context.keyless = !effective_policy.idempotent;
    }
    call.context.idempotent = effective_policy.idempotent;
    call.context.priority_rank = rank(effective_policy.cls, 0);
    call.cross_region = effective_policy.cross_region;
    if (call.request->body_bytes() > effective_policy.max_body_bytes) {
        return refused(outcome_reason::too_large);
    }
    if (!effective_policy.idempotent && !call.context.keyless && call.options.key.empty()) {
        return refused(outcome_reason::key_missing);
    }
    if (!effective_policy.idempotent && !call.context.keyless &&
        !parse_idempotency_key(call.options.key).ok()) {
        return refused(outcome_reason::key_invalid);
    }
    call.context.key = effective_policy.idempotent ? "" : call.options.key;
    call.context.client_attempt = call.options.client_attempt;
    call.context.labels = call.options.labels;
    call.deadline = now + std::min(effective_policy.deadline,
                                   call.options.timeout.value_or(effective_policy.deadline));
    if (call.options.parent) {
        return inherit_context(call, now);
    }
    initialize_root(call, effective_policy);
    return std::nullopt;
}

void outbound_calls::initialize_root(outbound_call& call, const policy& effective_policy)
{
    const std::string& key = call.options.key;
    // A resend with the same key gets the same rank within its priority class.
    call.context.root = root_id(key.empty() ? random_() : stable_hash(key));
    call.context.priority_rank = rank(effective_policy.cls, subpriority_of(call.context.root));
    call.context.flow = flow_of(call.context.service, effective_policy.name);
    call.allowance = retry_allowance(effective_policy.retries);
}

std::optional<outcome> outbound_calls::inherit_context(outbound_call& call, instant now)
{
    inbound_call* parent = inbound_.find_running(*call.options.parent);
    if (parent == nullptr) {
        return refused(outcome_reason::cancelled);
    }
    if (parent->context.depth + 1 > max_call_depth) {
        return refused(outcome_reason::bad_request);
    }
    call.context.root = parent->context.root;
    call.context.priority_rank = parent->context.priority_rank;
    call.context.flow = parent->context.flow;
    call.context.depth = parent->context.depth + 1;
    call.deadline = std::min(call.deadline, parent->deadline);
    // Half of the allowance remains for other calls that the target may make concurrently.
    call.lent_by_parent = parent->allowance.lend(1);
    call.allowance = retry_allowance(call.lent_by_parent);
    dependencies_.on_call(call.context.flow, call.context.service, now);
    return std::nullopt;
}

std::optional<outcome> outbound_calls::choose_owner(outbound_call& call) const
{
    const absl::StatusOr<idempotency_key> key = parse_idempotency_key(call.context.key);
    assert(key.ok() && "keys are validated when the request arrives");
    const bucket_grant* grant = owners_ ? owners_->find(call.context.service, *key) : nullptr;
    if (grant == nullptr || grant->owner.value().empty()) {
        return refused(outcome_reason::not_owner);
    }
    const target_info* owner = chooser_.find(call.context.service, grant->owner);
    if (owner == nullptr || owner->state != target_state::ready ||
        chooser_.memory().has_left(*owner)) {
        return refused(outcome_reason::not_owner);
    }
    call.target = *owner;
    return std::nullopt;
}

std::optional<outcome> outbound_calls::choose_target(outbound_call& call, instant now)
{
    if (!call.context.idempotent && !call.context.keyless) {
        return choose_owner(call);
    }
    route_request request;
    request.service = call.context.service;
    request.flow = call.context.flow;
    request.priority_rank =
        settings_.refuse_early ? call.context.priority_rank : rank::from_value(0);
    request.idempotent = call.context.idempotent;
    request.cross_region = call.cross_region;
    request.bytes = call.request->body_bytes();
    request.latency_objective = call.latency_objective;
    request.time_left = call.deadline - now;
    request.tried = call.tried_instances;
    const route_choice choice = chooser_.choose(request, now, random_);
    if (choice.target) {
        call.target = *choice.target;
        return std::nullopt;
    }
    const bool not_admitted = choice.failure == route_failure::not_admitted;
    return refused(not_admitted ? outcome_reason::service_overloaded : outcome_reason::no_target);
}

void outbound_calls::send_attempt(outbound_call& call, moment at)
{
    const instant now = at.now;
    if (const std::optional<outcome> refusal = choose_target(call, now)) {
        end(call.id, call.last_result.value_or(*refusal), false, {});
        return;
    }
    const int hops =
        dependencies_.hops_below(call.context.flow, call.context.service, default_hops_below);
    call.lent = call.allowance.lend(hops);
    call.attempt_open = true;
    call.attempt_sent_at = now;
    call.context.time_left = call.deadline - now;
    call.context.sent = at.wall;
    call.context.lent_retries = call.lent;
    call.context.target_identity = call.target.identity;
    call.context.target_rate_limit = chooser_.memory().rate_limit(call.target);
    chooser_.on_sent(call.context.service, call.target.instance);
    if (call.target.location.region != settings_.location.region) {
        regions_.spend(call.target.location.region, call.request->body_bytes(), now);
    }
    actions_.emplace_back(
        send_call{call.target.instance, call.target.node_address, call.context, call.request});
}

outbound_call* outbound_calls::find_attempt(call_id id, int attempt)
{
    const auto found = calls_.find(id);
    const bool open = found != calls_.end() && found->second.attempt_open &&
                      found->second.context.attempt == attempt;
    return open ? &found->second : nullptr;
}

void outbound_calls::close_attempt(outbound_call& call)
{
    call.attempt_open = false;
    call.lent = 0;
    call.tried_instances.insert(call.target.instance);
}

void outbound_calls::on_reply(const peer_reply& event, moment at)
{
    const instant now = at.now;
    outbound_call* call = find_attempt(event.call, event.attempt);
    if (call == nullptr) {
        return;
    }
    const call_context& context = call->context;
    const load_report& load = event.reply.load;
    const std::uint64_t bytes = call->request->body_bytes() + event.reply.response.body_bytes();
    const attempt_times times{call->attempt_sent_at, now};
    chooser_.on_reply(call->target, context.flow, load, times, bytes);
    // A node that was restarted does not know the limit before its target has answered.
    if (load.rate_limit || event.reply.result.kind == outcome_kind::answered) {
        chooser_.memory().on_rate_limit(call->target, load.rate_limit, now);
    }
    if (load.target_leaving) {
        chooser_.memory().on_left(call->target, now);
    }
    dependencies_.on_reply(context.flow, context.service, load.hops_below, now);
    if (call->target.location.region != settings_.location.region) {
        regions_.spend(call->target.location.region, event.reply.response.body_bytes(), now);
    }
    const outcome_reason reason = event.reply.result.reason;
    if (reason == outcome_reason::draining || reason == outcome_reason::target_unreachable) {
        chooser_.on_unavailable(context.service, call->target.instance, now);
    }
    call->allowance.return_unused(event.reply.unused_retries, call->lent);
    close_attempt(*call);
    if (event.reply.result.kind == outcome_kind::answered) {
        retry_budget_for(context.service).refill();
    }
    on_attempt_result(*call, event.reply.result, event.reply.fenced, event.reply.response, at);
}

void outbound_calls::on_peer_failed(const peer_failed& event, moment at)
{
    const instant now = at.now;
    outbound_call* call = find_attempt(event.call, event.attempt);
    if (call == nullptr) {
        return;
    }
    chooser_.on_no_reply(call->context.service, call->target.instance, true, now);
    if (event.failure == peer_failure::never_processed) {
        call->allowance.return_unused(call->lent, call->lent);
        close_attempt(*call);
        on_attempt_result(*call, refused(outcome_reason::peer_unreachable), false, {}, at);
        return;
    }
    close_attempt(*call);
    on_attempt_result(*call, outcome::unknown(outcome_reason::connection_lost), false, {}, at);
}

void outbound_calls::on_attempt_result(outbound_call& call, const outcome& result, bool fenced,
                                       const http_response& response, moment at)
{
    const instant now = at.now;
    call.last_result = result;
    call.may_have_run = call.may_have_run || result.kind == outcome_kind::unknown;
    const bool reached =
        result.kind != outcome_kind::not_run || result.reason == outcome_reason::target_shed;
    call.targets_reached += reached ? 1 : 0;
    if (result.kind == outcome_kind::answered) {
        const bool failed =
            call.routed && response.status >= min_failure_status && response.body_stream == nullptr;
        const outcome failure_result = outcome::unknown(outcome_reason::connection_lost);
        if (failed && call.context.idempotent && may_retry(call, failure_result, now)) {
            call.failed_response = response;
            call.last_result = failure_result;
            send_retry(call, at);
            return;
        }
        end(call.id, result, fenced, response);
        return;
    }
    if (!may_retry(call, result, now)) {
        end(call.id, result, fenced, response);
        return;
    }
    send_retry(call, at);
}

void outbound_calls::send_retry(outbound_call& call, moment at)
{
    const bool spent = call.routed || call.allowance.spend();
    assert(spent && "a retry requires an allowance");
    (void)spent;
    ++call.context.attempt;
    send_attempt(call, at);
}

void outbound_calls::end(call_id id, const outcome& result, bool fenced,
                         const http_response& response)
{
    const auto found = calls_.find(id);
    assert(found != calls_.end() && "a call must end exactly once");
    const outbound_call call = std::move(found->second);
    calls_.erase(found);
    by_exchange_.erase(call.exchange);
    deadlines_.erase({call.deadline, id});
    bytes_held_ -= call.request->held_bytes();
    if (call.options.parent) {
        const auto siblings = by_parent_.find(*call.options.parent);
        siblings->second.erase(id);
        if (siblings->second.empty()) {
            by_parent_.erase(siblings);
        }
        if (inbound_call* parent = inbound_.find_running(*call.options.parent)) {
            parent->allowance.return_unused(call.allowance.left(), call.lent_by_parent);
        }
    }
    outcome final_result = result;
    const bool resent = !call.context.key.empty() && call.context.client_attempt > 0;
    // Only the owner of a key can confirm that the earlier attempts of the client did not run.
    const bool earlier_run_possible = call.may_have_run || (resent && !fenced);
    if (result.kind == outcome_kind::not_run && earlier_run_possible) {
        final_result = outcome::unknown(result.reason);
    }
    if (final_result.kind != outcome_kind::answered && call.failed_response) {
        accounts_.on_ended(call.row_key, outcome::answered());
        actions_.emplace_back(
            answer_caller{call.exchange, outcome::answered(), *call.failed_response});
        return;
    }
    accounts_.on_ended(call.row_key, final_result);
    actions_.emplace_back(answer_caller{call.exchange, final_result, response});
}

void outbound_calls::cancel(outbound_call& call, outcome_reason reason, instant now)
{
    if (call.attempt_open) {
        const bool counts_as_failure = reason == outcome_reason::timed_out;
        chooser_.on_no_reply(call.context.service, call.target.instance, counts_as_failure, now);
        actions_.emplace_back(cancel_call{call.target.instance, call.id, call.context.attempt});
        call.may_have_run = true;
    }
    const outcome result = call.may_have_run ? outcome::unknown(reason) : outcome::not_run(reason);
    end(call.id, result, false, {});
}

void outbound_calls::on_caller_disconnected(exchange_id exchange, instant now)
{
    const auto found = by_exchange_.find(exchange);
    if (found != by_exchange_.end()) {
        cancel(calls_.at(found->second), outcome_reason::cancelled, now);
    }
}

void outbound_calls::on_parent_ended(inbound_id parent, instant now)
{
    const auto found = by_parent_.find(parent);
    if (found == by_parent_.end()) {
        return;
    }
    const std::set<call_id> children = found->second;
    for (const call_id id : children) {
        cancel(calls_.at(id), outcome_reason::cancelled, now);
    }
}

void outbound_calls::on_policies(std::shared_ptr<const policy_set> policies)
{
    // Versions may arrive out of order; older ones are ignored.
    if (!policies_ || policies->version() > policies_->version()) {
        policies_ = std::move(policies);
    }
}

void outbound_calls::on_owners(std::shared_ptr<const bucket_table> owners)
{
    if (!owners_ || owners->version > owners_->version) {
        owners_ = std::move(owners);
    }
}

void outbound_calls::expire(instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        cancel(calls_.at(deadlines_.begin()->second), outcome_reason::timed_out, now);
    }
}

} // namespace fescuedyke
