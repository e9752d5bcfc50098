#include "fescuedyke/routing/flow_levels.h"

#include "fescuedyke/admission/level.h"

namespace fescuedyke {

namespace {

constexpr millis level_lifetime{2000};
constexpr millis dependency_lifetime{5000};
constexpr millis hops_lifetime{60'000};

} // namespace

void flow_levels::on_reply(const service_name& service, flow_id flow, const instance_id& instance,
                           rank level, instant now)
{
    const key k{service, flow, instance};
    // A level that admits every call is equivalent to no entry.
    if (level == rank::max()) {
        levels_.erase(k);
        return;
    }
    levels_[k] = {level, now};
}

rank flow_levels::level(const service_name& service, flow_id flow, const instance_id& instance,
                        instant now) const
{
    const auto found = levels_.find({service, flow, instance});
    if (found == levels_.end()) {
        return rank::max();
    }
    return relaxed_level(found->second.level, now - found->second.reported_at);
}

void flow_levels::remove_expired(instant now)
{
    for (auto it = levels_.begin(); it != levels_.end();) {
        it = now - it->second.reported_at > level_lifetime ? levels_.erase(it) : std::next(it);
    }
}

void flow_dependencies::on_call(flow_id flow, const service_name& service, instant now)
{
    last_calls_[flow][service] = now;
}

void flow_dependencies::on_reply(flow_id flow, const service_name& service, int hops_below,
                                 instant now)
{
    hops_[{flow, service}] = {hops_below, now};
}

int flow_dependencies::hops_below(flow_id flow, const service_name& service, int default_hops) const
{
    const auto found = hops_.find({flow, service});
    return found == hops_.end() ? default_hops : found->second.hops;
}

std::set<service_name> flow_dependencies::services(flow_id flow, instant now) const
{
    std::set<service_name> result;
    const auto found = last_calls_.find(flow);
    if (found == last_calls_.end()) {
        return result;
    }
    for (const auto& [service, called_at] : found->second) {
        if (now - called_at <= dependency_lifetime) {
            result.insert(service);
        }
    }
    return result;
}

void flow_dependencies::remove_expired(instant now)
{
    for (auto flow = last_calls_.begin(); flow != last_calls_.end();) {
        auto& services = flow->second;
        for (auto it = services.begin(); it != services.end();) {
            it = now - it->second > dependency_lifetime ? services.erase(it) : std::next(it);
        }
        flow = services.empty() ? last_calls_.erase(flow) : std::next(flow);
    }
    for (auto it = hops_.begin(); it != hops_.end();) {
        it = now - it->second.reported_at > hops_lifetime ? hops_.erase(it) : std::next(it);
    }
}

} // namespace fescuedyke
