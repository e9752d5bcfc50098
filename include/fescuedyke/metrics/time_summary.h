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

    void add(millis time);

    std::uint64_t count() const;
    /// These statistics are in milliseconds, and 0 as long as nothing was added.
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
