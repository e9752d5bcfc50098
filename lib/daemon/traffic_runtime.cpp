#include "fescuedyke/daemon/traffic_runtime.h"

#include "fescuedyke/codec/call_codec.h"
#include "fescuedyke/daemon/handover_codec.h"
#include "fescuedyke/daemon/outcome_http.h"
#include "fescuedyke/daemon/state_json.h"
#include "fescuedyke/logging/json_log.h"
#include "fescuedyke/node/caller_headers.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fescuedyke {

namespace {

constexpr millis tick_period{10};

/// The same while no call is open.
constexpr millis idle_tick_period{50};
constexpr millis account_period{1000};

/// A node with nothing new still reports this often, so that it does not show as a gap.
constexpr millis quiet_account_period{3000};
constexpr const char* call_path = "/call";

nlohmann::json summary_json(const time_summary& summary)
{
    return {{"count", summary.count()},
            {"mean_ms", summary.mean()},
            {"p50_ms", summary.median()},
            {"p99_ms", summary.percentile_99()},
            {"max_ms", summary.max()}};
}

} // namespace

traffic_runtime::traffic_runtime(const node_settings& settings, event_loop& loop, http_server& http,
                                 const edge_dialect& dialect, random_source& random,
                                 metric_registry& metrics, traffic_listeners listeners)
    : settings_(settings), loop_(loop), http_(http), dialect_(dialect),
      listeners_(std::move(listeners)), core_(settings, random), peers_(loop),
      server_(loop, {[this](peer_stream_id stream, const std::string& path, const h2_message& m) {
                         on_peer_request(stream, path, m);
                     },
                     [this](peer_stream_id stream) {
                         handle(peer_cancelled{exchange_id(stream.value())});
                     },
                     [this](std::uint64_t bytes) {
                         const auto& admission = core_.inbound().admission();
                         const std::uint64_t held = admission ? admission->bytes_held() : 0;
                         return held + bytes <= settings_.memory_bytes;
                     }}),
      target_(loop), metrics_(metrics),
      decisions_({}, [](const std::string& event, const nlohmann::json& details) {
          write_log(log_level::info, event, details);
      })
{
}

traffic_runtime::~traffic_runtime() = default;

absl::Status traffic_runtime::start()
{
    if (absl::Status listening = server_.listen(settings_.address); !listening.ok()) {
        return listening;
    }
    publish_record();
    loop_.after(tick_period, [this] { on_tick(); });
    return absl::OkStatus();
}

void traffic_runtime::handle(const node_event& event)
{
    ++events_handled_;
    const moment at = loop_.now();
    note_times(event, at.now);
    log_event(event, at.now);
    carry_out(core_.handle(event, at));
}

void traffic_runtime::note_times(const node_event& event, instant now)
{
    if (const auto* request = std::get_if<caller_request>(&event)) {
        call_labels labels{request->service, "", ""};
        if (request->route) {
            labels.route = request->route->governing.name;
            labels.priority = to_string(request->route->governing.cls);
        }
        callers_since_[request->exchange] = {now, dialect_.request_id(*request->request),
                                             std::move(labels)};
    }
    if (const auto* answered = std::get_if<target_answered>(&event)) {
        const auto found = dispatched_since_.find(answered->call);
        if (found != dispatched_since_.end()) {
            target_times_.add(now - found->second);
            metrics_.on_target_answered(target_info_.service, now - found->second);
            dispatched_since_.erase(found);
        }
    }
    if (const auto* failed = std::get_if<target_failed>(&event)) {
        dispatched_since_.erase(failed->call);
    }
}

void traffic_runtime::on_announced(const target_announced& event, const endpoint& address)
{
    target_address_ = address;
    target_info_ = event;
    handle(event);
    publish_record();
}

void traffic_runtime::on_reported(const target_report& report, millis lease)
{
    target_announced event;
    event.service = report.service;
    event.identity = report.identity;
    event.target_incarnation = report.started;
    event.slots = report.slots;
    event.lease = lease;
    event.warm_up = report.warm_up;
    on_announced(event, report.address);
}

void traffic_runtime::on_tick()
{
    loop_.after(core_.idle() ? idle_tick_period : tick_period, [this] { on_tick(); });
    handle(tick{});
    const moment at = loop_.now();
    if (core_.inbound().ready(at.now) != target_was_ready_) {
        publish_record();
    }
    if (at.now - last_account_ >= account_period) {
        last_account_ = at.now;
        note_gauges();
        publish_account_if_due(at.now);
    }
    check_stopped();
}

void traffic_runtime::note_gauges()
{
    traffic_gauges gauges;
    gauges.open_outbound = core_.outbound().open_calls();
    gauges.open_inbound = core_.inbound().open_calls();
    gauges.peer_connections = peers_.connections();
    gauges.target_connections_made = target_.connections_made();
    gauges.decision_lines_suppressed = decisions_.suppressed();
    gauges.log_lines_dropped = log_lines_dropped();
    gauges.body_bytes_held = http_.held_bytes();
    gauges.target_ready = target_was_ready_;
    metrics_.note(gauges);
}

