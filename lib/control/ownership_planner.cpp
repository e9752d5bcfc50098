#include "fescuedyke/control/ownership_planner.h"

#include <algorithm>
#include <set>

namespace fescuedyke {

ownership_planner::ownership_planner(const ownership_settings& settings) : settings_(settings) {}

void ownership_planner::on_elected(instant now)
{
    leases_.clear();
    unknown_leases_expire_at_ = now + settings_.lease + settings_.clock_margin;
}

millis ownership_planner::grant_lease(const instance_id& instance, incarnation node_incarnation,
                                      std::uint64_t table_version, instant now)
{
    lease_state& lease = leases_[{instance, node_incarnation}];
    lease.expires_at = now + settings_.lease + settings_.clock_margin;
    lease.confirmed_table_version = std::max(lease.confirmed_table_version, table_version);
    return settings_.lease;
}

bool ownership_planner::lease_has_ended(const lease_holder& h, const std::vector<node_record>& live,
                                        instant now) const
{
    // A node releases its buckets before it reports that its target is draining.
    const bool draining = std::any_of(live.begin(), live.end(), [&](const node_record& r) {
        return r.instance == h.first && r.node_incarnation == h.second && r.target &&
               r.target->state == target_state::draining;
    });
    if (draining) {
        return true;
    }
    const auto found = leases_.find(h);
    return now >= (found == leases_.end() ? unknown_leases_expire_at_ : found->second.expires_at);
}

bool ownership_planner::may_assign(const bucket_grant& g, const std::vector<node_record>& live,
                                   instant now) const
{
    if (!g.owner.value().empty()) {
        return lease_has_ended({g.owner, g.owner_incarnation}, live, now);
    }
    if (g.epoch == 0) {
        return true;
    }
    const lease_holder former{g.former_owner, g.former_incarnation};
    const auto found = leases_.find(former);
    const bool confirmed =
        found != leases_.end() && found->second.confirmed_table_version >= g.changed_in;
    return confirmed || lease_has_ended(former, live, now);
}

ownership_planner::candidate_list
ownership_planner::candidates(const bucket_home& home, const std::vector<node_record>& live,
                              instant now) const
{
    candidate_list result;
    for (const node_record& r : live) {
        const bool serves_home = r.target && r.target->service == home.first;
        const bool in_home_region = home.second.value().empty() || r.location.region == home.second;
        if (!serves_home || !in_home_region || r.target->state != target_state::ready) {
            continue;
        }
        const auto lease = leases_.find({r.instance, r.node_incarnation});
        if (lease != leases_.end() && now < lease->second.expires_at - settings_.clock_margin) {
            result.push_back({r.instance, r.node_incarnation, 0});
        }
    }
    return result;
}

void ownership_planner::rebalance(const bucket_grants& grants, candidate_list& all_candidates,
                                  owner_change& change) const
{
    const std::size_t fair_share =
        (buckets_per_home + all_candidates.size() - 1) / all_candidates.size();
    const bool unbalanced =
        std::any_of(all_candidates.begin(), all_candidates.end(),
                    [&](const candidate& c) { return c.buckets + 1 < fair_share; });
    if (!unbalanced) {
        return;
    }
    for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
        const auto owner =
            std::find_if(all_candidates.begin(), all_candidates.end(), [&](const candidate& c) {
                return c.instance == grants[i].owner &&
                       c.node_incarnation == grants[i].owner_incarnation;
            });
        if (owner != all_candidates.end() && owner->buckets > fair_share &&
            change.grants.size() < settings_.max_moved_buckets) {
            --owner->buckets;
            change.grants.push_back({i, {}, {}});
        }
    }
}

std::optional<owner_change> ownership_planner::plan_home(const bucket_home& home,
                                                         const bucket_grants& grants,
                                                         const std::vector<node_record>& live,
                                                         instant now) const
{
    candidate_list all_candidates = candidates(home, live, now);
    if (all_candidates.empty()) {
        return std::nullopt;
    }
    for (candidate& c : all_candidates) {
        c.buckets = static_cast<std::size_t>(
            std::count_if(grants.begin(), grants.end(), [&](const bucket_grant& g) {
                return g.owner == c.instance && g.owner_incarnation == c.node_incarnation;
            }));
    }
    owner_change change;
    change.home = home;
    bool revocation_pending = false;
    for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
        const bucket_grant& g = grants[i];
        if (!may_assign(g, live, now)) {
            revocation_pending = revocation_pending || g.owner.value().empty();
            continue;
        }
        const auto least_loaded = std::min_element(
            all_candidates.begin(), all_candidates.end(),
            [](const candidate& a, const candidate& b) { return a.buckets < b.buckets; });
        ++least_loaded->buckets;
        change.grants.push_back({i, least_loaded->instance, least_loaded->node_incarnation});
    }
    if (change.grants.empty() && !revocation_pending) {
        rebalance(grants, all_candidates, change);
    }
    return change.grants.empty() ? std::nullopt : std::optional<owner_change>(change);
}

std::optional<owner_change> ownership_planner::plan(const bucket_table& table,
                                                    const std::vector<node_record>& live,
                                                    instant now) const
{
    std::set<bucket_home> homes;
    for (const node_record& r : live) {
        if (r.target) {
            homes.insert({r.target->service, region_name()});
            homes.insert({r.target->service, r.location.region});
        }
    }
    for (const bucket_home& home : homes) {
        const auto found = table.homes.find(home);
        const bucket_grants grants = found == table.homes.end() ? bucket_grants{} : found->second;
        if (std::optional<owner_change> change = plan_home(home, grants, live, now)) {
            return change;
        }
    }
    return std::nullopt;
}

} // namespace fescuedyke
