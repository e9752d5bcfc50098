#include "fescuedyke/retry/allowance.h"
#include "fescuedyke/retry/retry_budget.h"

#include <algorithm>

namespace fescuedyke {

bool retry_allowance::spend()
{
    if (left_ == 0) {
        return false;
    }
    --left_;
    return true;
}

int retry_allowance::lend(int hops_below)
{
    const int hops = std::max(hops_below, 0);
    // Rounded to nearest, so that a single retry is lent to the hops below instead of kept here.
    const int share = (2 * left_ * hops + hops + 1) / (2 * (hops + 1));
    left_ -= share;
    return share;
}

void retry_allowance::return_unused(int unused, int lent)
{
    left_ += std::clamp(unused, 0, lent);
}

retry_budget::retry_budget(double tokens_per_call, double max_tokens)
    : tokens_per_call_(tokens_per_call), max_tokens_(max_tokens), tokens_(max_tokens)
{
}

void retry_budget::refill()
{
    tokens_ = std::min(max_tokens_, tokens_ + tokens_per_call_);
}

bool retry_budget::spend()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace fescuedyke
