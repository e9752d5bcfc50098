#ifndef FESCUEDYKE_DAEMON_TRAFFIC_METRICS_H
#define FESCUEDYKE_DAEMON_TRAFFIC_METRICS_H

#include "fescuedyke/call/outcome.h"
#include "fescuedyke/call/rank.h"
#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/support/ids.h"

#include <string>

/// \file
/// What a node counts of the calls that pass through it.

namespace fescuedyke {

/// A caller's request as metrics tell it apart.
struct call_labels {
    service_name service;
    /// Name of the route or policy that governs it; empty when none was told.
    std::string route;
    std::string priority;
};

/// What is read off a node from time to time.
struct traffic_gauges {
    std::size_t open_outbound = 0;
    std::size_t open_inbound = 0;
    std::size_t peer_connections = 0;
    std::uint64_t target_connections_made = 0;
    std::uint64_t decision_lines_suppressed = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t body_bytes_held = 0;
    bool target_ready = false;
};

class traffic_metrics {
public:
    explicit traffic_metrics(metric_registry& registry);

    /// A caller got its outcome; \p status is the target's, or 0.
    void on_answered(const call_labels& call, const outcome& result, int status, millis duration);
    void on_sent(const service_name& service, bool is_retry);
    /// The target of this node answered or failed a call, or its node refused one.
    void on_replied(const service_name& service, const outcome& result);
    void on_target_answered(const service_name& service, millis duration);
    void set_gauges(const traffic_gauges& gauges);

private:
    counter_family calls_;
    histogram_family call_times_;
    counter_family attempts_;
    counter_family replies_;
    histogram_family target_times_;
    gauge_family open_;
    gauge_family state_;
};

} // namespace fescuedyke

#endif
