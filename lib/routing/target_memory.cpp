#include "fescuedyke/routing/target_memory.h"

namespace fescuedyke {

namespace {

/// Time for which a target is remembered that is not in the view.
constexpr millis memory_time{600'000};

} // namespace

target_memory::key target_memory::key_of(const target_info& target)
{
    return {target.service, target.identity, target.target_incarnation};
}

void target_memory::on_rate_limit(const target_info& target, std::optional<call_rate> limit,
                                  instant now)
{
    const auto found = records_.find(key_of(target));
    if (found != records_.end()) {
        found->second.rate_limit = limit;
        found->second.seen_at = now;
    }
    else if (limit && !target.identity.empty()) {
        records_[key_of(target)] = {limit, false, now};
    }
}

std::optional<call_rate> target_memory::rate_limit(const target_info& target) const
{
    const auto found = records_.find(key_of(target));
    return found == records_.end() ? std::nullopt : found->second.rate_limit;
}

void target_memory::on_left(const target_info& target, instant now)
{
    if (!target.identity.empty()) {
        record& r = records_[key_of(target)];
        r.has_left = true;
        r.seen_at = now;
    }
}

bool target_memory::has_left(const target_info& target) const
{
    const auto found = records_.find(key_of(target));
    return found != records_.end() && found->second.has_left;
}

void target_memory::on_view(const target_view& view, instant now)
{
    if (records_.empty()) {
        return;
    }
    for (const auto& [service, targets] : view.services) {
        for (const target_info& target : targets) {
            const auto found = records_.find(key_of(target));
            if (found != records_.end()) {
                found->second.seen_at = now;
            }
        }
    }
}

void target_memory::remove_expired(instant now)
{
    for (auto it = records_.begin(); it != records_.end();) {
        it = now - it->second.seen_at > memory_time ? records_.erase(it) : std::next(it);
    }
}

} // namespace fescuedyke
