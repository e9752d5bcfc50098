#include "fescuedyke/admission/concurrency_limit.h"

#include <algorithm>

namespace fescuedyke {

namespace {

constexpr double smoothing = 0.1;
constexpr double floor_drift = 1.002;
constexpr millis window{500};
constexpr millis cut_spacing{200};
constexpr millis trial_spacing{5000};
constexpr double cut_factor = 0.9;
constexpr double trial_factor = 0.85;
constexpr double congested_ratio = 2.0;
constexpr double same_throughput = 0.97;
constexpr double growth_per_window = 0.05;
constexpr int least_completions = 20;

} // namespace

concurrency_limit::concurrency_limit(int slots, bool adapts)
    : slots_(std::max(1, slots)), adapts_(adapts), limit_(slots_)
{
}

void concurrency_limit::on_completed(instant now, millis took, int in_progress)
{
    const double time = static_cast<double>(std::max<std::int64_t>(took.count(), 0));
    service_time_ = service_time_ == 0 ? time : service_time_ + smoothing * (time - service_time_);
    const bool first = floor_time_ == 0;
    floor_time_ = first ? time : std::min(std::max(time, 0.5), floor_time_ * floor_drift);
    ++completed_in_window_;
    saturated_in_window_ = saturated_in_window_ || in_progress >= current();
    if (adapts_ && now - window_start_ >= window) {
        close_window(now);
    }
}

void concurrency_limit::on_target_shed(instant now, int in_progress)
{
    if (!adapts_ || (now - last_cut_ < cut_spacing && last_cut_.since_origin() != 0)) {
        return;
    }
    last_cut_ = now;
    trial_ = trial_state::none;
    const double from = std::min<double>(limit_, std::max(1, in_progress));
    limit_ = std::max(1.0, from * cut_factor);
}

void concurrency_limit::close_window(instant now)
{
    const double elapsed = static_cast<double>((now - window_start_).count());
    const double throughput = completed_in_window_ / std::max(elapsed, 1.0);
    const bool enough = completed_in_window_ >= least_completions && saturated_in_window_;
    const bool congested = service_time_ > congested_ratio * floor_time_;
    window_start_ = now;
    completed_in_window_ = 0;
    saturated_in_window_ = false;
    if (trial_ != trial_state::none) {
        if (enough) {
            judge_trial(throughput);
            next_trial_ = trial_ == trial_state::none ? now + trial_spacing : now;
        }
        return;
    }
    if (enough && congested && now >= next_trial_) {
        trial_ = trial_state::measuring;
        return;
    }
    if (!congested || now - last_cut_ > trial_spacing) {
        limit_ = std::min<double>(slots_, limit_ + std::max(1.0, slots_ * growth_per_window));
    }
}

void concurrency_limit::judge_trial(double throughput)
{
    if (trial_ == trial_state::measuring) {
        throughput_before_trial_ = throughput;
        limit_before_trial_ = limit_;
        limit_ = std::max(1.0, limit_ * trial_factor);
        trial_ = trial_state::lowered;
        return;
    }
    // A lower limit that completes as much is better for everyone; otherwise the target was merely
    // slow, and each slot taken from it would be lost goodput.
    if (throughput < throughput_before_trial_ * same_throughput) {
        limit_ = limit_before_trial_;
    }
    trial_ = trial_state::none;
}

} // namespace fescuedyke
