#include "fescuedyke/daemon/traffic_metrics.h"

namespace fescuedyke {

namespace {

constexpr int statuses_in_class = 100;

/// Returns the class of a status, such as "2xx". The status itself would be a label with unbounded
/// values.
std::string status_class(int status)
{
    return status > 0 ? std::to_string(status / statuses_in_class) + "xx" : "none";
}

} // namespace

traffic_metrics::traffic_metrics(metric_registry& registry)
    : calls_(registry, {"fescuedyke_calls_total",
                        "Callers' requests that got an outcome here.",
                        {"service", "route", "class", "outcome", "reason", "status"}}),
      call_times_(registry, {"fescuedyke_call_seconds",
                             "From a caller's request to its outcome.",
                             {"service", "route", "outcome"}}),
      attempts_(registry, {"fescuedyke_attempts_total",
                           "Attempts sent to targets' nodes, by whether others went before.",
                           {"service", "again"}}),
      replies_(registry, {"fescuedyke_replies_total",
                          "Replies to other nodes about calls to the target of this one.",
                          {"service", "outcome", "reason"}}),
      target_times_(registry, {"fescuedyke_target_seconds",
                               "From a call's dispatch to the answer of the target.",
                               {"service"}}),
      cut_requests_(registry, {"fescuedyke_cut_requests_total",
                               "Requests whose connection ended before their whole response.",
                               {"reason", "stage"}}),
      cancelled_calls_(registry, {"fescuedyke_cancelled_calls_total",
                                  "Calls for the target that their sender cancelled, by stage.",
                                  {"service", "stage"}}),
      open_calls_(registry, {"fescuedyke_open_calls", "Calls that have no outcome yet.", {"side"}}),
      node_gauges_(registry, {"fescuedyke_node", "Other figures of the node.", {"what"}})
{
}

void traffic_metrics::on_answered(const call_labels& labels, const outcome& result, int status,
                                  millis duration)
{
    calls_.add({labels.service.value(), labels.route, labels.priority, to_string(result.kind),
                to_string(result.reason), status_class(status)});
    call_times_.observe({labels.service.value(), labels.route, to_string(result.kind)}, duration);
}

void traffic_metrics::on_sent(const service_name& service, bool is_retry)
{
    attempts_.add({service.value(), is_retry ? "yes" : "no"});
}

void traffic_metrics::on_replied(const service_name& service, const outcome& result)
{
    replies_.add({service.value(), to_string(result.kind), to_string(result.reason)});
}

void traffic_metrics::on_cancelled(const service_name& service, const std::string& stage)
{
    cancelled_calls_.add({service.value(), stage});
}

void traffic_metrics::on_target_answered(const service_name& service, millis duration)
{
    target_times_.observe({service.value()}, duration);
}

void traffic_metrics::on_connection_cut(const cut_connection& cut)
{
    const std::string reason = to_string(cut.reason);
    cut_requests_.add({reason, "open"}, static_cast<double>(cut.open_requests));
    cut_requests_.add({reason, "unsent"}, static_cast<double>(cut.unsent_responses));
    cut_requests_.add({reason, "dropped"}, static_cast<double>(cut.dropped_requests));
    // The number of requests in these bytes is not known.
    cut_requests_.add({reason, "unparsed"}, cut.unparsed_bytes > 0 ? 1 : 0);
}

void traffic_metrics::set_gauges(const traffic_gauges& gauges)
{
    open_calls_.set({"outbound"}, static_cast<double>(gauges.open_outbound));
    open_calls_.set({"inbound"}, static_cast<double>(gauges.open_inbound));
    node_gauges_.set({"peer_connections"}, static_cast<double>(gauges.peer_connections));
    node_gauges_.set({"target_connections_made"},
                     static_cast<double>(gauges.target_connections_made));
    node_gauges_.set({"failed_accepts"}, static_cast<double>(gauges.failed_accepts));
    node_gauges_.set({"decision_lines_suppressed"},
                     static_cast<double>(gauges.decision_lines_suppressed));
    node_gauges_.set({"log_lines_dropped"}, static_cast<double>(gauges.log_lines_dropped));
    node_gauges_.set({"body_bytes_held"}, static_cast<double>(gauges.body_bytes_held));
    node_gauges_.set({"peer_output_bytes"}, static_cast<double>(gauges.peer_output_bytes));
    node_gauges_.set({"target_ready"}, gauges.target_ready ? 1 : 0);
}

} // namespace fescuedyke
