#include "fescuedyke/routing/target_chooser.h"

#include "fescuedyke/admission/level.h"
#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fescuedyke {

namespace {

/// Classes of distance from this node to a target.
constexpr int same_zone = 0;
constexpr int same_region = 1;
constexpr int other_region = 2;
constexpr int distance_count = 3;

/// Fraction of its full load that a target receives at the start of its warm-up.
constexpr double min_warm_up_share = 0.1;

constexpr int max_ejection_doublings = 8;

/// Time for which a target that accepts no calls is skipped, unless it leaves the view earlier.
constexpr millis unavailable_time{1000};

} // namespace

target_chooser::target_chooser(locality self_location, instance_id self,
                               const routing_settings& settings, region_budget& budget)
    : location_(std::move(self_location)), self_(std::move(self)), settings_(settings),
      budget_(budget)
{
}

void target_chooser::on_view(const target_view& view, instant now)
{
    targets_ = view.services;
    std::map<service_name, std::map<instance_id, target_stats>> stats;
    for (const auto& [service, targets] : targets_) {
        for (const target_info& target : targets) {
            const target_stats* known = find_stats(service, target.instance);
            target_stats& s = stats[service][target.instance];
            if (known != nullptr) {
                s = *known;
                continue;
            }
            // The targets of the first view need no warm-up: they were running before this node.
            s.first_seen = has_view_ ? now : now - settings_.warm_up;
            s.limit = target.slots;
        }
    }
    stats_ = std::move(stats);
    flow_levels_.remove_expired(now);
    has_view_ = true;
}

target_stats* target_chooser::find_stats(const service_name& service, const instance_id& instance)
{
    const auto of_service = stats_.find(service);
    if (of_service == stats_.end()) {
        return nullptr;
    }
    const auto found = of_service->second.find(instance);
    return found == of_service->second.end() ? nullptr : &found->second;
}

int target_chooser::distance(const target_info& target) const
{
    if (target.location.region != location_.region) {
        return other_region;
    }
    return target.location.zone == location_.zone ? same_zone : same_region;
}

bool target_chooser::in_subset(const std::vector<target_info>& targets,
                               const target_info& target) const
{
    // Rendezvous hashing: the subset consists of the targets with the highest scores.
    const std::uint64_t seed = stable_hash(self_.value());
    const std::uint64_t own_score = stable_hash(target.instance.value(), seed);
    std::size_t higher_scores = 0;
    for (const target_info& other : targets) {
        const bool competes = other.location.region == target.location.region;
        higher_scores += competes && stable_hash(other.instance.value(), seed) > own_score ? 1 : 0;
    }
    return higher_scores < settings_.subset_size;
}

rank target_chooser::effective_level(const service_name& service, flow_id flow,
                                     const instance_id& instance, const target_stats& stats,
                                     instant now) const
{
    const rank own_level = relaxed_level(stats.level, now - stats.level_reported_at);
    return std::min(own_level, flow_levels_.level(service, flow, instance, now));
}

bool target_chooser::is_saturated(const candidate& c) const
{
    return c.stats->in_flight >= std::max(1, c.stats->limit);
}

double target_chooser::utilization(const candidate& c, instant now) const
{
    const double age = static_cast<double>((now - c.stats->first_seen).count());
    const double progress = age / std::max(1.0, static_cast<double>(settings_.warm_up.count()));
    const double share = std::clamp(progress, min_warm_up_share, 1.0);
    const double limit = std::max(1, c.stats->limit) * share;
    return (c.stats->in_flight + 1) / limit;
}

std::vector<target_chooser::candidate>
target_chooser::eligible_candidates(const route_request& request, instant now)
{
    std::vector<candidate> result;
    const auto found = targets_.find(request.service);
    if (found == targets_.end()) {
        return result;
    }
    for (const target_info& target : found->second) {
        const bool is_remote = distance(target) == other_region;
        const bool remote_allowed =
            request.cross_region && budget_.allows(target.location.region, request.bytes, now);
        if (target.state != target_state::ready || request.tried.count(target.instance) != 0 ||
            (is_remote && !remote_allowed) || !in_subset(found->second, target)) {
            continue;
        }
        target_stats* stats = find_stats(request.service, target.instance);
        assert(stats != nullptr && "every target in the view must have stats");
        if (now < stats->avoided_until) {
            continue;
        }
        result.push_back({&target, stats});
    }
    return result;
}

