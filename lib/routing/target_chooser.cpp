#include "fescuedyke/routing/target_chooser.h"

#include "fescuedyke/admission/level.h"
#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fescuedyke {

namespace {

/// Distances from this node to a target.
constexpr int same_zone = 0;
constexpr int same_region = 1;
constexpr int other_region = 2;
constexpr int distance_count = 3;

/// Share of its work that a target gets at the start of its warm-up.
constexpr double least_warm_share = 0.1;

constexpr int most_ejection_doublings = 8;

/// How long a target that takes no work is passed over, unless membership takes it out before.
constexpr millis absent_time{1000};

} // namespace

target_chooser::target_chooser(locality self_place, instance_id self,
                               const routing_settings& settings, region_budget& budget)
    : place_(std::move(self_place)), self_(std::move(self)), settings_(settings), budget_(budget)
{
}

void target_chooser::on_view(const target_view& view, instant now)
{
    targets_ = view.services;
    std::map<service_name, std::map<instance_id, target_stats>> stats;
    for (const auto& [service, targets] : targets_) {
        for (const target_info& target : targets) {
            const target_stats* known = stats_of(service, target.instance);
            target_stats& s = stats[service][target.instance];
            if (known != nullptr) {
                s = *known;
                continue;
            }
            // Targets of the first view have been there before; only later ones are new.
            s.first_seen = seen_a_view_ ? now : now - settings_.warm_up;
            s.limit = target.slots;
        }
    }
    stats_ = std::move(stats);
    flow_levels_.evict_expired(now);
    seen_a_view_ = true;
}

target_stats* target_chooser::stats_of(const service_name& service, const instance_id& instance)
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
    if (target.place.region != place_.region) {
        return other_region;
    }
    return target.place.zone == place_.zone ? same_zone : same_region;
}

bool target_chooser::in_subset(const std::vector<target_info>& targets,
                               const target_info& target) const
{
    // Rendezvous hashing: a target is taken when fewer than the subset's size score higher.
    const std::uint64_t seed = stable_hash(self_.value());
    const std::uint64_t own = stable_hash(target.instance.value(), seed);
    std::size_t higher = 0;
    for (const target_info& other : targets) {
        const bool rival = other.place.region == target.place.region;
        higher += rival && stable_hash(other.instance.value(), seed) > own ? 1 : 0;
    }
    return higher < settings_.subset_size;
}

rank target_chooser::level_of(const service_name& service, flow_id flow,
                              const instance_id& instance, const target_stats& stats,
                              instant now) const
{
    const rank own = relaxed_level(stats.level, now - stats.level_reported_at);
    return std::min(own, flow_levels_.level(service, flow, instance, now));
}

bool target_chooser::is_saturated(const candidate& c) const
{
    return c.stats->in_flight >= std::max(1, c.stats->limit);
}

double target_chooser::load_of(const candidate& c, instant now) const
{
    const double age = static_cast<double>((now - c.stats->first_seen).count());
    const double warm = age / std::max(1.0, static_cast<double>(settings_.warm_up.count()));
    const double share = std::clamp(warm, least_warm_share, 1.0);
    const double limit = std::max(1, c.stats->limit) * share;
    return (c.stats->in_flight + 1) / limit;
}

std::vector<target_chooser::candidate> target_chooser::usable(const route_request& request,
                                                              instant now)
{
    std::vector<candidate> result;
    const auto found = targets_.find(request.service);
    if (found == targets_.end()) {
        return result;
    }
    for (const target_info& target : found->second) {
        const bool is_far = distance(target) == other_region;
        const bool far_allowed =
            request.cross_region && budget_.allows(target.place.region, request.bytes, now);
        if (target.state != target_state::ready || request.tried.count(target.instance) != 0 ||
            (is_far && !far_allowed) || !in_subset(found->second, target)) {
            continue;
        }
        target_stats* stats = stats_of(request.service, target.instance);
        assert(stats != nullptr && "every target in view has stats");
        if (now < stats->avoided_until) {
            continue;
        }
        result.push_back({&target, stats});
    }
    return result;
}

const target_chooser::candidate& target_chooser::better_of_two(const std::vector<candidate>& from,
                                                               instant now,
                                                               random_source& random) const
{
    const std::size_t first = draw_below(random, from.size());
    if (from.size() == 1) {
        return from[first];
    }
    std::size_t second = draw_below(random, from.size() - 1);
    second += second >= first ? 1 : 0;
    return load_of(from[first], now) <= load_of(from[second], now) ? from[first] : from[second];
}

