#include "fescuedyke/daemon/traffic_runtime.h"

#include "fescuedyke/codec/call_codec.h"
#include "fescuedyke/daemon/handover_codec.h"
#include "fescuedyke/daemon/outcome_http.h"
#include "fescuedyke/daemon/state_json.h"
#include "fescuedyke/logging/json_log.h"
#include "fescuedyke/node/caller_headers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescuedyke {

namespace {

constexpr millis tick_period{10};

/// Tick period while no call is open.
constexpr millis idle_tick_period{50};

/// How often the gauges are updated and the account is checked for changes.
constexpr millis account_check_period{1000};

/// An unchanged account is reported this often, so that the reports of an idle node have no gap.
constexpr millis max_account_report_interval{3000};

/// Path of calls between nodes.
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
                                 const http_dialect& dialect, random_source& random,
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
                     },
                     [](const std::string& path) { return path == call_path; }}),
      target_(loop), metrics_(metrics),
      decision_log_({},
                    [](const std::string& event, const nlohmann::json& details) {
                        write_log(log_level::info, event, details);
                    }),
      shutdown_(make_shutdown_steps())
{
}

traffic_runtime::~traffic_runtime() = default;

absl::Status traffic_runtime::start()
{
    if (absl::Status listening = server_.listen(settings_.address); !listening.ok()) {
        return listening;
    }
    publish_record();
    loop_.run_after(tick_period, [this] { on_tick(); });
    return absl::OkStatus();
}

void traffic_runtime::handle(const node_event& event)
{
    ++events_handled_;
    const moment at = loop_.now();
    record_times(event, at.now);
    log_event(event, at.now);
    execute(core_.handle(event, at));
}

void traffic_runtime::execute(node_actions actions)
{
    // An action may lead to further events, for example if a write fails. Their actions follow
    // those decided before: a cancellation must not overtake the call that it cancels.
    std::move(actions.begin(), actions.end(), std::back_inserter(pending_actions_));
    if (std::exchange(executing_, true)) {
        return;
    }
    while (!pending_actions_.empty()) {
        const node_action action = std::move(pending_actions_.front());
        pending_actions_.pop_front();
        std::visit([this](const auto& a) { execute(a); }, action);
    }
    executing_ = false;
}

void traffic_runtime::record_times(const node_event& event, instant now)
{
    if (const auto* request = std::get_if<caller_request>(&event)) {
        call_labels labels{request->service, "", ""};
        if (request->route) {
            labels.route = request->route->effective_policy.name;
            labels.priority = to_string(request->route->effective_policy.cls);
        }
        open_requests_[request->exchange] = {now, dialect_.request_id(*request->request),
                                             std::move(labels)};
    }
    if (const auto* answered = std::get_if<target_answered>(&event)) {
        const auto found = dispatched_at_.find(answered->call);
        if (found != dispatched_at_.end()) {
            target_times_.add(now - found->second);
            metrics_.on_target_answered(last_announcement_.service, now - found->second);
            dispatched_at_.erase(found);
        }
    }
    if (const auto* failed = std::get_if<target_failed>(&event)) {
        dispatched_at_.erase(failed->call);
    }
}

void traffic_runtime::on_target_announced(const target_announced& event, const endpoint& address)
{
    target_address_ = address;
    last_announcement_ = event;
    handle(event);
    publish_record();
}

void traffic_runtime::on_target_report(const target_report& report, millis lease)
{
    target_announced event;
    event.service = report.service;
    event.identity = report.identity;
    event.target_incarnation = report.started_at_ms;
    event.slots = report.slots;
    event.lease = lease;
    event.warm_up = report.warm_up;
    on_target_announced(event, report.address);
}

void traffic_runtime::on_tick()
{
    loop_.run_after(core_.idle() ? idle_tick_period : tick_period, [this] { on_tick(); });
    handle(tick{});
    const moment at = loop_.now();
    refuse_held_calls(at.now);
    if (core_.inbound().ready(at.now) != published_ready_) {
        publish_record();
    }
    if (at.now - account_checked_at_ >= account_check_period) {
        account_checked_at_ = at.now;
        update_gauges();
        publish_account_report_if_due(at.now);
    }
    shutdown_.advance(at.now);
}

void traffic_runtime::update_gauges()
{
    traffic_gauges gauges;
    gauges.open_outbound = core_.outbound().open_calls();
    gauges.open_inbound = core_.inbound().open_calls();
    gauges.peer_connections = peers_.connections();
    gauges.target_connections_made = target_.connections_made();
    gauges.failed_accepts = http_.failed_accepts() + server_.failed_accepts();
    gauges.decision_lines_suppressed = decision_log_.suppressed();
    gauges.log_lines_dropped = log_lines_dropped();
    gauges.body_bytes_held = http_.buffered_bytes();
    gauges.peer_output_bytes = server_.output_memory();
    gauges.target_ready = published_ready_;
    metrics_.set_gauges(gauges);
}

