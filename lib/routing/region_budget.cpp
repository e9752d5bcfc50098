#include "fescuedyke/routing/region_budget.h"

#include <algorithm>

namespace fescuedyke {

region_budget::region_budget(std::uint64_t bytes_per_second, std::uint64_t burst)
    : rate_per_ms_(static_cast<double>(bytes_per_second) / 1000.0),
      burst_(static_cast<double>(burst))
{
}

double region_budget::tokens_at(const bucket& b, instant now) const
{
    const double elapsed = static_cast<double>((now - b.refilled_at).count());
    return std::min(burst_, b.tokens + elapsed * rate_per_ms_);
}

bool region_budget::allows(const region_name& region, std::uint64_t bytes, instant now) const
{
    const auto found = buckets_.find(region);
    const double tokens = found == buckets_.end() ? burst_ : tokens_at(found->second, now);
    return tokens >= static_cast<double>(bytes);
}

void region_budget::spend(const region_name& region, std::uint64_t bytes, instant now)
{
    const auto found = buckets_.emplace(region, bucket{burst_, now}).first;
    bucket& b = found->second;
    b.tokens = tokens_at(b, now) - static_cast<double>(bytes);
    b.refilled_at = now;
}

} // namespace fescuedyke
