#include "fescuedyke/daemon/daemon.h"

#include "fescuedyke/daemon/http_api.h"
#include "fescuedyke/daemon/operator_json.h"
#include "fescuedyke/daemon/outcome_http.h"
#include "fescuedyke/daemon/process_signals.h"
#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <pthread.h>
#include <thread>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int unauthorized_status = 401;
constexpr int forbidden_status = 403;
constexpr int not_found_status = 404;
constexpr int conflict_status = 409;
constexpr int too_large_status = 413;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

/// Time after the drain in which the control group is informed and the last responses are sent.
constexpr millis final_response_time{3000};

/// Time after the drain limit at which a stop that has not ended is ended by force. It exceeds the
/// time that the control group has to acknowledge the last account report.
constexpr millis forced_exit_delay{5000};

node_settings make_node_settings(const process_settings& settings, incarnation start)
{
    node_settings node;
    node.self = settings.instance;
    node.self_incarnation = start;
    node.location = settings.location;
    node.address = settings.peer;
    node.owner = settings.owner;
    node.routing.subset_size = settings.subset_size;
    node.routing.region_cost_per_kib = settings.region_cost_per_kib;
    node.memory_bytes = settings.memory_bytes;
    node.region_bytes_per_second = settings.region_bytes_per_second;
    return node;
}

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

const daemon_process::api_route daemon_process::api_routes[] = {
    {"POST", "/v1/target/announce", &daemon_process::serve_announce, false},
    {"POST", "/v1/target/drain", &daemon_process::serve_drain, false},
    {"POST", "/v1/target/leave", &daemon_process::serve_drain, false},
    {"GET", "/v1/state", &daemon_process::serve_state, true},
    {"GET", "/v1/targets", &daemon_process::serve_targets, true},
    {"GET", "/v1/policies", &daemon_process::serve_policies, true},
    {"POST", "/v1/policies", &daemon_process::serve_policy_change, true},
    {"GET", "/v1/progress", &daemon_process::serve_progress, true},
    {"GET", "/v1/accounts", &daemon_process::serve_accounts, true},
};

namespace {

http_limits streaming_limits()
{
    http_limits limits;
    limits.stream_long_bodies = true;
    return limits;
}

} // namespace

daemon_process::daemon_process(const process_settings& settings, std::uint64_t seed)
    : settings_(settings), traffic_random_(seed), control_random_(seed + 1), traffic_loop_(clock_),
      control_loop_(clock_),
      http_(traffic_loop_, streaming_limits(),
            {[this](exchange_id exchange, http_request request) {
                 on_http(exchange, std::move(request));
             },
             [this](exchange_id exchange) { traffic_->handle(caller_disconnected{exchange}); },
             [this](const cut_connection& cut) { traffic_->on_connection_cut(cut); },
             [](const http_request& request) { return parse_call_path(request.path).ok(); }})
{
    // The start time serves as incarnation and as epoch: a later process of the same instance has a
    // greater one.
    const auto start = static_cast<std::uint64_t>(clock_.read().wall.since_origin());
    control_ = std::make_unique<control_runtime>(
        settings_, control_loop_, control_random_, start, metrics_.registry(),
        [this](node_event event) {
            traffic_loop_.post([this, event = std::move(event)] { traffic_->handle(event); });
        });
    traffic_listeners listeners;
    listeners.on_record = [this](const node_record& record, bool wants_lease) {
        control_loop_.post(
            [this, record, wants_lease] { control_->on_record(record, wants_lease); });
    };
    listeners.on_account_report = [this](const account_report& report) {
        control_loop_.post([this, report] { control_->on_account_report(report); });
    };
    traffic_ = std::make_unique<traffic_runtime>(make_node_settings(settings_, incarnation(start)),
                                                 traffic_loop_, http_, dialect_, traffic_random_,
                                                 metrics_.registry(), std::move(listeners));
}

daemon_process::~daemon_process() = default;

