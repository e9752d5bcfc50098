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
    // Rounded to the nearest: a single retry goes down, where more hops are than this one.
    const int share = (2 * left_ * hops + hops + 1) / (2 * (hops + 1));
    left_ -= share;
    return share;
}

void retry_allowance::return_unused(int unused, int lent)
{
    left_ += std::clamp(unused, 0, lent);
}

retry_budget::retry_budget(double share, double most) : share_(share), most_(most), tokens_(most) {}

void retry_budget::on_success()
{
    tokens_ = std::min(most_, tokens_ + share_);
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
