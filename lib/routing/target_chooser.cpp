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

/// Fraction of its full load that a target receives at the start of its warm-up.
constexpr double min_warm_up_share = 0.1;

constexpr int max_ejection_doublings = 8;

/// Time for which a target that accepts no calls is skipped, unless it leaves the view earlier.
constexpr millis unavailable_time{1000};

/// Size of the heads of a request and its response, in bytes, which is added to that of the bodies.
constexpr double head_bytes = 512;

constexpr double bytes_per_kib = 1024;

/// A request of up to this many bytes goes to the target that responds soonest, even if a nearer
/// one meets the objective: it costs little, and is often one of several calls that a target makes
/// one after the other.
constexpr double small_request_bytes = 2048;

/// A target is expected to meet an objective if its mean response time and this many mean
/// deviations do.
constexpr double deviations_in_objective = 2;

/// Share of the expected response time by which a farther target must respond sooner, in addition
/// to the cost of the bytes.
constexpr double min_relative_gain = 0.1;

/// One in this many calls is sent to farther targets whose response times are not known.
constexpr std::uint64_t exploration_interval = 32;

/// Resolution of random decisions.
constexpr std::uint64_t random_steps = 1024;

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
    memory_.on_view(view, now);
    remove_expired(now);
    has_view_ = true;
}

void target_chooser::remove_expired(instant now)
{
    flow_levels_.remove_expired(now);
    response_times_.remove_expired(now);
    memory_.remove_expired(now);
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
        if (now < stats->avoided_until || memory_.has_left(target)) {
            continue;
        }
        result.push_back({&target, stats});
    }
    return result;
}

double target_chooser::cost(const candidate& c, flow_id flow, instant now) const
{
    const std::optional<expected_response> response = response_times_.expected(*c.info, flow, now);
    const double load = utilization(c, now);
    return response ? response->mean * (1 + load) : load;
}

const target_chooser::candidate&
target_chooser::pick_cheaper(const std::vector<candidate>& candidates, flow_id flow, instant now,
                             random_source& random) const
{
    const std::size_t first = draw_below(random, candidates.size());
    if (candidates.size() == 1) {
        return candidates[first];
    }
    std::size_t second = draw_below(random, candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return cost(candidates[first], flow, now) <= cost(candidates[second], flow, now)
               ? candidates[first]
               : candidates[second];
}

const target_chooser::candidate*
target_chooser::find_faster(const candidate& nearest, const std::vector<candidate>& farther,
                            const route_request& request, instant now, random_source& random) const
{
    const std::optional<expected_response> near =
        response_times_.expected(*nearest.info, request.flow, now);
    if (!near || farther.empty()) {
        return nullptr;
    }
    const double bytes = head_bytes + std::max(response_times_.mean_bytes(request.flow),
                                               static_cast<double>(request.bytes));
    const double late = near->mean + deviations_in_objective * near->deviation;
    const auto limit =
        static_cast<double>(std::min(request.latency_objective, request.time_left).count());
    if (bytes > small_request_bytes && late <= limit) {
        return nullptr;
    }
    const candidate& far = pick_cheaper(farther, request.flow, now, random);
    const bool is_remote = distance(*far.info) == other_region;
    const millis cost_per_kib =
        is_remote ? settings_.region_cost_per_kib : settings_.zone_cost_per_kib;
    const double min_gain = static_cast<double>(cost_per_kib.count()) * bytes / bytes_per_kib +
                            min_relative_gain * near->mean;
    const std::optional<expected_response> other =
        response_times_.expected(*far.info, request.flow, now);
    if (!other) {
        const bool explore = near->mean > min_gain && draw_below(random, exploration_interval) == 0;
        return explore ? &far : nullptr;
    }
    // Only as many calls as the gain justifies: otherwise all nodes would move to one target.
    const double gain = near->mean - other->mean - min_gain;
    const auto draw = static_cast<double>(draw_below(random, random_steps)) / random_steps;
    return gain > draw * min_gain ? &far : nullptr;
}

const target_chooser::candidate*
target_chooser::pick(const std::vector<candidate> (&by_distance)[distance_count],
                     const route_request& request, instant now, random_source& random) const
{
    const candidate* best = nullptr;
    for (const std::vector<candidate>& group : by_distance) {
        if (group.empty()) {
            continue;
        }
        if (best == nullptr) {
            best = &pick_cheaper(group, request.flow, now, random);
            if (settings_.region_cost_per_kib == millis(0)) {
                return best;
            }
            continue;
        }
        if (const candidate* faster = find_faster(*best, group, request, now, random)) {
            best = faster;
        }
    }
    return best;
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
    if (const candidate* chosen = pick(by_distance, request, now, random)) {
        return {*chosen->info, route_failure::no_target};
    }
    if (!saturated.empty()) {
        return {*pick_cheaper(saturated, request.flow, now, random).info, route_failure::no_target};
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

void target_chooser::on_reply(const target_info& target, flow_id flow, const load_report& load,
                              const attempt_times& times, std::uint64_t bytes)
{
    const instant now = times.replied;
    response_times_.on_reply(target, flow, load, now - times.sent, bytes, now);
    target_stats* stats = find_stats(target.service, target.instance);
    if (stats == nullptr) {
        return;
    }
    stats->in_flight = std::max(0, stats->in_flight - 1);
    stats->limit = load.limit > 0 ? load.limit : stats->limit;
    stats->level = load.level;
    stats->level_reported_at = now;
    stats->expected_time = load.expected_time;
    flow_levels_.on_reply(target.service, flow, target.instance, load.chain_level, now);
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
