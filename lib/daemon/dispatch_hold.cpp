#include "fescuedyke/daemon/dispatch_hold.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Maximum time for which a call is held. Longer than a round trip to a leader in another region.
constexpr millis max_hold_time{300};

} // namespace

std::vector<dispatch_call> dispatch_hold::end(instant now)
{
    holds_ = false;
    std::vector<dispatch_call> released;
    for (held_call& held : std::exchange(calls_, {})) {
        held.call.time_left = held.call.time_left - (now - held.since);
        released.push_back(std::move(held.call));
    }
    return released;
}

bool dispatch_hold::try_hold(const dispatch_call& call, instant now)
{
    if (holds_) {
        calls_.push_back({call, now});
    }
    return holds_;
}

bool dispatch_hold::cancel(inbound_id call)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(),
                                    [&](const held_call& h) { return h.call.call == call; });
    if (found == calls_.end()) {
        return false;
    }
    calls_.erase(found);
    return true;
}

std::vector<inbound_id> dispatch_hold::take_expired(instant now)
{
    std::vector<inbound_id> expired;
    while (!calls_.empty() && now - calls_.front().since >= max_hold_time) {
        expired.push_back(calls_.front().call.call);
        calls_.erase(calls_.begin());
    }
    return expired;
}

} // namespace fescuedyke
