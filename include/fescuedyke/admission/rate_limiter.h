#ifndef FESCUEDYKE_ADMISSION_RATE_LIMITER_H
#define FESCUEDYKE_ADMISSION_RATE_LIMITER_H

#include "fescuedyke/support/call_rate.h"
#include "fescuedyke/support/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// Keeps the rate of the calls for one target.

namespace fescuedyke {

/// Spaces calls evenly at a rate that may change, and admits short bursts. Without a rate, every
/// call is admitted. Even at a rate of zero, a call is admitted from time to time, because only the
/// response to a call tells that the limit has ended.
class rate_limiter {
public:
    void set_rate(std::optional<call_rate> rate, instant now);
    const std::optional<call_rate>& rate() const { return rate_; }

    /// Returns whether a call may be dispatched at \p now.
    bool admits(instant now) const { return time_until(0, now) <= millis(0); }
    void on_dispatched(instant now);

    /// Returns the time until a call with \p ahead others before it may be dispatched.
    millis time_until(std::size_t ahead, instant now) const;

    /// Returns the number of calls that are admitted within \p duration, at least one, or no value
    /// without a rate.
    std::optional<std::size_t> calls_in(millis duration) const;

private:
    /// Time between two calls in microseconds.
    std::int64_t interval_us() const;

    std::optional<call_rate> rate_;
    /// When the next call is due if all calls are evenly spaced, in microseconds.
    std::int64_t next_due_us_ = 0;
};

} // namespace fescuedyke

#endif
