#include "fescuedyke/node/inbound_calls.h"

#include <algorithm>
#include <cassert>
#include <cmath>

/// \file
/// The end of calls for the target beside a node.

namespace fescuedyke {

namespace {

bool is_fenced(const inbound_call& call, const outcome& result)
{
    if (result.kind != outcome_kind::not_run) {
        return false;
    }
    return call.key || call.current_stage == inbound_call::stage::joined ||
           result.reason == outcome_reason::key_fenced ||
           result.reason == outcome_reason::key_from_future;
}

} // namespace

load_report inbound_calls::report_load(const inbound_call& call, instant now) const
{
    const flow_id flow = call.context.flow;
    load_report report;
    if (admission_) {
        report = admission_->report(now);
    }
    report.target_leaving = target_has_left_;
    report.time_at_node = now - call.arrived_at;
    if (const auto times = service_times_.find(flow); times != service_times_.end()) {
        report.flow_time = millis(std::llround(times->second.mean()));
        report.flow_deviation = millis(std::llround(times->second.deviation()));
    }
    for (const service_name& service : dependencies_.services(flow, now)) {
        report.chain_level = std::min(report.chain_level, chooser_.chain_level(service, flow, now));
        report.hops_below =
            std::max(report.hops_below, 1 + dependencies_.hops_below(flow, service, 0));
    }
    return report;
}

void inbound_calls::reply(const inbound_call& call, const outcome& result,
                          const http_response& response, instant now)
{
    if (std::holds_alternative<std::monostate>(call.reply_to)) {
        return;
    }
    call_reply reply;
    reply.result = result;
    reply.fenced = is_fenced(call, result);
    reply.response = response;
    reply.unused_retries = call.allowance.left();
    reply.load = report_load(call, now);
    actions_.emplace_back(reply_call{call.reply_to, std::move(reply)});
}

void inbound_calls::end(inbound_id id, const outcome& result, const http_response& response,
                        instant now)
{
    const auto found = calls_.find(id);
    assert(found != calls_.end() && "a call must end exactly once");
    const inbound_call call = std::move(found->second);
    calls_.erase(found);
    deadlines_.erase({call.deadline, id});
    if (const auto* stream = std::get_if<exchange_id>(&call.reply_to)) {
        by_stream_.erase(*stream);
    }
    if (const auto* attempt = std::get_if<local_attempt>(&call.reply_to)) {
        by_attempt_.erase({attempt->call, attempt->attempt});
    }
    accounts_.on_ended(call.row_key, result);
    reply(call, result, response, now);
    ended_.push_back(id);
    if (!call.key) {
        return;
    }
    runs_by_key_.erase(call.key->text);
    record_key_result(*call.key, result, response);
    if (result.kind == outcome_kind::unknown) {
        accounts_.on_unknown_outcome(
            {call.row_key, call.key->text, result.reason, call.key->created});
    }
    end_joined(call.key->text, result, response, now);
}

void inbound_calls::record_key_result(const idempotency_key& key, const outcome& result,
                                      const http_response& response)
{
    switch (result.kind) {
    case outcome_kind::answered:
        registry_.on_answered(key, response);
        return;
    case outcome_kind::not_run:
        registry_.on_not_run(key);
        return;
    case outcome_kind::unknown:
        registry_.on_unknown(key);
        return;
    }
}

void inbound_calls::end_joined(const std::string& key, const outcome& result,
                               const http_response& response, instant now)
{
    const auto found = joined_.find(key);
    if (found == joined_.end()) {
        return;
    }
    const std::vector<inbound_id> waiting = std::move(found->second);
    joined_.erase(found);
    for (const inbound_id id : waiting) {
        end(id, result, response, now);
    }
}

void inbound_calls::abandon(inbound_call& call, outcome_reason reason, instant now)
{
    const inbound_id id = call.id;
    switch (call.current_stage) {
    case inbound_call::stage::queued:
        admission_->remove_queued(id);
        end(id, outcome::not_run(reason), {}, now);
        return;
    case inbound_call::stage::running: {
        actions_.emplace_back(cancel_dispatch{id});
        // The call would have taken longer, which is known only if it was slower than usual so far.
        moving_estimate& times = find_or_add(service_times_, call.context.flow);
        const auto elapsed = static_cast<double>((now - call.dispatched_at).count());
        if (times.empty() || elapsed > times.mean()) {
            times.add(elapsed);
        }
        const admission_result next = admission_->finish(id, false, millis(0), now);
        end(id, outcome::unknown(reason), {}, now);
        apply(next, now);
        return;
    }
    case inbound_call::stage::joined: {
        std::vector<inbound_id>& waiting = joined_[call.context.key];
        waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
        end(id, outcome::unknown(reason), {}, now);
        return;
    }
    }
}

void inbound_calls::on_cancelled(const reply_address& reply_to, moment at)
{
    inbound_id id;
    if (const auto* stream = std::get_if<exchange_id>(&reply_to)) {
        const auto found = by_stream_.find(*stream);
        id = found == by_stream_.end() ? id : found->second;
    }
    if (const auto* attempt = std::get_if<local_attempt>(&reply_to)) {
        const auto found = by_attempt_.find({attempt->call, attempt->attempt});
        id = found == by_attempt_.end() ? id : found->second;
    }
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    inbound_call& call = found->second;
    const bool running_with_key = call.key && call.current_stage == inbound_call::stage::running;
    const bool others_joined = call.key && joined_.count(call.key->text) != 0;
    if (!running_with_key && !others_joined) {
        abandon(call, outcome_reason::cancelled, at.now);
        return;
    }
    // The call continues to run, so that its response can be replayed to a resend and the account
    // records its actual result.
    detach_caller(call);
}

void inbound_calls::detach_caller(inbound_call& call)
{
    if (const auto* stream = std::get_if<exchange_id>(&call.reply_to)) {
        by_stream_.erase(*stream);
    }
    if (const auto* attempt = std::get_if<local_attempt>(&call.reply_to)) {
        by_attempt_.erase({attempt->call, attempt->attempt});
    }
    call.reply_to = std::monostate{};
}

void inbound_calls::on_answered(const target_answered& event, moment at)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end() || found->second.current_stage != inbound_call::stage::running) {
        return;
    }
    on_notice(event.notice, found->second, at.now);
    const bool shed = event.not_run;
    const millis service_time = at.now - found->second.dispatched_at;
    const admission_result next = shed ? admission_->finish_refused(event.call, at.now)
                                       : admission_->finish(event.call, true, service_time, at.now);
    if (shed) {
        end(event.call, outcome::not_run(outcome_reason::target_shed), {}, at.now);
    }
    else {
        const inbound_call& call = found->second;
        find_or_add(service_times_, call.context.flow)
            .add(static_cast<double>(service_time.count()));
        end(event.call, outcome::answered(), event.response, at.now);
    }
    apply(next, at.now);
}