std::optional<target_chooser::candidate>
target_chooser::trial_candidate(const std::vector<candidate>& all, const route_request& request,
                                instant now) const
{
    if (!request.idempotent) {
        return std::nullopt;
    }
    for (const candidate& c : all) {
        if (c.stats->ejected && now >= c.stats->ejected_until && !c.stats->probe_in_flight) {
            return c;
        }
    }
    return std::nullopt;
}

route_choice target_chooser::choose(const route_request& request, instant now,
                                    random_source& random)
{
    const std::vector<candidate> all = usable(request, now);
    if (const std::optional<candidate> trial = trial_candidate(all, request, now)) {
        trial->stats->probe_in_flight = true;
        return {*trial->info, route_failure::no_target};
    }
    std::vector<candidate> by_distance[distance_count];
    std::vector<candidate> saturated;
    bool any_healthy = false;
    for (const candidate& c : all) {
        if (c.stats->ejected) {
            continue;
        }
        any_healthy = true;
        const instance_id& instance = c.info->instance;
        if (request.priority_rank >
            level_of(request.service, request.flow, instance, *c.stats, now)) {
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
            return {*better_of_two(group, now, random).info, route_failure::no_target};
        }
    }
    if (!saturated.empty()) {
        return {*better_of_two(saturated, now, random).info, route_failure::no_target};
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
        const rank level = level_of(request.service, request.flow, entry.first, s, now);
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
    if (target_stats* stats = stats_of(service, instance)) {
        ++stats->in_flight;
    }
}

void target_chooser::recover(target_stats& stats)
{
    stats.consecutive_failures = 0;
    stats.ejections = stats.ejected ? stats.ejections : 0;
    stats.ejected = false;
    stats.probe_in_flight = false;
}

void target_chooser::on_reply(const service_name& service, flow_id flow,
                              const instance_id& instance, const load_report& load, instant now)
{
    target_stats* stats = stats_of(service, instance);
    if (stats == nullptr) {
        return;
    }
    stats->in_flight = std::max(0, stats->in_flight - 1);
    stats->limit = load.limit > 0 ? load.limit : stats->limit;
    stats->level = load.level;
    stats->level_reported_at = now;
    stats->expected_time = load.expected_time;
    flow_levels_.on_reply(service, flow, instance, load.chain_level, now);
    recover(*stats);
}

void target_chooser::on_unavailable(const service_name& service, const instance_id& instance,
                                    instant now)
{
    if (target_stats* stats = stats_of(service, instance)) {
        stats->avoided_until = now + absent_time;
    }
}

void target_chooser::on_no_reply(const service_name& service, const instance_id& instance,
                                 bool failed, instant now)
{
    target_stats* stats = stats_of(service, instance);
    if (stats == nullptr) {
        return;
    }
    stats->in_flight = std::max(0, stats->in_flight - 1);
    const bool trial_failed = failed && stats->ejected;
    stats->probe_in_flight = false;
    stats->consecutive_failures += failed ? 1 : 0;
    if (trial_failed || stats->consecutive_failures >= settings_.consecutive_failures) {
        eject(service, *stats, now);
    }
}

void target_chooser::eject(const service_name& service, target_stats& stats, instant now)
{
    const auto& all = stats_[service];
    const auto ejected = std::count_if(all.begin(), all.end(),
                                       [](const auto& entry) { return entry.second.ejected; });
    const double share = std::floor(static_cast<double>(all.size()) * settings_.max_ejected_share);
    const std::int64_t least = all.size() > 1 ? 1 : 0;
    const std::int64_t allowed = std::max(least, static_cast<std::int64_t>(share));
    // When most targets look bad, this node's own view is the suspect.
    if (!stats.ejected && ejected >= allowed) {
        return;
    }
    const int doublings = std::min(stats.ejections, most_ejection_doublings);
    const millis length = settings_.base_ejection_time * (std::int64_t{1} << doublings);
    stats.ejected = true;
    stats.ejected_until = now + std::min(length, settings_.max_ejection_time);
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
        best = std::max(best, level_of(service, flow, instance, s, now));
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
        const bool told = s.expected_time > millis(0);
        if (told && (best == millis(0) || s.expected_time < best)) {
            best = s.expected_time;
        }
    }
    return best;
}

} // namespace fescuedyke
