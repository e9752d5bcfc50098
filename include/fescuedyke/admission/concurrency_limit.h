#ifndef FESCUEDYKE_ADMISSION_CONCURRENCY_LIMIT_H
#define FESCUEDYKE_ADMISSION_CONCURRENCY_LIMIT_H

#include "fescuedyke/support/time.h"

/// \file
/// The adaptive limit on the number of concurrent calls to one target.

namespace fescuedyke {

/// A concurrency limit between 1 and the slots that the target announced. The limit decreases when
/// the target sheds calls, or when a trial shows that a lower limit gives the same throughput with
/// a shorter service time. Otherwise it increases in small steps.
class concurrency_limit {
public:
    /// If \p adaptive is false, the limit always equals the slots.
    explicit concurrency_limit(int slots, bool adaptive = true);

    int current() const { return static_cast<int>(limit_); }
    int slots() const { return slots_; }

    /// Returns the moving average of the service time in milliseconds; 0 until the first
    /// completion.
    double service_time() const { return service_time_; }
    /// Returns the recent minimum of the service time in milliseconds.
    double min_service_time() const { return min_service_time_; }

    /// Records a response after \p elapsed, with \p running calls at the target.
    void on_completed(instant now, millis elapsed, int running);

    /// Records that the target refused one of \p running calls.
    void on_target_shed(instant now, int running);

private:
    enum class trial_state { none, measuring, lowered };

    void close_window(instant now);
    void evaluate_trial(double throughput);

    int slots_;
    bool adaptive_;
    double limit_;
    double service_time_ = 0;
    double min_service_time_ = 0;
    instant window_start_;
    instant last_decrease_;
    instant next_trial_;
    int completed_in_window_ = 0;
    bool saturated_in_window_ = false;
    trial_state trial_ = trial_state::none;
    double limit_before_trial_ = 0;
    double throughput_before_trial_ = 0;
};

} // namespace fescuedyke

#endif
