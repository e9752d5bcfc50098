#include "fescuedyke/daemon/graceful_shutdown.h"

#include <algorithm>

namespace fescuedyke {

void graceful_shutdown::begin(const shutdown_limits& limits, instant now)
{
    if (phase_ != shutdown_phase::running) {
        return;
    }
    limits_ = limits;
    // The last request that is served must have time to end.
    limits_.serving_time = std::min(limits.serving_time, millis(limits.drain_limit.count() / 2));
    phase_ = shutdown_phase::serving;
    began_at_ = now;
    advance(now);
}

void graceful_shutdown::advance(instant now)
{
    if (phase_ == shutdown_phase::serving && now - began_at_ >= limits_.serving_time) {
        phase_ = shutdown_phase::refusing;
        steps_.refuse_requests();
    }
    const bool limit_reached = now - began_at_ >= limits_.drain_limit;
    if (phase_ == shutdown_phase::refusing && (limit_reached || !steps_.has_open_requests())) {
        phase_ = shutdown_phase::ending;
        drained_at_ = now;
        steps_.begin_end();
        // The refusals and the last frames are sent in the next iterations of the event loop.
        return;
    }
    const bool final_time_over = now - drained_at_ >= limits_.final_time;
    if (phase_ == shutdown_phase::ending && (final_time_over || steps_.may_end())) {
        phase_ = shutdown_phase::ended;
        steps_.end();
    }
}

} // namespace fescuedyke
