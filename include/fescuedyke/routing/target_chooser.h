#ifndef FESCUEDYKE_ROUTING_TARGET_CHOOSER_H
#define FESCUEDYKE_ROUTING_TARGET_CHOOSER_H

#include "fescuedyke/call/context.h"
#include "fescuedyke/routing/flow_levels.h"
#include "fescuedyke/routing/region_budget.h"
#include "fescuedyke/routing/response_times.h"
#include "fescuedyke/routing/target_memory.h"
#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Load balancing: selects the target for an attempt of a call.

namespace fescuedyke {

/// Configuration of target selection and outlier ejection.
struct routing_settings {
    /// Maximum number of targets of one service and region that one node connects to.
    std::size_t subset_size = 8;
    /// Time over which the share of calls sent to a new target grows (slow start).
    millis warm_up{2000};
    /// Number of consecutive failures after which a target is ejected.
    int ejection_failure_threshold = 3;
    /// Maximum fraction of a service's targets that may be ejected at the same time.
    double max_ejected_share = 0.34;
    /// Time saved that justifies sending one kibibyte to another zone of the region, and to another
    /// region. 0 for the latter disables the choice of farther targets by response time.
    millis zone_cost_per_kib{2};
    millis region_cost_per_kib{0};
    /// Duration of the first ejection; doubles with each further one up to \c max_ejection_time.
    millis base_ejection_time{1000};
    millis max_ejection_time{30'000};
};

/// The properties of a call that decide its target.
struct route_request {
    service_name service;
    flow_id flow;
    rank priority_rank;
    bool idempotent = false;
    /// Whether targets in other regions may be selected.
    bool cross_region = false;
    /// Size of the request body in bytes.
    std::uint64_t bytes = 0;
    /// Response time up to which a response has its full value; 0 if unknown.
    millis latency_objective{0};
    /// Time until the deadline of the call.
    millis time_left{0};
    /// Targets that have already refused or failed the call.
    std::set<instance_id> tried;
};

/// Why no target was selected.
enum class route_failure : std::uint8_t {
    /// No target is available.
    no_target,
    /// The admission level of every available target refuses the rank.
    not_admitted
};

/// The selected target, or the reason why there is none.
struct route_choice {
    std::optional<target_info> target;
    route_failure failure = route_failure::no_target;
};

/// When an attempt was sent and when its reply arrived.
struct attempt_times {
    instant sent;
    instant replied;
};

/// Statistics that one node keeps about one target.
struct target_stats {
    instant first_seen;
    int in_flight = 0;
    int limit = 0;
    rank level = rank::max();
    instant level_reported_at;
    millis expected_time;
    int consecutive_failures = 0;
    int ejections = 0;
    bool ejected = false;
    instant ejected_until;
    /// No calls are sent before this time, because the target reported that it accepts none.
    instant avoided_until;
    bool probe_in_flight = false;
};

/// Selects the less loaded of two random candidates ("power of two choices") among the nearest
/// targets that admit the rank. Consecutive failures eject a target; when the ejection time has
/// passed, one idempotent call at a time probes whether the target has recovered.
class target_chooser {
public:
    target_chooser(locality self_location, instance_id self, const routing_settings& settings,
                   region_budget& budget);

    /// Replaces the known targets by those of \p view. The statistics of remaining targets are
    /// kept.
    void on_view(const target_view& view, instant now);

    /// Selects a target for one attempt. After on_sent(), the attempt must end with on_reply() or
    /// on_no_reply().
    route_choice choose(const route_request& request, instant now, random_source& random);

    /// Removes reports that are past their lifetime; expected about every second.
    void remove_expired(instant now);

    /// Returns the target on \p instance, or nullptr; for calls that only one target may serve.
    const target_info* find(const service_name& service, const instance_id& instance) const;

    /// Returns any target of \p service, from which its labels and owner can be read, or nullptr.
    const target_info* find_any(const service_name& service) const;

    /// Records an attempt that was sent to \p instance.
    void on_sent(const service_name& service, const instance_id& instance);

    /// Records a reply of \p target's node, whatever its outcome. \p bytes is the size of the
    /// request and the response.
    void on_reply(const target_info& target, flow_id flow, const load_report& load,
                  const attempt_times& times, std::uint64_t bytes);

    /// Records a report of the target's node that the target is draining or absent.
    void on_unavailable(const service_name& service, const instance_id& instance, instant now);

    /// Records an attempt that ended without a reply; \p failed tells whether this counts as a
    /// failure of the target.
    void on_no_reply(const service_name& service, const instance_id& instance, bool failed,
                     instant now);

    /// What this node remembers of the targets that it called.
    target_memory& memory() { return memory_; }
    const target_memory& memory() const { return memory_; }

    /// Returns the greatest rank that at least one target of \p service and its call chain admit
    /// for \p flow, or rank::max() if no target is known.
    rank chain_level(const service_name& service, flow_id flow, instant now) const;

    /// Returns the smallest expected time that a target of \p service has reported, or 0 if none
    /// has.
    millis expected_time(const service_name& service) const;

    /// Returns whether a target of the service that is neither tried nor ejected would admit
    /// \p request.
    bool any_admits(const route_request& request, instant now) const;

    /// Returns the statistics of each target, for the state dump.
    const std::map<service_name, std::map<instance_id, target_stats>>& stats() const
    {
        return stats_;
    }

private:
    /// Number of classes of distance from this node to a target.
    static constexpr int distance_count = 3;

    struct candidate {
        const target_info* info;
        target_stats* stats;
    };

    int distance(const target_info& target) const;
    bool in_subset(const std::vector<target_info>& targets, const target_info& target) const;
    /// Returns the utilization of the target after one more call, relative to its warmed-up share
    /// of the limit.
    double utilization(const candidate& c, instant now) const;
    rank effective_level(const service_name& service, flow_id flow, const instance_id& instance,
                         const target_stats& stats, instant now) const;
    bool is_saturated(const candidate& c) const;
    std::vector<candidate> eligible_candidates(const route_request& request, instant now);
    /// Returns the expected response time of a candidate weighted by its utilization, for
    /// comparisons within a group.
    double cost(const candidate& c, flow_id flow, instant now) const;
    /// Returns one of \p farther that is expected to respond so much sooner than \p nearest that it
    /// outweighs the cost of the bytes, or nullptr.
    const candidate* find_faster(const candidate& nearest, const std::vector<candidate>& farther,
                                 const route_request& request, instant now,
                                 random_source& random) const;
    const candidate& pick_cheaper(const std::vector<candidate>& candidates, flow_id flow,
                                  instant now, random_source& random) const;
    /// Returns the candidate for the request among \p by_distance, or nullptr if all are empty.
    const candidate* pick(const std::vector<candidate> (&by_distance)[distance_count],
                          const route_request& request, instant now, random_source& random) const;
    std::optional<candidate> probe_candidate(const std::vector<candidate>& candidates,
                                             const route_request& request, instant now) const;
    void eject(const service_name& service, target_stats& stats, instant now);
    void mark_healthy(target_stats& stats);
    target_stats* find_stats(const service_name& service, const instance_id& instance);

    locality location_;
    instance_id self_;
    routing_settings settings_;
    region_budget& budget_;
    std::map<service_name, std::vector<target_info>> targets_;
    std::map<service_name, std::map<instance_id, target_stats>> stats_;
    flow_levels flow_levels_;
    response_times response_times_;
    target_memory memory_;
    bool has_view_ = false;
};

} // namespace fescuedyke

#endif
