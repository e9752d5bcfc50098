#include "fescuedyke/admission/saturation_limit.h"

#include <algorithm>
#include <cmath>

namespace fescuedyke {

namespace {

/// Least limit as a fraction of the slots.
constexpr double min_limit_share = 0.85;

/// Number of samples from which an average is used.
constexpr int min_reference_samples = 20;
constexpr int min_level_samples = 40;

/// Time after which an occupancy without samples is tried again.
constexpr millis level_lifetime{10'000};

/// Relative gain in throughput that justifies another limit.
constexpr double min_gain = 0.05;

/// Shortest service time that is compared, in milliseconds: shorter ones are measured too coarsely.
constexpr double min_compared_time = 5;

} // namespace

saturation_limit::saturation_limit(int slots)
    : slots_(std::max(1, slots)),
      min_limit_(std::max(1, static_cast<int>(std::ceil(slots_ * min_limit_share)))), limit_(slots_)
{
}

void saturation_limit::on_completed(flow_id flow, int running, millis elapsed, instant now)
{
    const auto time = static_cast<double>(elapsed.count());
    flow_times& reference = find_or_add(reference_, flow);
    if (running < min_limit_) {
        reference.service_time.add(time);
        ++reference.samples;
        return;
    }
    if (reference.samples < min_reference_samples ||
        reference.service_time.mean() < min_compared_time) {
        return;
    }
    level_times& level = levels_[running];
    if (now - level.last_sample > level_lifetime) {
        level = {};
    }
    level.relative.add(time / reference.service_time.mean());
    level.last_sample = now;
    if (++level.samples >= min_level_samples) {
        choose_limit(now);
    }
}

double saturation_limit::throughput(int running, instant now) const
{
    const auto found = levels_.find(running);
    const bool known = found != levels_.end() && found->second.samples >= min_level_samples &&
                       now - found->second.last_sample <= level_lifetime;
    return known ? running / std::max(1.0, found->second.relative.mean()) : running;
}

void saturation_limit::choose_limit(instant now)
{
    int best = limit_;
    for (int running = min_limit_; running <= slots_; ++running) {
        const double gain = running > best ? 1.0 : 1 + min_gain;
        if (throughput(running, now) > throughput(best, now) * gain) {
            best = running;
        }
    }
    limit_ = best;
}

} // namespace fescuedyke