void traffic_runtime::publish_record()
{
    const inbound_calls& inbound = core_.inbound();
    published_ready_ = inbound.ready(loop_.now().now);
    std::optional<target_announcement> target;
    if (inbound.has_target()) {
        const target_state state = published_ready_ ? target_state::ready : target_state::draining;
        target = target_announcement{last_announcement_.service,
                                     last_announcement_.identity,
                                     last_announcement_.target_incarnation,
                                     last_announcement_.labels,
                                     last_announcement_.slots,
                                     state};
    }
    const incarnation node_incarnation = core_.owned_buckets().self_incarnation();
    const bool same_incarnation =
        record_.sequence > 0 && record_.node_incarnation == node_incarnation;
    if (same_incarnation && record_.target == target) {
        return;
    }
    record_.sequence = same_incarnation ? record_.sequence + 1 : 1;
    record_.instance = settings_.self;
    record_.node_incarnation = node_incarnation;
    record_.address = settings_.address;
    record_.location = settings_.location;
    record_.owner = settings_.owner;
    record_.target = std::move(target);
    listeners_.on_record(record_, published_ready_);
}

void traffic_runtime::publish_account_report_if_due(instant now)
{
    const bool changed = core_.accounts().revision() != published_revision_;
    if (changed || now - account_published_at_ >= max_account_report_interval) {
        published_revision_ = core_.accounts().revision();
        account_published_at_ = now;
        publish_account_report();
    }
}

void traffic_runtime::publish_account_report()
{
    account_report report;
    report.instance = settings_.self;
    report.node_incarnation = settings_.self_incarnation;
    report.owner = settings_.owner;
    report.sequence = ++report_sequence_;
    report.reported_at = loop_.now().wall;
    report.rows = core_.accounts().rows();
    const auto& unknown_outcomes = core_.accounts().unknown_outcomes();
    report.unknown_keys.assign(unknown_outcomes.begin(), unknown_outcomes.end());
    listeners_.on_account_report(report);
}

void traffic_runtime::on_connection_cut(const cut_connection& cut)
{
    metrics_.on_connection_cut(cut);
    // The line is about a connection and not about one request.
    const std::string no_request;
    if (should_log(no_request, decision_kind::abnormal)) {
        decision_log_.write("connection-cut", no_request,
                            {{"reason", to_string(cut.reason)},
                             {"open_requests", cut.open_requests},
                             {"unsent_responses", cut.unsent_responses},
                             {"dropped_requests", cut.dropped_requests},
                             {"unparsed_bytes", cut.unparsed_bytes}});
    }
}

void traffic_runtime::log_open_work(const std::string& event) const
{
    write_log(log_level::info, event,
              {{"open_requests", http_.open_exchanges()},
               {"connections_with_unsent_bytes", http_.connections_with_unsent_bytes()},
               {"inbound", core_.inbound().open_calls()},
               {"outbound", core_.outbound().open_calls()},
               {"peer_streams", server_.open_streams()},
               {"peers_with_unsent_bytes", server_.connections_with_unsent_bytes()}});
}

void traffic_runtime::stop(const shutdown_limits& limits, stop_listener listener)
{
    stop_listener_ = std::move(listener);
    http_.begin_drain();
    handle(node_stopping{});
    publish_record();
    shutdown_.begin(limits, loop_.now().now);
}

shutdown_steps traffic_runtime::make_shutdown_steps()
{
    shutdown_steps steps;
    steps.refuse_requests = [this] { handle(node_refusing{}); };
    steps.has_open_requests = [this] { return has_open_requests(); };
    steps.begin_end = [this] { begin_end(); };
    steps.may_end = [this] {
        // Other nodes close their connections once they know that this one is shutting down.
        return http_.idle() && server_.connections() == 0 &&
               (!stop_listener_.may_end || stop_listener_.may_end());
    };
    steps.end = [this] { stop_listener_.on_ended(); };
    return steps;
}

bool traffic_runtime::has_open_requests() const
{
    return !core_.idle() || core_.has_pending_handover() || http_.has_open_requests() ||
           !server_.idle();
}

void traffic_runtime::begin_end()
{
    log_open_work(has_open_requests() ? "drain-limit-reached" : "drained");
    handle(node_ending{});
    server_.shut_down();
    http_.close_idle();
    publish_account_report();
    if (stop_listener_.on_drained) {
        stop_listener_.on_drained();
    }
}