void traffic_runtime::publish_record()
{
    const inbound_calls& inbound = core_.inbound();
    target_was_ready_ = inbound.ready(loop_.now().now);
    std::optional<target_announcement> target;
    if (inbound.has_target()) {
        const target_state state = target_was_ready_ ? target_state::ready : target_state::draining;
        target = target_announcement{target_info_.service, target_info_.identity,
                                     target_info_.labels, target_info_.slots, state};
    }
    const incarnation present = core_.owned().self_incarnation();
    const bool known = record_.sequence > 0 && record_.node_incarnation == present;
    if (known && record_.target == target) {
        return;
    }
    record_.sequence = known ? record_.sequence + 1 : 1;
    record_.instance = settings_.self;
    record_.node_incarnation = present;
    record_.address = settings_.address;
    record_.place = settings_.place;
    record_.owner = settings_.owner;
    record_.target = std::move(target);
    listeners_.on_record(record_, target_was_ready_);
}

void traffic_runtime::publish_account_if_due(instant now)
{
    const bool changed = core_.accounts().revision() != told_revision_;
    if (changed || now - told_account_ >= quiet_account_period) {
        told_revision_ = core_.accounts().revision();
        told_account_ = now;
        publish_account();
    }
}

void traffic_runtime::publish_account()
{
    account_report report;
    report.instance = settings_.self;
    report.node_incarnation = settings_.self_incarnation;
    report.owner = settings_.owner;
    report.sequence = ++account_sequence_;
    report.reported_at = loop_.now().wall;
    report.rows = core_.accounts().rows();
    const auto& keys = core_.accounts().unknown_outcomes();
    report.unknown_keys.assign(keys.begin(), keys.end());
    listeners_.on_account(report);
}

void traffic_runtime::stop(millis limit, std::function<void()> done)
{
    on_stopped_ = std::move(done);
    stop_by_ = loop_.now().now + limit;
    handle(node_stopping{});
    publish_record();
}

void traffic_runtime::check_stopped()
{
    if (!on_stopped_) {
        return;
    }
    const bool busy = !core_.idle() || core_.hands_over();
    if (busy && loop_.now().now < stop_by_) {
        return;
    }
    if (!core_.idle()) {
        write_log(log_level::warning, "drain-limit-reached",
                  {{"inbound", core_.inbound().open_calls()},
                   {"outbound", core_.outbound().open_calls()}});
    }
    publish_account();
    std::exchange(on_stopped_, nullptr)();
}

void traffic_runtime::shut_down()
{
    server_.shut_down();
}

nlohmann::json traffic_runtime::state() const
{
    nlohmann::json json = node_state_json(core_, loop_.now().now);
    json["events"] = events_handled_;
    json["call_times"] = summary_json(call_times_);
    json["target_times"] = summary_json(target_times_);
    json["peer_connections"] = peers_.connections();
    return json;
}

void traffic_runtime::on_peer_request(peer_stream_id stream, const std::string& path,
                                      const h2_message& message)
{
    if (path == handover_path) {
        absl::StatusOr<records_handed_over> records = decode_handover(message.bytes);
        if (records.ok()) {
            handle(*records);
        }
        server_.respond(stream, {});
        return;
    }
    absl::StatusOr<decoded_call> call = decode_call(message.bytes);
    if (path != call_path || !call.ok()) {
        write_log(log_level::warning, "malformed-peer-request", {{"path", path}});
        call_reply refusal;
        refusal.result = outcome::not_run(outcome_reason::bad_request);
        server_.respond(stream, {encode_reply_head(refusal), nullptr});
        return;
    }
    call->request.body_stream = message.flow;
    handle(peer_call{exchange_id(stream.value()), std::move(call->context),
                     std::make_shared<http_request>(std::move(call->request))});
}

bool traffic_runtime::logs(const std::string& request, decision_kind kind)
{
    return decisions_.takes(request, kind, loop_.now().now);
}

void traffic_runtime::log_event(const node_event& event, instant now)
{
    if (const auto* call = std::get_if<peer_call>(&event)) {
        peers_requests_[call->stream] = dialect_.request_id(*call->request);
    }
    if (const auto* gone = std::get_if<peer_cancelled>(&event)) {
        peers_requests_.erase(gone->stream);
    }
    if (const auto* gone = std::get_if<caller_gone>(&event)) {
        const auto found = callers_since_.find(gone->exchange);
        if (found == callers_since_.end()) {
            return;
        }
        if (decisions_.takes(found->second.id, decision_kind::trouble, now)) {
            decisions_.write("caller-gone", found->second.id,
                             {{"after_ms", (now - found->second.since).count()}});
        }
        callers_since_.erase(found);
    }
}

void traffic_runtime::log_sent(const send_call& action)
{
    const std::string id = dialect_.request_id(*action.request);
    const bool again = action.context.attempt > 0;
    if (logs(id, again ? decision_kind::trouble : decision_kind::usual)) {
        decisions_.write(again ? "sent-again" : "sent", id,
                         {{"service", action.context.service.value()},
                          {"to", action.instance.value()},
                          {"target", action.context.target},
                          {"attempt", action.context.attempt},
                          {"time_left_ms", action.context.time_left.count()},
                          {"class", to_string(action.context.priority_rank.cls())},
                          {"configuration", core_.policies_version().value()}});
    }
}