void inbound_calls::on_notice(const target_notice& notice, const inbound_call& call, instant now)
{
    const bool of_earlier_start = call.dispatched_at < announced_at_;
    if (of_earlier_start) {
        return;
    }
    target_has_answered_ = true;
    if (notice.leaving) {
        target_has_left_ = true;
        on_draining(now);
    }
    if (notice.rate_limit_malformed && !notice.rate_limit) {
        return;
    }
    const std::optional<call_rate> current = admission_->rate_limit();
    // Responses may arrive in another order than the target sent them. One to a call that was
    // dispatched after the limit was learned is later than the limit.
    const bool relaxes = current && (!notice.rate_limit || *notice.rate_limit > *current);
    if (notice.rate_limit == current || (relaxes && call.dispatched_at <= rate_limit_learned_at_)) {
        return;
    }
    rate_limit_learned_at_ = now;
    admission_->set_rate_limit(notice.rate_limit, now);
}

void inbound_calls::on_failed(const target_failed& event, moment at)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end() || found->second.current_stage != inbound_call::stage::running) {
        return;
    }
    const admission_result next = admission_->finish(event.call, false, millis(0), at.now);
    switch (event.failure) {
    case target_failure::never_sent:
        end(event.call, outcome::not_run(outcome_reason::target_unreachable), {}, at.now);
        break;
    case target_failure::connection_lost:
        end(event.call, outcome::unknown(outcome_reason::connection_lost), {}, at.now);
        break;
    case target_failure::truncated:
        end(event.call, outcome::unknown(outcome_reason::truncated), {}, at.now);
        break;
    }
    apply(next, at.now);
}

void inbound_calls::on_resent(const target_call_resent& event, instant now)
{
    const auto found = calls_.find(event.call);
    const bool running =
        found != calls_.end() && found->second.current_stage == inbound_call::stage::running;
    if (running) {
        admission_->on_resent(now);
    }
}

void inbound_calls::refuse_queued_calls(outcome_reason reason, instant now)
{
    std::vector<inbound_id> queued;
    for (const auto& [id, call] : calls_) {
        if (call.current_stage == inbound_call::stage::queued) {
            queued.push_back(id);
        }
    }
    for (const inbound_id id : queued) {
        abandon(calls_.at(id), reason, now);
    }
}

void inbound_calls::time_out(inbound_call& call, instant now)
{
    const bool running_with_key = call.key && call.current_stage == inbound_call::stage::running;
    const bool has_caller = !std::holds_alternative<std::monostate>(call.reply_to);
    if (!running_with_key || !has_caller) {
        abandon(call, outcome_reason::timed_out, now);
        return;
    }
    reply(call, outcome::unknown(outcome_reason::timed_out), {}, now);
    detach_caller(call);
    deadlines_.erase({call.deadline, call.id});
    call.deadline = now + settings_.run_grace_period;
    deadlines_.insert({call.deadline, call.id});
}

} // namespace fescuedyke
