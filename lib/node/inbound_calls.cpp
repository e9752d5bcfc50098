#include "fescuedyke/node/inbound_calls.h"

#include "fescuedyke/node/caller_headers.h"

#include <algorithm>
#include <cassert>

namespace fescuedyke {

namespace {

/// Fraction of the slots that is available at the start of the warm-up.
constexpr double min_warm_up_share = 0.2;

/// Time after which calls that wait for a draining target are refused, so that other targets can
/// serve them. The target may end soon afterwards.
constexpr millis queue_drain_time{2000};

outcome refused(outcome_reason reason)
{
    return outcome::not_run(reason);
}

} // namespace

const char* to_string(inbound_call::stage stage)
{
    switch (stage) {
    case inbound_call::stage::queued:
        return "queued";
    case inbound_call::stage::running:
        return "running";
    case inbound_call::stage::joined:
        return "joined";
    }
    return "queued";
}

inbound_calls::inbound_calls(const node_settings& settings, ownership& owned_buckets,
                             account& accounts, const target_chooser& chooser,
                             const flow_dependencies& dependencies, node_actions& actions)
    : settings_(settings), owned_buckets_(owned_buckets), accounts_(accounts), chooser_(chooser),
      dependencies_(dependencies), actions_(actions), registry_(settings.registry),
      // Call tokens of a former incarnation must not be valid in this one.
      next_id_((settings.self_incarnation.value() << 24U) + 1)
{
}

std::optional<outcome> inbound_calls::check_admissible(const call_context& context,
                                                       instant now) const
{
    const bool other_process =
        !context.target_identity.empty() && context.target_identity != identity_;
    if (!admission_ || context.service != service_ || now >= lease_until_ || other_process) {
        return refused(outcome_reason::target_unreachable);
    }
    if (draining_) {
        return refused(outcome_reason::draining);
    }
    if (!context.idempotent && !context.keyless && context.key.empty()) {
        return refused(outcome_reason::key_missing);
    }
    if (context.time_left <= millis(0)) {
        return refused(outcome_reason::doomed);
    }
    return std::nullopt;
}

bool inbound_calls::is_late_or_duplicate(const call_context& context, moment at)
{
    // A duplicate delivered by the network must not run after the original was refused as "not
    // run". Duplicates that arrive after the deadline are detected by the wall clock, so attempts
    // have to be remembered only until then.
    const millis max_skew = settings_.registry.max_clock_skew;
    if (at.wall > context.sent + context.time_left + max_skew) {
        return true;
    }
    const std::pair<call_id, int> attempt{context.call, context.attempt};
    if (!seen_attempts_.insert(attempt).second) {
        return true;
    }
    seen_expiry_.emplace(at.now + context.time_left + max_skew * 2, attempt);
    return false;
}

void inbound_calls::on_call(const call_context& context, const shared_request& request,
                            const reply_address& reply_to, moment at)
{
    if (!context.idempotent && !context.keyless && is_late_or_duplicate(context, at)) {
        return;
    }
    const inbound_id id(next_id_++);
    inbound_call& call = calls_[id];
    call.id = id;
    call.reply_to = reply_to;
    call.context = context;
    call.request = request;
    call.arrived_at = at.now;
    call.deadline = at.now + context.time_left;
    call.allowance = retry_allowance(context.lent_retries);
    call.row_key = {account_side::served, settings_.owner, context.service,
                    context.priority_rank.cls()};
    accounts_.on_received(call.row_key);
    deadlines_.insert({call.deadline, id});
    if (const auto* stream = std::get_if<exchange_id>(&reply_to)) {
        by_stream_[*stream] = id;
    }
    if (const auto* attempt = std::get_if<local_attempt>(&reply_to)) {
        by_attempt_[{attempt->call, attempt->attempt}] = id;
    }
    if (const std::optional<outcome> refusal = check_admissible(context, at.now)) {
        end(id, *refusal, {}, at.now);
        return;
    }
    adopt_rate_limit(context, at.now);
    if (!context.idempotent && !context.keyless) {
        begin_keyed(call, at);
        return;
    }
    admit(call, at.now);
}

void inbound_calls::adopt_rate_limit(const call_context& context, instant now)
{
    const std::optional<call_rate> current = admission_->rate_limit();
    const bool lower =
        context.target_rate_limit && (!current || *context.target_rate_limit < *current);
    if (!target_has_answered_ && lower && context.target_identity == identity_) {
        rate_limit_learned_at_ = now;
        admission_->set_rate_limit(context.target_rate_limit, now);
    }
}

void inbound_calls::begin_keyed(inbound_call& call, moment at)
{
    const absl::StatusOr<idempotency_key> key = parse_idempotency_key(call.context.key);
    if (!key.ok()) {
        end(call.id, refused(outcome_reason::key_invalid), {}, at.now);
        return;
    }
    const std::optional<held_bucket> held = owned_buckets_.find_servable(service_, *key, at.now);
    if (!held) {
        end(call.id, refused(outcome_reason::not_owner), {}, at.now);
        return;
    }
    const run_decision decision =
        registry_.begin(*key, call.context.client_attempt, *held, at.wall);
    switch (decision.action) {
    case run_action::refuse:
        end(call.id, decision.result, {}, at.now);
        return;
    case run_action::replay:
        end(call.id, outcome::answered(), decision.response, at.now);
        return;
    case run_action::join:
        call.current_stage = inbound_call::stage::joined;
        joined_[key->text].push_back(call.id);
        return;
    case run_action::run:
        call.key = *key;
        runs_by_key_[key->text] = call.id;
        admit(call, at.now);
        return;
    }
}

void inbound_calls::admit(inbound_call& call, instant now)
{
    admission_entry entry;
    entry.id = call.id;
    entry.priority_rank = call.context.priority_rank;
    entry.flow = call.context.flow;
    entry.idempotent = call.context.idempotent;
    entry.deadline = call.deadline;
    entry.bytes = call.request->held_bytes();
    apply(admission_->offer(entry, now), now);
}

void inbound_calls::apply(const admission_result& result, instant now)
{
    for (const inbound_id id : result.preempted) {
        actions_.emplace_back(cancel_dispatch{id});
        end(id, outcome::unknown(outcome_reason::preempted), {}, now);
    }
    for (const shed_call& shed : result.shed) {
        end(shed.id, refused(shed.reason), {}, now);
    }
    for (const inbound_id id : result.dispatched) {
        const auto found = calls_.find(id);
        assert(found != calls_.end() && "the admission queue may run only open calls");
        dispatch(found->second, now);
    }
}

void inbound_calls::dispatch(inbound_call& call, instant now)
{
    call.current_stage = inbound_call::stage::running;
    call.dispatched_at = now;
    actions_.emplace_back(dispatch_call{call.id, call.request, format_call_token(call.id),
                                        call.context.target_identity, call.deadline - now,
                                        call.context.idempotent, !call.key.has_value()});
}

bool inbound_calls::announces_left_target(const target_announced& event) const
{
    return target_has_left_ && event.service == service_ && event.identity == identity_ &&
           event.target_incarnation == target_incarnation_;
}

void inbound_calls::on_announced(const target_announced& event, moment at)
{
    if (announces_left_target(event)) {
        return;
    }
    target_has_left_ = false;
    if (!admission_ || service_ != event.service) {
        admission_settings settings;
        settings.slots = event.slots;
        settings.memory_bytes = settings_.memory_bytes;
        settings.preemption = settings_.preemption;
        settings.adaptive = settings_.adaptive_limit;
        // No target remains for the calls of another service. Queued calls go first: the end of a
        // running call would dispatch them.
        refuse_queued_calls(outcome_reason::target_unreachable, at.now);
        while (!calls_.empty()) {
            abandon(calls_.begin()->second, outcome_reason::target_unreachable, at.now);
        }
        admission_.emplace(settings);
        service_ = event.service;
        target_incarnation_ = event.target_incarnation;
        announced_at_ = at.now;
    }
    if (target_incarnation_ != event.target_incarnation || identity_ != event.identity) {
        target_incarnation_ = event.target_incarnation;
        announced_at_ = at.now;
        // A target that started again has stated nothing.
        target_has_answered_ = false;
        admission_->set_rate_limit(std::nullopt, at.now);
    }
    identity_ = event.identity;
    warm_up_ = event.warm_up;
    lease_until_ = at.now + event.lease;
    admission_->set_slots(event.slots);
    draining_ = false;
    queue_closes_at_.reset();
    update_warm_up(at.now);
}

void inbound_calls::on_draining(instant now)
{
    if (!draining_) {
        queue_closes_at_ = now + queue_drain_time;
    }
    draining_ = true;
}

void inbound_calls::on_ending(instant now)
{
    draining_ = true;
    refuse_queued_calls(outcome_reason::draining, now);
}

void inbound_calls::on_records_handed_over(const records_handed_over& event)
{
    for (const auto& [key, record] : event.records) {
        registry_.import_record(key, record);
    }
    owned_buckets_.on_history_imported(event.home, event.bucket, event.epoch);
}

void inbound_calls::update_warm_up(instant now)
{
    if (!admission_) {
        return;
    }
    if (warm_up_ <= millis(0)) {
        admission_->set_warm_up_share(1.0);
        return;
    }
    const double age = static_cast<double>((now - announced_at_).count());
    const double share = age / static_cast<double>(warm_up_.count());
    admission_->set_warm_up_share(std::max(min_warm_up_share, share));
}

void inbound_calls::expire(moment at)
{
    while (!seen_expiry_.empty() && seen_expiry_.begin()->first <= at.now) {
        seen_attempts_.erase(seen_expiry_.begin()->second);
        seen_expiry_.erase(seen_expiry_.begin());
    }
    if (!admission_) {
        return;
    }
    update_warm_up(at.now);
    if (queue_closes_at_ && at.now >= *queue_closes_at_) {
        queue_closes_at_.reset();
        refuse_queued_calls(outcome_reason::draining, at.now);
    }
    apply(admission_->expire(at.now), at.now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= at.now) {
        time_out(calls_.at(deadlines_.begin()->second), at.now);
    }
    registry_.remove_expired(at.wall);
}

const inbound_call* inbound_calls::find_by_stream(exchange_id stream) const
{
    const auto found = by_stream_.find(stream);
    return found == by_stream_.end() ? nullptr : &calls_.at(found->second);
}

inbound_call* inbound_calls::find_running(inbound_id id)
{
    const auto found = calls_.find(id);
    const bool running =
        found != calls_.end() && found->second.current_stage == inbound_call::stage::running;
    return running ? &found->second : nullptr;
}

std::vector<inbound_id> inbound_calls::take_ended()
{
    std::vector<inbound_id> result;
    result.swap(ended_);
    return result;
}

} // namespace fescuedyke
