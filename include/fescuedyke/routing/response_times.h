#ifndef FESCUEDYKE_ROUTING_RESPONSE_TIMES_H
#define FESCUEDYKE_ROUTING_RESPONSE_TIMES_H

#include "fescuedyke/call/context.h"
#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/moving_estimate.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <optional>
#include <tuple>

/// \file
/// The response times that one node expects of targets, by flow.

namespace fescuedyke {

/// Expected time from sending a call to receiving the response, in milliseconds.
struct expected_response {
    double mean = 0;
    /// Mean deviation of the time at the target.
    double deviation = 0;
};

/// Combines what the nodes of the targets report, namely the service time of a flow and the time in
/// their queue, with the round-trip times that this node measures.
class response_times {
public:
    /// Records the reply of \p target to a call of \p flow that took \p elapsed in total.
    /// \p bytes is the size of the request and the response.
    void on_reply(const target_info& target, flow_id flow, const load_report& load, millis elapsed,
                  std::uint64_t bytes, instant now);

    /// Returns the expected response time of \p target, or that of other targets in its region if
    /// it has not reported \p flow, or no value if none has recently.
    std::optional<expected_response> expected(const target_info& target, flow_id flow,
                                              instant now) const;

    /// Returns the mean size of a request and its response in bytes, 0 if unknown.
    double mean_bytes(flow_id flow) const;

    void remove_expired(instant now);

    /// Returns the number of targets and regions with a report, counted for each flow.
    std::size_t size() const { return by_target_.size() + by_region_.size(); }

private:
    struct report {
        double service_time = 0;
        double deviation = 0;
        double queue_time = 0;
        instant at;
    };
    using target_key = std::pair<flow_id, instance_id>;
    using region_key = std::tuple<flow_id, service_name, region_name>;

    expected_response combine(const report& r, const region_name& region, instant now) const;

    std::map<target_key, report> by_target_;
    /// The latest report of any target of a region.
    std::map<region_key, report> by_region_;
    std::map<region_name, moving_estimate> round_trips_;
    std::map<flow_id, moving_estimate> bytes_;
};

} // namespace fescuedyke

#endif
