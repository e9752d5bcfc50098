#ifndef FESCUEDYKE_ROUTING_TARGET_CHOOSER_H
#define FESCUEDYKE_ROUTING_TARGET_CHOOSER_H

#include "fescuedyke/call/context.h"
#include "fescuedyke/routing/flow_levels.h"
#include "fescuedyke/routing/region_budget.h"
#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// The choice of a target for one attempt of a call.

namespace fescuedyke {

/// Bounds of the choice.
struct routing_settings {
    /// Most targets of one service and region that one node connects to.
    std::size_t subset_size = 8;
    /// Time over which a new target's share of work grows.
    millis warm_up{2000};
    /// Failures in a row after which a target is ejected.
    int consecutive_failures = 3;
    /// Greatest share of a service's targets that may be ejected at once.
    double max_ejected_share = 0.34;
    millis base_ejection_time{1000};
    millis max_ejection_time{30'000};
};

/// What is asked of the choice.
struct route_request {
    service_name service;
    flow_id flow;
    rank priority_rank;
    bool idempotent = false;
    bool cross_region = false;
    std::uint64_t bytes = 0;
    /// Targets that have refused or failed this call already.
    std::set<instance_id> tried;
};

/// Why no target was chosen.
enum class route_failure : std::uint8_t {
    /// No target is known that could be tried.
    no_target,
    /// Every target left has a level that does not admit the rank.
    not_admitted
};

/// A target to try, or why there is none.
struct route_choice {
    std::optional<target_info> target;
    route_failure failure = route_failure::no_target;
};

/// What one node has seen of one target of late.
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
    /// The target said that it takes no work; it is not asked before this.
    instant avoided_until;
    bool probe_in_flight = false;
};

/// Chooses by two random draws among the nearest targets that admit the rank. Failures in a row
/// eject a target; one idempotent call at a time tries whether it is back.
class target_chooser {
public:
    target_chooser(locality self_place, instance_id self, const routing_settings& settings,
                   region_budget& budget);

    /// Takes over membership as it is at \p now.
    void on_view(const target_view& view, instant now);

    /// Chooses a target for one attempt; the caller reports its end by one of the on_ functions.
    route_choice choose(const route_request& request, instant now, random_source& random);

    /// Finds a target by its instance, for calls that only one may serve.
    const target_info* find(const service_name& service, const instance_id& instance) const;

    /// Any target of \p service, for the labels and the owner of the service; nullptr if none.
    const target_info* find_any(const service_name& service) const;

    /// An attempt was sent to \p instance.
    void on_sent(const service_name& service, const instance_id& instance);

    /// A reply came from \p instance's node, whatever its outcome.
    void on_reply(const service_name& service, flow_id flow, const instance_id& instance,
                  const load_report& load, instant now);

    /// The target's node said that its target leaves or is not there.
    void on_unavailable(const service_name& service, const instance_id& instance, instant now);

    /// An attempt ended without a reply; \p failed tells whether that speaks against the target.
    void on_no_reply(const service_name& service, const instance_id& instance, bool failed,
                     instant now);

    /// Returns the greatest rank of \p flow that some target of \p service admits along its whole
    /// chain.
    rank chain_level(const service_name& service, flow_id flow, instant now) const;

    /// Smallest expected time over the targets of \p service that have told theirs.
    millis expected_time(const service_name& service) const;

    /// Returns whether any target of \p service that was not tried would admit \p request.
    bool any_admits(const route_request& request, instant now) const;

    /// What is known of each target, for the state dump.
    const std::map<service_name, std::map<instance_id, target_stats>>& stats() const
    {
        return stats_;
    }

private:
    struct candidate {
        const target_info* info;
        target_stats* stats;
    };

    int distance(const target_info& target) const;
    bool in_subset(const std::vector<target_info>& targets, const target_info& target) const;
    double load_of(const candidate& c, instant now) const;
    rank level_of(const service_name& service, flow_id flow, const instance_id& instance,
                  const target_stats& stats, instant now) const;
    bool is_saturated(const candidate& c) const;
    std::vector<candidate> usable(const route_request& request, instant now);
    const candidate& better_of_two(const std::vector<candidate>& from, instant now,
                                   random_source& random) const;
    std::optional<candidate> trial_candidate(const std::vector<candidate>& all,
                                             const route_request& request, instant now) const;
    void eject(const service_name& service, target_stats& stats, instant now);
    void recover(target_stats& stats);
    target_stats* stats_of(const service_name& service, const instance_id& instance);

    locality place_;
    instance_id self_;
    routing_settings settings_;
    region_budget& budget_;
    std::map<service_name, std::vector<target_info>> targets_;
    std::map<service_name, std::map<instance_id, target_stats>> stats_;
    flow_levels flow_levels_;
    bool seen_a_view_ = false;
};

} // namespace fescuedyke

#endif
