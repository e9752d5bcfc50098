#ifndef FESCUEDYKE_DAEMON_TRAFFIC_METRICS_H
#define FESCUEDYKE_DAEMON_TRAFFIC_METRICS_H

#include "fescuedyke/call/outcome.h"
#include "fescuedyke/call/rank.h"
#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/transport/http_server.h"

#include <string>

/// \file
/// Metrics of the calls that pass through a node.

namespace fescuedyke {

/// Metric labels of a caller's request.
struct call_labels {
    service_name service;
    /// Name of the route or policy that governs the request; empty if unknown.
    std::string route;
    std::string priority;
};

/// Values of the gauges, sampled periodically.
struct traffic_gauges {
    std::size_t open_outbound = 0;
    std::size_t open_inbound = 0;
    std::size_t peer_connections = 0;
    std::uint64_t target_connections_made = 0;
    /// Connections of callers and nodes that waited for lack of descriptors or memory.
    std::uint64_t failed_accepts = 0;
    std::uint64_t decision_lines_suppressed = 0;
    std::uint64_t log_lines_dropped = 0;
    /// Memory held for sending to other nodes, in bytes.
    std::uint64_t peer_output_bytes = 0;
    std::uint64_t body_bytes_held = 0;
    bool target_ready = false;
};

class traffic_metrics {
public:
    explicit traffic_metrics(metric_registry& registry);

    /// Counts an outcome reported to a caller; \p duration is the time since the request. \p status
    /// is the HTTP status of the target's response, or 0 if there is none.
    void on_answered(const call_labels& labels, const outcome& result, int status, millis duration);
    /// Counts an attempt that was sent to the node of a target. \p is_retry is true if an earlier
    /// attempt of the same call was sent.
    void on_sent(const service_name& service, bool is_retry);
    /// Counts a reply to another node. \p result tells whether the target of this node answered or
    /// failed the call, or this node refused it.
    void on_replied(const service_name& service, const outcome& result);
    /// Counts a call that its sender cancelled in \p stage.
    void on_cancelled(const service_name& service, const std::string& stage);
    /// Records \p duration, the time from the dispatch of a call to the response of the target.
    void on_target_answered(const service_name& service, millis duration);
    /// Counts the unanswered requests and the unsent responses of a connection that was cut.
    void on_connection_cut(const cut_connection& cut);
    void set_gauges(const traffic_gauges& gauges);

private:
    counter_family calls_;
    histogram_family call_times_;
    counter_family attempts_;
    counter_family replies_;
    histogram_family target_times_;
    counter_family cut_requests_;
    counter_family cancelled_calls_;
    gauge_family open_calls_;
    gauge_family node_gauges_;
};

} // namespace fescuedyke

#endif
