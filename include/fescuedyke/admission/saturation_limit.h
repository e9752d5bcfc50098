#ifndef FESCUEDYKE_ADMISSION_SATURATION_LIMIT_H
#define FESCUEDYKE_ADMISSION_SATURATION_LIMIT_H

#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/moving_estimate.h"
#include "fescuedyke/support/time.h"

#include <map>

/// \file
/// A concurrency limit for targets that become slower when almost all of their slots are in use.

namespace fescuedyke {

/// Compares the service times of runs that started at different occupancies and chooses, among the
/// highest occupancies, the one with the greatest throughput. Service times are compared with those
/// of the same flow at lower occupancy, so that a mixture of short and long calls does not mislead
/// it.
class saturation_limit {
public:
    explicit saturation_limit(int slots);

    /// Returns the maximum number of concurrent calls.
    int current() const { return limit_; }

    /// Records a response after \p elapsed to a call of \p flow that was dispatched when \p running
    /// calls, itself included, were running.
    void on_completed(flow_id flow, int running, millis elapsed, instant now);

private:
    /// Weights of new samples in the averages.
    static constexpr double reference_weight = 0.05;
    static constexpr double level_weight = 0.03;

    struct level_times {
        /// Service time relative to that of the same flow at lower occupancy.
        moving_estimate relative{level_weight};
        int samples = 0;
        instant last_sample{};
    };
    struct flow_times {
        moving_estimate service_time{reference_weight};
        int samples = 0;
    };

    /// Returns the relative throughput at \p running calls. A level without enough recent samples
    /// counts as not slowed, so that it is tried.
    double throughput(int running, instant now) const;
    void choose_limit(instant now);

    int slots_;
    /// The least limit; runs at lower occupancies are the reference.
    int min_limit_;
    int limit_;
    std::map<flow_id, flow_times> reference_;
    std::map<int, level_times> levels_;
};

} // namespace fescuedyke

#endif