const target_chooser::candidate&
target_chooser::pick_less_loaded(const std::vector<candidate>& candidates, instant now,
                                 random_source& random) const
{
    const std::size_t first = draw_below(random, candidates.size());
    if (candidates.size() == 1) {
        return candidates[first];
    }
    std::size_t second = draw_below(random, candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return utilization(candidates[first], now) <= utilization(candidates[second], now)
               ? candidates[first]
               : candidates[second];
}

std::optional<target_chooser::candidate>
target_chooser::probe_candidate(const std::vector<candidate>& candidates,
                                const route_request& request, instant now) const
{
    if (!request.idempotent) {
        return std::nullopt;
    }
    for (const candidate& c : candidates) {
        if (c.stats->ejected && now >= c.stats->ejected_until && !c.stats->probe_in_flight) {
            return c;
        }
    }
    return std::nullopt;
}

route_choice target_chooser::choose(const route_request& request, instant now,
                                    random_source& random)
{
    const std::vector<candidate> candidates = eligible_candidates(request, now);
    if (const std::optional<candidate> probe = probe_candidate(candidates, request, now)) {
        probe->stats->probe_in_flight = true;
        return {*probe->info, route_failure::no_target};
    }
    std::vector<candidate> by_distance[distance_count];
    std::vector<candidate> saturated;
    bool any_healthy = false;
    for (const candidate& c : candidates) {
        if (c.stats->ejected) {
            continue;
        }
        any_healthy = true;
        const instance_id& instance = c.info->instance;
        if (request.priority_rank >
            effective_level(request.service, request.flow, instance, *c.stats, now)) {
            continue;
        }
        if (is_saturated(c)) {
            saturated.push_back(c);
            continue;
        }
        by_distance[distance(*c.info)].push_back(c);
    }
    for (const std::vector<candidate>& group : by_distance) {
        if (!group.empty()) {
            return {*pick_less_loaded(group, now, random).info, route_failure::no_target};
        }
    }
    if (!saturated.empty()) {
        return {*pick_less_loaded(saturated, now, random).info, route_failure::no_target};
    }
    return {std::nullopt, any_healthy ? route_failure::not_admitted : route_failure::no_target};
}

bool target_chooser::any_admits(const route_request& request, instant now) const
{
    const auto found = stats_.find(request.service);
    if (found == stats_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& entry) {
        const target_stats& s = entry.second;
        const rank level = effective_level(request.service, request.flow, entry.first, s, now);
        return request.tried.count(entry.first) == 0 && !s.ejected &&
               request.priority_rank <= level;
    });
}

const target_info* target_chooser::find(const service_name& service,
                                        const instance_id& instance) const
{
    const auto found = targets_.find(service);
    if (found == targets_.end()) {
        return nullptr;
    }
    const auto target = std::find_if(found->second.begin(), found->second.end(),
                                     [&](const target_info& t) { return t.instance == instance; });
    return target == found->second.end() ? nullptr : &*target;
}

const target_info* target_chooser::find_any(const service_name& service) const
{
    const auto found = targets_.find(service);
    if (found == targets_.end() || found->second.empty()) {
        return nullptr;
    }
    return &found->second.front();
}

void target_chooser::on_sent(const service_name& service, const instance_id& instance)
{
    if (target_stats* stats = find_stats(service, instance)) {
        ++stats->in_flight;
    }
}

void target_chooser::mark_healthy(target_stats& stats)
{
    stats.consecutive_failures = 0;
    stats.ejections = stats.ejected ? stats.ejections : 0;
    stats.ejected = false;
    stats.probe_in_flight = false;
}

void target_chooser::on_reply(const service_name& service, flow_id flow,
                              const instance_id& instance, const load_report& load, instant now)
{
    target_stats* stats = find_stats(service, instance);
    if (stats == nullptr) {
        return;
    }
    stats->in_flight = std::max(0, stats->in_flight - 1);
    stats->limit = load.limit > 0 ? load.limit : stats->limit;
    stats->level = load.level;
    stats->level_reported_at = now;
    stats->expected_time = load.expected_time;
    flow_levels_.on_reply(service, flow, instance, load.chain_level, now);
    mark_healthy(*stats);
}

void target_chooser::on_unavailable(const service_name& service, const instance_id& instance,
                                    instant now)
{
    if (target_stats* stats = find_stats(service, instance)) {
        stats->avoided_until = now + unavailable_time;
    }
}

void target_chooser::on_no_reply(const service_name& service, const instance_id& instance,
                                 bool failed, instant now)
{
    target_stats* stats = find_stats(service, instance);
    if (stats == nullptr) {
        return;
    }
    stats->in_flight = std::max(0, stats->in_flight - 1);
    const bool probe_failed = failed && stats->ejected;
    stats->probe_in_flight = false;
    stats->consecutive_failures += failed ? 1 : 0;
    if (probe_failed || stats->consecutive_failures >= settings_.ejection_failure_threshold) {
        eject(service, *stats, now);
    }
}

void target_chooser::eject(const service_name& service, target_stats& stats, instant now)
{
    const auto& service_stats = stats_[service];
    const auto ejected = std::count_if(service_stats.begin(), service_stats.end(),
                                       [](const auto& entry) { return entry.second.ejected; });
    const double share =
        std::floor(static_cast<double>(service_stats.size()) * settings_.max_ejected_share);
    const std::int64_t min_allowed = service_stats.size() > 1 ? 1 : 0;
    const std::int64_t allowed = std::max(min_allowed, static_cast<std::int64_t>(share));
    // If most targets appear to fail, the fault is more likely on this node's side.
    if (!stats.ejected && ejected >= allowed) {
        return;
    }
    const int doublings = std::min(stats.ejections, max_ejection_doublings);
    const millis ejection_time = settings_.base_ejection_time * (std::int64_t{1} << doublings);
    stats.ejected = true;
    stats.ejected_until = now + std::min(ejection_time, settings_.max_ejection_time);
    ++stats.ejections;
}

rank target_chooser::chain_level(const service_name& service, flow_id flow, instant now) const
{
    const auto found = stats_.find(service);
    if (found == stats_.end() || found->second.empty()) {
        return rank::max();
    }
    rank best = rank::from_value(0);
    for (const auto& [instance, s] : found->second) {
        best = std::max(best, effective_level(service, flow, instance, s, now));
    }
    return best;
}

millis target_chooser::expected_time(const service_name& service) const
{
    const auto found = stats_.find(service);
    millis best;
    if (found == stats_.end()) {
        return best;
    }
    for (const auto& [instance, s] : found->second) {
        const bool reported = s.expected_time > millis(0);
        if (reported && (best == millis(0) || s.expected_time < best)) {
            best = s.expected_time;
        }
    }
    return best;
}

} // namespace fescuedyke
