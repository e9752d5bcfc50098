#ifndef FESCUEDYKE_METRICS_TIME_SUMMARY_H
#define FESCUEDYKE_METRICS_TIME_SUMMARY_H

#include "fescuedyke/support/time.h"

#include <cstdint>
#include <memory>

/// \file
/// Summaries of measured times, by Boost.Accumulators.

namespace fescuedyke {

/// Count, mean, greatest and estimated quantiles of all times added.
class time_summary {
public:
    time_summary();
    ~time_summary();
    time_summary(const time_summary&) = delete;
    time_summary& operator=(const time_summary&) = delete;

    void add(millis time);

    std::uint64_t count() const;
    /// All in milliseconds; 0 while nothing was added.
    double mean() const;
    double max() const;
    double median() const;
    double percentile_99() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

} // namespace fescuedyke

#endif
