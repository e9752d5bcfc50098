#ifndef FESCUEDYKE_ADMISSION_CONCURRENCY_LIMIT_H
#define FESCUEDYKE_ADMISSION_CONCURRENCY_LIMIT_H

#include "fescuedyke/support/time.h"

/// \file
/// The number of calls that one target is given at a time.

namespace fescuedyke {

/// Adapts between 1 and the slots that the target announced. The limit goes down when the target
/// sheds or when a lower limit is found, by trial, to give the same throughput with a shorter
/// service time; it goes up a little at a time while neither is the case.
class concurrency_limit {
public:
    /// Unless \p adapts, the limit stays at the slots.
    explicit concurrency_limit(int slots, bool adapts = true);

    int current() const { return static_cast<int>(limit_); }
    int slots() const { return slots_; }

    /// Smoothed service time in milliseconds; 0 until the first completion.
    double service_time() const { return service_time_; }
    /// Smallest service time seen of late, in milliseconds.
    double min_service_time() const { return floor_time_; }

    /// The target answered after \p took while \p in_progress calls were with it.
    void on_completed(instant now, millis took, int in_progress);

    /// The target itself refused a call, or did not answer in time.
    void on_target_shed(instant now, int in_progress);

private:
    enum class trial_state { none, measuring, lowered };

    void close_window(instant now);
    void judge_trial(double throughput);

    int slots_;
    bool adapts_;
    double limit_;
    double service_time_ = 0;
    double floor_time_ = 0;
    instant window_start_;
    instant last_cut_;
    instant next_trial_;
    int completed_in_window_ = 0;
    bool saturated_in_window_ = false;
    trial_state trial_ = trial_state::none;
    double limit_before_trial_ = 0;
    double throughput_before_trial_ = 0;
};

} // namespace fescuedyke

#endif
