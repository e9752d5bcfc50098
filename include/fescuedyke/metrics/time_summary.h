#ifndef FESCUEDYKE_METRICS_TIME_SUMMARY_H
#define FESCUEDYKE_METRICS_TIME_SUMMARY_H

#include "fescuedyke/support/time.h"

#include <cstdint>
#include <memory>

/// \file
/// Summary statistics of measured durations, computed with Boost.Accumulators.

namespace fescuedyke {

/// Count, mean, maximum and estimated quantiles of all durations added.
class time_summary {
public:
    time_summary();
    ~time_summary();
    time_summary(const time_summary&) = delete;
    time_summary& operator=(const time_summary&) = delete;

    void add(millis duration);

    std::uint64_t count() const;
    /// Returns the mean in milliseconds. Like the statistics below, it is 0 if nothing was added.
    double mean() const;
    /// Returns the maximum in milliseconds.
    double max() const;
    /// Returns an estimate of the median in milliseconds.
    double median() const;
    /// Returns an estimate of the 99th percentile in milliseconds.
    double percentile_99() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

} // namespace fescuedyke

#endif
