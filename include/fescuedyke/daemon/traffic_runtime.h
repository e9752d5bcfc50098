#ifndef FESCUEDYKE_DAEMON_TRAFFIC_RUNTIME_H
#define FESCUEDYKE_DAEMON_TRAFFIC_RUNTIME_H

#include "fescuedyke/control/messages.h"
#include "fescuedyke/daemon/decision_log.h"
#include "fescuedyke/daemon/dispatch_hold.h"
#include "fescuedyke/daemon/graceful_shutdown.h"
#include "fescuedyke/daemon/http_dialect.h"
#include "fescuedyke/daemon/traffic_metrics.h"
#include "fescuedyke/membership/target_tracker.h"
#include "fescuedyke/metrics/time_summary.h"
#include "fescuedyke/node/node_core.h"
#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/http_server.h"
#include "fescuedyke/transport/peer_client.h"
#include "fescuedyke/transport/peer_server.h"
#include "fescuedyke/transport/target_client.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

/// \file
/// The adapter of the node core. It connects the decision logic of the node to the network: it
/// passes events to the core and executes the actions that the core returns.

namespace fescuedyke {

/// Callbacks that pass data to the control thread. They are called on the traffic thread.
struct traffic_listeners {
    std::function<void(const node_record&, bool wants_lease)> on_record;
    std::function<void(const account_report&)> on_account_report;
};

/// Is told of the progress of a stop. The functions are called on the traffic thread.
struct stop_listener {
    /// Open requests have ended, or their time is over. Optional.
    std::function<void()> on_drained = nullptr;
    /// Returns whether the work that on_drained() started is done. Optional.
    std::function<bool()> may_end = nullptr;
    /// Everything was sent. No event may be handled any more.
    std::function<void()> on_ended;
};

/// All functions must be called on the traffic thread, or before it is started.
class traffic_runtime {
public:
    /// All arguments passed by reference except \p settings must outlive the runtime.
    traffic_runtime(const node_settings& settings, event_loop& loop, http_server& http,
                    const http_dialect& dialect, random_source& random, metric_registry& metrics,
                    traffic_listeners listeners);
    ~traffic_runtime();

    /// Starts to serve other nodes. Fails with kUnavailable if the address is in use.
    absl::Status start();

    /// Passes \p event to the decision logic and executes the resulting actions.
    void handle(const node_event& event);

    /// Handles an announcement of the target, which serves at \p address.
    void on_target_announced(const target_announced& event, const endpoint& address);

    /// Handles a report of the target. The target is considered gone if no further report arrives
    /// within \p lease.
    void on_target_report(const target_report& report, millis lease);

    /// Holds the calls that are dispatched to the target until release_target() is called. A call
    /// that is held too long is refused as not run.
    void hold_target() { dispatch_hold_.begin(); }
    void release_target();

    /// Counts and logs a connection of a caller that ended before all of its requests were
    /// answered.
    void on_connection_cut(const cut_connection& cut);

    /// Logs \p event with the requests and responses that are not complete yet.
    void log_open_work(const std::string& event) const;

    /// Shuts down within \p limits. New calls for the target are refused at once. The listening
    /// socket of the HTTP server stays open, so that all requests are answered until the end.
    void stop(const shutdown_limits& limits, stop_listener listener);

    /// Returns the state of the node for operators.
    nlohmann::json state() const;

    const node_core& core() const { return core_; }

private:
    /// Executes the actions in order, after those that are still to be executed.
    void execute(node_actions actions);
    void execute(const answer_caller& action);
    void execute(const send_call& action);
    void execute(const cancel_call& action);
    void execute(const dispatch_call& action);
    void execute(const cancel_dispatch& action);
    void send_to_target(const dispatch_call& call);
    void refuse_held_calls(instant now);
    void execute(const reply_call& action);
    void execute(const hand_over_records& action);
    void on_peer_request(peer_stream_id stream, const std::string& path, const h2_message& message);
    void on_tick();
    void update_gauges();
    void publish_record();
    void publish_account_report_if_due(instant now);
    void publish_account_report();
    shutdown_steps make_shutdown_steps();
    /// Returns whether a call is open, or a response or a reply to another node is not sent yet.
    bool has_open_requests() const;
    void begin_end();
    void record_times(const node_event& event, instant now);
    void log_event(const node_event& event, instant now);
    void log_cancelled(exchange_id stream, instant now);
    void log_sent(const send_call& action);
    void log_caller_answer(const answer_caller& action);
    void log_malformed_reply(const endpoint& peer, const absl::Status& error);
    void log_reply(const reply_call& action);
    void log_failed_send(const http_request& request, const failed_send& failure);
    void log_malformed_response(const http_request& request, const malformed_response& response);
    /// Logs changes of what the target states about itself.
    void log_notice(const target_notice& notice);
    bool should_log(const std::string& id, decision_kind kind);

    node_settings settings_;
    event_loop& loop_;
    http_server& http_;
    const http_dialect& dialect_;
    traffic_listeners listeners_;
    node_core core_;
    peer_client peers_;
    peer_server server_;
    target_client target_;
    dispatch_hold dispatch_hold_;
    endpoint target_address_;
    target_announced last_announcement_;
    target_notice last_notice_;
    std::deque<node_action> pending_actions_;
    /// Whether execute() runs.
    bool executing_ = false;
    /// Requests to other nodes without a reply yet, by call and attempt number.
    std::map<std::pair<call_id, int>, peer_request_id> open_attempts_;
    node_record record_;
    std::uint64_t report_sequence_ = 0;
    std::uint64_t events_handled_ = 0;
    /// Time from a caller's request to its outcome.
    time_summary call_times_;
    /// Time from the dispatch of a call to the response of the target.
    time_summary target_times_;
    /// A caller's request without an outcome yet.
    struct open_request {
        instant received_at;
        std::string id;
        call_labels labels;
    };
    traffic_metrics metrics_;
    decision_log decision_log_;
    std::map<exchange_id, open_request> open_requests_;
    /// Request ids of the calls from other nodes without a reply yet.
    std::map<exchange_id, std::string> peer_request_ids_;
    std::map<inbound_id, instant> dispatched_at_;
    instant account_checked_at_;
    std::uint64_t published_revision_ = 0;
    instant account_published_at_;
    bool published_ready_ = false;
    graceful_shutdown shutdown_;
    stop_listener stop_listener_;
};

} // namespace fescuedyke

#endif