absl::Status daemon_process::run()
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (absl::Status started = control_->start(); !started.ok()) {
        return started;
    }
    if (absl::Status started = traffic_->start(); !started.ok()) {
        return started;
    }
    if (absl::Status started = http_.listen(settings_.http); !started.ok()) {
        return started;
    }
    if (absl::Status started = metrics_.listen(settings_.metrics); !started.ok()) {
        return started;
    }
    std::thread traffic([this] { traffic_loop_.run(); });
    std::thread control([this] { control_loop_.run(); });
    write_log(log_level::info, "started",
              {{"http", to_string(settings_.http)}, {"peer", to_string(settings_.peer)}});
    int signal = 0;
    sigwait(&signals, &signal);
    write_log(log_level::info, "stopping", {{"signal", signal}});
    limit_stop_time(settings_.drain_timeout + forced_exit_delay);
    stop();
    traffic.join();
    control.join();
    traffic_->log_open_work("stopped");
    return absl::OkStatus();
}

void daemon_process::stop()
{
    shutdown_limits limits;
    limits.drain_limit = settings_.drain_timeout;
    limits.final_time = final_response_time;
    stop_listener listener;
    listener.on_drained = [this] {
        control_loop_.post([this] {
            control_->stop([this] { traffic_loop_.post([this] { control_stopped_ = true; }); });
        });
    };
    listener.may_end = [this] { return control_stopped_; };
    listener.on_ended = [this] {
        control_loop_.stop();
        traffic_loop_.stop();
    };
    traffic_loop_.post([this, limits, listener] { traffic_->stop(limits, listener); });
}

void daemon_process::respond_with_error(exchange_id exchange, int status,
                                        const std::string& message)
{
    http_.respond(exchange, json_response(status, {{"error", message}}));
}

void daemon_process::on_http(exchange_id exchange, http_request request)
{
    if (absl::StatusOr<call_destination> call = parse_call_path(request.path); call.ok()) {
        request.path = call->path;
        caller_request event;
        event.exchange = exchange;
        event.service = call->service;
        event.request = std::make_shared<http_request>(std::move(request));
        traffic_->handle(event);
        return;
    }
    if (request.body_stream) {
        respond_with_error(exchange, too_large_status, "body: is too large for this path");
        return;
    }
    const request_uri uri = parse_request_uri(request.path);
    for (const api_route& r : api_routes) {
        if (request.method != r.method || uri.path != r.path) {
            continue;
        }
        const bool authenticated = find_operator(settings_.operators, request.headers) != nullptr;
        if (r.needs_operator && !authenticated) {
            respond_with_error(exchange, unauthorized_status,
                               "authorization: must be the bearer token of an operator");
            return;
        }
        (this->*r.handler)(exchange, request, uri.query);
        return;
    }
    respond_with_error(exchange, not_found_status, "path: nothing is served here");
}

void daemon_process::serve_announce(exchange_id exchange, const http_request& request,
                                    const std::map<std::string, std::string>& query)
{
    (void)query;
    const absl::StatusOr<announcement> parsed = parse_announcement(*request.body);
    if (!parsed.ok()) {
        respond_with_error(exchange, bad_request_status, std::string(parsed.status().message()));
        return;
    }
    if (parsed->address.host != settings_.http.host) {
        respond_with_error(exchange, bad_request_status,
                           "address: must be on the same host as the HTTP address of the node");
        return;
    }
    traffic_->on_target_announced(parsed->event, parsed->address);
    http_.respond(exchange, json_response(ok_status, {{"instance", settings_.instance.value()}}));
}

void daemon_process::serve_drain(exchange_id exchange, const http_request& request,
                                 const std::map<std::string, std::string>& query)
{
    (void)request;
    (void)query;
    traffic_->handle(target_draining{});
    http_.respond(exchange, json_response(ok_status, {{"draining", true}}));
}

void daemon_process::serve_state(exchange_id exchange, const http_request& request,
                                 const std::map<std::string, std::string>& query)
{
    (void)query;
    const operator_entry* requester = find_operator(settings_.operators, request.headers);
    if (!may_act_for(*requester, settings_.owner)) {
        respond_with_error(exchange, forbidden_status,
                           "state: this operator is not authorized for the owner of this instance");
        return;
    }
    control_loop_.post([this, exchange, node = traffic_->state()] {
        json state = control_->state();
        state["node"] = node;
        state["settings"] = settings_json(settings_);
        http_.respond(exchange, json_response(ok_status, state));
    });
}

