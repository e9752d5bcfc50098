#include "fescuedyke/admission/concurrency_limit.h"

#include <algorithm>

namespace fescuedyke {

namespace {

/// Weight of a new sample in the moving average of the service time.
constexpr double smoothing_factor = 0.1;
/// Factor by which the minimum service time grows with each response, so that an old minimum does
/// not persist.
constexpr double min_service_time_growth = 1.002;
constexpr millis measurement_window{500};
constexpr millis min_decrease_interval{200};
constexpr millis trial_interval{5000};
/// Factor by which the limit decreases when the target sheds a call.
constexpr double decrease_factor = 0.9;
/// Factor by which a trial lowers the limit.
constexpr double trial_decrease_factor = 0.85;
/// Ratio of average to minimum service time above which the target counts as congested.
constexpr double congestion_ratio = 2.0;
/// Minimum ratio of the throughput during a trial to that before it for keeping the lower limit.
constexpr double min_throughput_ratio = 0.97;
/// Increase of the limit per window, as a fraction of the slots.
constexpr double increase_per_window = 0.05;
/// Number of completions below which a window is not evaluated.
constexpr int min_completions = 20;

} // namespace

concurrency_limit::concurrency_limit(int slots, bool adaptive)
    : slots_(std::max(1, slots)), adaptive_(adaptive), limit_(slots_)
{
}

void concurrency_limit::on_completed(instant now, millis elapsed, int running)
{
    const double sample = static_cast<double>(std::max<std::int64_t>(elapsed.count(), 0));
    service_time_ =
        service_time_ == 0 ? sample : service_time_ + smoothing_factor * (sample - service_time_);
    const bool first = min_service_time_ == 0;
    min_service_time_ =
        first ? sample
              : std::min(std::max(sample, 0.5), min_service_time_ * min_service_time_growth);
    ++completed_in_window_;
    saturated_in_window_ = saturated_in_window_ || running >= current();
    if (adaptive_ && now - window_start_ >= measurement_window) {
        close_window(now);
    }
}

void concurrency_limit::on_target_shed(instant now, int running)
{
    if (!adaptive_ ||
        (now - last_decrease_ < min_decrease_interval && last_decrease_.since_origin() != 0)) {
        return;
    }
    last_decrease_ = now;
    trial_ = trial_state::none;
    const double base = std::min<double>(limit_, std::max(1, running));
    limit_ = std::max(1.0, base * decrease_factor);
}

void concurrency_limit::close_window(instant now)
{
    const double elapsed = static_cast<double>((now - window_start_).count());
    const double throughput = completed_in_window_ / std::max(elapsed, 1.0);
    const bool enough_samples = completed_in_window_ >= min_completions && saturated_in_window_;
    const bool congested = service_time_ > congestion_ratio * min_service_time_;
    window_start_ = now;
    completed_in_window_ = 0;
    saturated_in_window_ = false;
    if (trial_ != trial_state::none) {
        if (enough_samples) {
            evaluate_trial(throughput);
            next_trial_ = trial_ == trial_state::none ? now + trial_interval : now;
        }
        return;
    }
    if (enough_samples && congested && now >= next_trial_) {
        trial_ = trial_state::measuring;
        return;
    }
    if (!congested || now - last_decrease_ > trial_interval) {
        limit_ = std::min<double>(slots_, limit_ + std::max(1.0, slots_ * increase_per_window));
    }
}

void concurrency_limit::evaluate_trial(double throughput)
{
    if (trial_ == trial_state::measuring) {
        throughput_before_trial_ = throughput;
        limit_before_trial_ = limit_;
        limit_ = std::max(1.0, limit_ * trial_decrease_factor);
        trial_ = trial_state::lowered;
        return;
    }
    // Keep the lower limit if throughput did not suffer, since it shortens service times. Otherwise
    // the target is just slow, and each slot withheld from it would reduce goodput.
    if (throughput < throughput_before_trial_ * min_throughput_ratio) {
        limit_ = limit_before_trial_;
    }
    trial_ = trial_state::none;
}

} // namespace fescuedyke
