#ifndef FESCUEDYKE_SUPPORT_TIME_H
#define FESCUEDYKE_SUPPORT_TIME_H

#include <cstdint>

/// \file
/// Time values for the decision logic, in milliseconds. Nothing in this file reads a clock.

namespace fescuedyke {

/// A duration in milliseconds.
class millis {
public:
    constexpr millis() = default;
    constexpr explicit millis(std::int64_t count) : count_(count) {}

    constexpr std::int64_t count() const { return count_; }

    constexpr millis& operator+=(millis other)
    {
        count_ += other.count_;
        return *this;
    }

    friend constexpr millis operator+(millis a, millis b) { return millis(a.count_ + b.count_); }
    friend constexpr millis operator-(millis a, millis b) { return millis(a.count_ - b.count_); }
    friend constexpr millis operator*(millis a, std::int64_t b) { return millis(a.count_ * b); }
    friend constexpr bool operator==(millis a, millis b) { return a.count_ == b.count_; }
    friend constexpr bool operator!=(millis a, millis b) { return a.count_ != b.count_; }
    friend constexpr bool operator<(millis a, millis b) { return a.count_ < b.count_; }
    friend constexpr bool operator<=(millis a, millis b) { return a.count_ <= b.count_; }
    friend constexpr bool operator>(millis a, millis b) { return a.count_ > b.count_; }
    friend constexpr bool operator>=(millis a, millis b) { return a.count_ >= b.count_; }

private:
    std::int64_t count_ = 0;
};

/// A point in time in milliseconds. The tag distinguishes clocks whose readings must not be mixed.
template <class Tag> class time_point {
public:
    constexpr time_point() = default;
    constexpr explicit time_point(std::int64_t since_origin) : since_origin_(since_origin) {}

    constexpr std::int64_t since_origin() const { return since_origin_; }

    friend constexpr time_point operator+(time_point a, millis b)
    {
        return time_point(a.since_origin_ + b.count());
    }
    friend constexpr time_point operator-(time_point a, millis b)
    {
        return time_point(a.since_origin_ - b.count());
    }
    friend constexpr millis operator-(time_point a, time_point b)
    {
        return millis(a.since_origin_ - b.since_origin_);
    }
    friend constexpr bool operator==(time_point a, time_point b)
    {
        return a.since_origin_ == b.since_origin_;
    }
    friend constexpr bool operator!=(time_point a, time_point b) { return !(a == b); }
    friend constexpr bool operator<(time_point a, time_point b)
    {
        return a.since_origin_ < b.since_origin_;
    }
    friend constexpr bool operator<=(time_point a, time_point b) { return !(b < a); }
    friend constexpr bool operator>(time_point a, time_point b) { return b < a; }
    friend constexpr bool operator>=(time_point a, time_point b) { return !(a < b); }

private:
    std::int64_t since_origin_ = 0;
};

/// A reading of the monotonic clock of one process.
using instant = time_point<struct monotonic_clock_tag>;

/// A reading of the wall clock: milliseconds since the Unix epoch.
using wall_time = time_point<struct wall_clock_tag>;

/// Readings of both clocks at the same time. Every event is passed to a core together with one of
/// these.
struct moment {
    instant now;
    wall_time wall;
};

} // namespace fescuedyke

#endif