void traffic_runtime::log_answer(const answer_caller& action)
{
    const open_request& open = callers_since_.at(action.exchange);
    constexpr int least_failure_status = 400;
    const bool good =
        action.result.kind == outcome_kind::answered && action.answer.status < least_failure_status;
    if (logs(open.id, good ? decision_kind::usual : decision_kind::trouble)) {
        decisions_.write("answered", open.id,
                         {{"service", open.labels.service.value()},
                          {"outcome", to_string(action.result.kind)},
                          {"reason", to_string(action.result.reason)},
                          {"status", action.answer.status},
                          {"took_ms", (loop_.now().now - open.since).count()}});
    }
}

void traffic_runtime::log_reply(const reply_call& action)
{
    const auto found = peers_requests_.find(std::get<exchange_id>(action.to));
    if (found == peers_requests_.end()) {
        return;
    }
    const bool good = action.reply.result.kind == outcome_kind::answered;
    if (logs(found->second, good ? decision_kind::usual : decision_kind::trouble)) {
        decisions_.write("replied", found->second,
                         {{"outcome", to_string(action.reply.result.kind)},
                          {"reason", to_string(action.reply.result.reason)},
                          {"status", action.reply.response.status},
                          {"in_progress", action.reply.load.in_progress},
                          {"limit", action.reply.load.limit},
                          {"expected_ms", action.reply.load.expected_time.count()}});
    }
}

void traffic_runtime::carry_out(const node_actions& actions)
{
    for (const node_action& action : actions) {
        std::visit([this](const auto& a) { carry_out(a); }, action);
    }
}

void traffic_runtime::carry_out(const answer_caller& action)
{
    const auto since = callers_since_.find(action.exchange);
    if (since != callers_since_.end()) {
        const millis took = loop_.now().now - since->second.since;
        call_times_.add(took);
        metrics_.on_answered(since->second.labels, action.result, action.answer.status, took);
        log_answer(action);
        callers_since_.erase(since);
    }
    http_.answer(action.exchange, dialect_.to_caller(action.result, action.answer));
}

void traffic_runtime::carry_out(const send_call& action)
{
    log_sent(action);
    metrics_.on_sent(action.context.service, action.context.attempt > 0);
    const call_id call = action.context.call;
    const int attempt = action.context.attempt;
    frame body{encode_call_head(action.context, *action.request), action.request->body,
               action.request->body_stream};
    const peer_request_id request =
        peers_.send(action.address, call_path, std::move(body), [=](peer_result result) {
            attempts_.erase({call, attempt});
            if (const auto* failure = std::get_if<stream_failure>(&result)) {
                const bool never = *failure == stream_failure::never_processed;
                handle(peer_failed{call, attempt,
                                   never ? peer_failure::never_processed : peer_failure::lost});
                return;
            }
            const auto& message = std::get<h2_message>(result);
            absl::StatusOr<call_reply> reply = decode_reply(message.bytes);
            if (!reply.ok()) {
                handle(peer_failed{call, attempt, peer_failure::lost});
                return;
            }
            reply->response.body_stream = message.flow;
            handle(peer_reply{call, attempt, std::move(*reply)});
        });
    attempts_[{call, attempt}] = request;
}

void traffic_runtime::carry_out(const cancel_call& action)
{
    const auto found = attempts_.find({action.call, action.attempt});
    if (found != attempts_.end()) {
        peers_.cancel(found->second);
        attempts_.erase(found);
    }
}

void traffic_runtime::carry_out(const dispatch_call& action)
{
    target_request request = dialect_.to_target(action);
    request.address = target_address_;
    const inbound_id call = action.call;
    dispatched_since_[call] = loop_.now().now;
    target_.send(call.value(), request, [this, call](target_result result) {
        if (auto* answer = std::get_if<http_response>(&result)) {
            const bool not_run = dialect_.says_not_run(*answer);
            handle(target_answered{call, std::move(*answer), not_run});
            return;
        }
        handle(target_failed{call, std::get<target_failure>(result)});
    });
}

void traffic_runtime::carry_out(const cancel_dispatch& action)
{
    dispatched_since_.erase(action.call);
    target_.cancel(action.call.value());
}

void traffic_runtime::carry_out(const reply_call& action)
{
    if (const auto* stream = std::get_if<exchange_id>(&action.to)) {
        log_reply(action);
        metrics_.on_replied(target_info_.service, action.reply.result);
        peers_requests_.erase(*stream);
        server_.respond(peer_stream_id(stream->value()),
                        {encode_reply_head(action.reply), action.reply.response.body,
                         action.reply.response.body_stream});
    }
}

void traffic_runtime::carry_out(const hand_over_records& action)
{
    peers_.send(action.address, handover_path, {encode_handover(action.records), nullptr},
                [](const peer_result&) {});
}

} // namespace fescuedyke
