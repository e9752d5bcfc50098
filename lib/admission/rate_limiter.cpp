#include "fescuedyke/admission/rate_limiter.h"

#include <algorithm>

namespace fescuedyke {

namespace {

constexpr std::int64_t us_per_ms = 1000;

/// A rate is a number of calls in this many microseconds.
constexpr std::int64_t rate_period_us = 1'000'000'000;

/// Time by which a call may precede its due time, which permits bursts of as many calls as are due
/// in it and one more.
constexpr std::int64_t burst_time_us = 100'000;

/// Maximum time between two calls, at any rate.
constexpr std::int64_t max_interval_us = 10'000'000;

std::int64_t to_us(instant at)
{
    return at.since_origin() * us_per_ms;
}

} // namespace

std::int64_t rate_limiter::interval_us() const
{
    if (!rate_ || rate_->value() == 0) {
        return max_interval_us;
    }
    const auto value = static_cast<std::int64_t>(std::min(rate_->value(), max_call_rate_value));
    // Rounded up, so that the rate is never exceeded.
    return std::min(max_interval_us, (rate_period_us + value - 1) / value);
}

void rate_limiter::set_rate(std::optional<call_rate> rate, instant now)
{
    if (rate == rate_) {
        return;
    }
    const bool had_rate = rate_.has_value();
    rate_ = rate;
    // Before the first rate, calls were not counted.
    const std::int64_t latest = to_us(now) + interval_us();
    next_due_us_ = had_rate ? std::min(next_due_us_, latest) : latest;
}

void rate_limiter::on_dispatched(instant now)
{
    if (rate_) {
        next_due_us_ = std::max(next_due_us_, to_us(now)) + interval_us();
    }
}

millis rate_limiter::time_until(std::size_t ahead, instant now) const
{
    if (!rate_) {
        return millis(0);
    }
    const std::int64_t due = next_due_us_ + static_cast<std::int64_t>(ahead) * interval_us();
    const std::int64_t wait = std::max<std::int64_t>(0, due - burst_time_us - to_us(now));
    return millis((wait + us_per_ms - 1) / us_per_ms);
}

std::optional<std::size_t> rate_limiter::calls_in(millis duration) const
{
    if (!rate_) {
        return std::nullopt;
    }
    const std::int64_t calls = duration.count() * us_per_ms / interval_us();
    return static_cast<std::size_t>(std::max<std::int64_t>(1, calls));
}

} // namespace fescuedyke