void daemon_process::respond_from_member(exchange_id exchange,
                                         std::function<json(const control_core&)> make_body)
{
    if (!settings_.is_member) {
        respond_with_error(exchange, misdirected_status, "this process is not a control member");
        return;
    }
    control_loop_.post([this, exchange, make_body = std::move(make_body)] {
        http_.respond(exchange, json_response(ok_status, make_body(*control_->member_core())));
    });
}

void daemon_process::serve_targets(exchange_id exchange, const http_request& request,
                                   const std::map<std::string, std::string>& query)
{
    (void)request;
    (void)query;
    respond_from_member(exchange,
                        [](const control_core& core) { return targets_json(core.leases()); });
}

void daemon_process::serve_policies(exchange_id exchange, const http_request& request,
                                    const std::map<std::string, std::string>& query)
{
    (void)query;
    const operator_entry requester = *find_operator(settings_.operators, request.headers);
    respond_from_member(exchange, [requester](const control_core& core) {
        return policies_json(core.state(), requester);
    });
}

void daemon_process::serve_policy_change(exchange_id exchange, const http_request& request,
                                         const std::map<std::string, std::string>& query)
{
    (void)query;
    if (!settings_.is_member) {
        respond_with_error(exchange, misdirected_status, "this process is not a control member");
        return;
    }
    absl::StatusOr<policy_change> change = parse_policy_change(*request.body);
    if (!change.ok()) {
        respond_with_error(exchange, bad_request_status, std::string(change.status().message()));
        return;
    }
    const operator_entry* requester = find_operator(settings_.operators, request.headers);
    if (!may_act_for(*requester, change->owner)) {
        respond_with_error(exchange, forbidden_status,
                           "owner: this operator is not authorized to act for this owner");
        return;
    }
    change->operator_name = requester->name;
    control_loop_.post([this, exchange, change = std::move(*change)] {
        control_->propose_change(change, [this, exchange](const answer_change& answer) {
            respond_to_policy_change(exchange, answer);
        });
    });
}

void daemon_process::respond_to_policy_change(exchange_id exchange, const answer_change& answer)
{
    switch (answer.outcome) {
    case change_outcome::committed: {
        const bool accepted = answer.result.code == change_code::accepted;
        http_.respond(exchange, json_response(accepted ? ok_status : conflict_status,
                                              change_json(answer, *control_->member_core())));
        return;
    }
    case change_outcome::not_leader:
        http_.respond(exchange, json_response(misdirected_status,
                                              change_json(answer, *control_->member_core())));
        return;
    case change_outcome::unknown:
        http_.respond(exchange, json_response(unavailable_status,
                                              change_json(answer, *control_->member_core())));
        return;
    }
}

void daemon_process::serve_progress(exchange_id exchange, const http_request& request,
                                    const std::map<std::string, std::string>& query)
{
    (void)request;
    (void)query;
    respond_from_member(exchange, [](const control_core& core) { return progress_json(core); });
}

void daemon_process::serve_accounts(exchange_id exchange, const http_request& request,
                                    const std::map<std::string, std::string>& query)
{
    const operator_entry* requester = find_operator(settings_.operators, request.headers);
    const auto owner = query.find("owner");
    if (owner == query.end()) {
        respond_with_error(exchange, bad_request_status, "owner: is missing");
        return;
    }
    if (!may_act_for(*requester, owner_name(owner->second))) {
        respond_with_error(
            exchange, forbidden_status,
            "owner: this operator is not authorized to read the account of this owner");
        return;
    }
    const absl::StatusOr<account_query> range = parse_account_query(query);
    if (!range.ok()) {
        respond_with_error(exchange, bad_request_status, std::string(range.status().message()));
        return;
    }
    respond_from_member(exchange, [range = *range](const control_core& core) {
        return accounts_json(core.accounts(), range);
    });
}

} // namespace fescuedyke
