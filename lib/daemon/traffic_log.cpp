#include "fescuedyke/daemon/traffic_runtime.h"

#include <nlohmann/json.hpp>

/// \file
/// The log lines of the adapter of the node core about requests and targets.

namespace fescuedyke {

bool traffic_runtime::should_log(const std::string& id, decision_kind kind)
{
    return decision_log_.try_admit(id, kind, loop_.now().now);
}

void traffic_runtime::log_event(const node_event& event, instant now)
{
    if (const auto* call = std::get_if<peer_call>(&event)) {
        peer_request_ids_[call->stream] = dialect_.request_id(*call->request);
    }
    if (const auto* cancelled = std::get_if<peer_cancelled>(&event)) {
        log_cancelled(cancelled->stream, now);
        peer_request_ids_.erase(cancelled->stream);
    }
    if (const auto* disconnected = std::get_if<caller_disconnected>(&event)) {
        const auto found = open_requests_.find(disconnected->exchange);
        if (found == open_requests_.end()) {
            return;
        }
        if (decision_log_.try_admit(found->second.id, decision_kind::abnormal, now)) {
            decision_log_.write("caller-gone", found->second.id,
                                {{"after_ms", (now - found->second.received_at).count()}});
        }
        open_requests_.erase(found);
    }
}

void traffic_runtime::log_cancelled(exchange_id stream, instant now)
{
    const inbound_call* call = core_.inbound().find_by_stream(stream);
    const auto id = peer_request_ids_.find(stream);
    if (call == nullptr || id == peer_request_ids_.end()) {
        return;
    }
    const char* stage = to_string(call->current_stage);
    metrics_.on_cancelled(call->context.service, stage);
    if (should_log(id->second, decision_kind::abnormal)) {
        decision_log_.write("call-cancelled", id->second,
                            {{"stage", stage}, {"after_ms", (now - call->arrived_at).count()}});
    }
}

void traffic_runtime::log_sent(const send_call& action)
{
    const std::string id = dialect_.request_id(*action.request);
    const bool is_retry = action.context.attempt > 0;
    if (should_log(id, is_retry ? decision_kind::abnormal : decision_kind::routine)) {
        decision_log_.write(is_retry ? "sent-again" : "sent", id,
                            {{"service", action.context.service.value()},
                             {"to", action.instance.value()},
                             {"target", action.context.target_identity},
                             {"attempt", action.context.attempt},
                             {"time_left_ms", action.context.time_left.count()},
                             {"class", to_string(action.context.priority_rank.cls())},
                             {"configuration", core_.policies_version().value()}});
    }
}

void traffic_runtime::log_caller_answer(const answer_caller& action)
{
    const open_request& open = open_requests_.at(action.exchange);
    constexpr int min_error_status = 400;
    const bool succeeded =
        action.result.kind == outcome_kind::answered && action.response.status < min_error_status;
    if (should_log(open.id, succeeded ? decision_kind::routine : decision_kind::abnormal)) {
        decision_log_.write("answered", open.id,
                            {{"service", open.labels.service.value()},
                             {"outcome", to_string(action.result.kind)},
                             {"reason", to_string(action.result.reason)},
                             {"status", action.response.status},
                             {"took_ms", (loop_.now().now - open.received_at).count()}});
    }
}

void traffic_runtime::log_malformed_reply(const endpoint& peer, const absl::Status& error)
{
    if (should_log("", decision_kind::abnormal)) {
        decision_log_.write("malformed-peer-reply", "",
                            {{"peer", to_string(peer)}, {"message", std::string(error.message())}});
    }
}

void traffic_runtime::log_notice(const target_notice& notice)
{
    if (notice.rate_limit_malformed && should_log("", decision_kind::abnormal)) {
        decision_log_.write("target-limit-malformed", "",
                            {{"target", last_announcement_.identity}});
    }
    const bool limit_changed =
        notice.rate_limit != last_notice_.rate_limit && !notice.rate_limit_malformed;
    if (limit_changed && should_log("", decision_kind::abnormal)) {
        nlohmann::json details = {{"target", last_announcement_.identity}};
        if (notice.rate_limit) {
            details["per_second"] = calls_per_second(*notice.rate_limit);
        }
        decision_log_.write(notice.rate_limit ? "target-limit" : "target-limit-ended", "", details);
    }
    if (notice.leaving && !last_notice_.leaving && should_log("", decision_kind::abnormal)) {
        decision_log_.write("target-leaving", "", {{"target", last_announcement_.identity}});
    }
    last_notice_.leaving = notice.leaving;
    if (!notice.rate_limit_malformed) {
        last_notice_.rate_limit = notice.rate_limit;
    }
}

void traffic_runtime::log_failed_send(const http_request& request, const failed_send& failure)
{
    const std::string id = dialect_.request_id(request);
    if (should_log(id, decision_kind::abnormal)) {
        decision_log_.write("target-send-failed", id,
                            {{"target", last_announcement_.identity},
                             {"error", failure.error.message()},
                             {"received_bytes", failure.received_bytes}});
    }
}

void traffic_runtime::log_malformed_response(const http_request& request,
                                             const malformed_response& response)
{
    const std::string id = dialect_.request_id(request);
    if (should_log(id, decision_kind::abnormal)) {
        decision_log_.write("target-response-malformed", id,
                            {{"target", last_announcement_.identity},
                             {"error", response.error},
                             {"received_bytes", response.received_bytes}});
    }
}

void traffic_runtime::log_reply(const reply_call& action)
{
    const auto found = peer_request_ids_.find(std::get<exchange_id>(action.to));
    if (found == peer_request_ids_.end()) {
        return;
    }
    const bool succeeded = action.reply.result.kind == outcome_kind::answered;
    if (should_log(found->second, succeeded ? decision_kind::routine : decision_kind::abnormal)) {
        decision_log_.write("replied", found->second,
                            {{"outcome", to_string(action.reply.result.kind)},
                             {"reason", to_string(action.reply.result.reason)},
                             {"status", action.reply.response.status},
                             {"in_progress", action.reply.load.in_progress},
                             {"limit", action.reply.load.limit},
                             {"expected_ms", action.reply.load.expected_time.count()}});
    }
}

} // namespace fescuedyke