nlohmann::json traffic_runtime::state() const
{
    nlohmann::json result = node_state_json(core_, loop_.now().now);
    result["events"] = events_handled_;
    result["call_times"] = summary_json(call_times_);
    result["target_times"] = summary_json(target_times_);
    result["peer_connections"] = peers_.connections();
    return result;
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
    call->request.body_stream = message.body_stream;
    handle(peer_call{exchange_id(stream.value()), std::move(call->context),
                     std::make_shared<http_request>(std::move(call->request))});
}

void traffic_runtime::execute(const answer_caller& action)
{
    const auto found = open_requests_.find(action.exchange);
    if (found != open_requests_.end()) {
        const millis duration = loop_.now().now - found->second.received_at;
        call_times_.add(duration);
        metrics_.on_answered(found->second.labels, action.result, action.response.status, duration);
        log_caller_answer(action);
        open_requests_.erase(found);
    }
    http_.respond(action.exchange, dialect_.to_caller(action.result, action.response));
}

void traffic_runtime::execute(const send_call& action)
{
    log_sent(action);
    metrics_.on_sent(action.context.service, action.context.attempt > 0);
    const call_id call = action.context.call;
    const int attempt = action.context.attempt;
    h2_outgoing_message outgoing{encode_call_head(action.context, *action.request),
                                 action.request->body, action.request->body_stream};
    const endpoint address = action.address;
    const peer_request_id request =
        peers_.send(address, call_path, std::move(outgoing), [=](peer_result result) {
            open_attempts_.erase({call, attempt});
            if (const auto* failure = std::get_if<stream_failure>(&result)) {
                const bool never_processed = *failure == stream_failure::never_processed;
                handle(peer_failed{call, attempt,
                                   never_processed ? peer_failure::never_processed
                                                   : peer_failure::connection_lost});
                return;
            }
            const auto& message = std::get<h2_message>(result);
            absl::StatusOr<call_reply> reply = decode_reply(message.bytes);
            if (!reply.ok()) {
                log_malformed_reply(address, reply.status());
                handle(peer_failed{call, attempt, peer_failure::connection_lost});
                return;
            }
            reply->response.body_stream = message.body_stream;
            handle(peer_reply{call, attempt, std::move(*reply)});
        });
    open_attempts_[{call, attempt}] = request;
}

void traffic_runtime::execute(const cancel_call& action)
{
    const auto found = open_attempts_.find({action.call, action.attempt});
    if (found != open_attempts_.end()) {
        peers_.cancel(found->second);
        open_attempts_.erase(found);
    }
}

void traffic_runtime::release_target()
{
    for (const dispatch_call& call : dispatch_hold_.end(loop_.now().now)) {
        send_to_target(call);
    }
}

void traffic_runtime::refuse_held_calls(instant now)
{
    for (const inbound_id call : dispatch_hold_.take_expired(now)) {
        handle(target_failed{call, target_failure::never_sent});
    }
}

void traffic_runtime::execute(const dispatch_call& action)
{
    if (!dispatch_hold_.try_hold(action, loop_.now().now)) {
        send_to_target(action);
    }
}

void traffic_runtime::send_to_target(const dispatch_call& action)
{
    target_request request = dialect_.to_target(action);
    request.address = target_address_;
    request.time_left = action.time_left;
    const inbound_id call = action.call;
    request.on_resent = [this, call] { handle(target_call_resent{call}); };
    dispatched_at_[call] = loop_.now().now;
    request.on_failed_send = [this, sent = action.request](const failed_send& failure) {
        log_failed_send(*sent, failure);
    };
    request.on_malformed_response = [this, sent = action.request](const malformed_response& r) {
        log_malformed_response(*sent, r);
    };
    target_.send(call.value(), request, [this, call](target_result result) {
        if (auto* response = std::get_if<http_response>(&result)) {
            const bool not_run = dialect_.reports_not_run(*response);
            const target_notice notice = dialect_.notice_of(*response);
            log_notice(notice);
            handle(target_answered{call, std::move(*response), not_run, notice});
            return;
        }
        handle(target_failed{call, std::get<target_failure>(result)});
    });
}

void traffic_runtime::execute(const cancel_dispatch& action)
{
    if (dispatch_hold_.cancel(action.call)) {
        return;
    }
    dispatched_at_.erase(action.call);
    target_.cancel(action.call.value());
}

void traffic_runtime::execute(const reply_call& action)
{
    if (const auto* stream = std::get_if<exchange_id>(&action.to)) {
        log_reply(action);
        metrics_.on_replied(last_announcement_.service, action.reply.result);
        peer_request_ids_.erase(*stream);
        server_.respond(peer_stream_id(stream->value()),
                        {encode_reply_head(action.reply), action.reply.response.body,
                         action.reply.response.body_stream});
    }
}

void traffic_runtime::execute(const hand_over_records& action)
{
    peers_.send(action.address, handover_path, {encode_handover(action.records), nullptr},
                [](const peer_result&) {});
}

} // namespace fescuedyke
