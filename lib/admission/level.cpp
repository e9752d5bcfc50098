#include "fescuedyke/admission/level.h"

namespace fescuedyke {

namespace {

/// Time for which a level stays unchanged. It is also the length of the periods in which the level
/// then relaxes, each at twice the rate of the one before.
constexpr millis hold_time{100};
constexpr millis shed_window{50};
constexpr int max_doublings = 16;

/// Number of ranks by which the level relaxes in the first period after the hold time: 2 % of a
/// priority class.
constexpr std::int64_t initial_step = rank::subpriorities_per_class / 50;

} // namespace

rank relaxed_level(rank level, millis age)
{
    if (age <= hold_time) {
        return level;
    }
    const std::int64_t excess = age.count() - hold_time.count();
    const std::int64_t periods = excess / hold_time.count();
    if (periods >= max_doublings) {
        return rank::max();
    }
    const std::int64_t full_steps = initial_step * ((std::int64_t{1} << periods) - 1);
    const std::int64_t partial_step =
        (initial_step << periods) * (excess % hold_time.count()) / hold_time.count();
    return rank::from_value(static_cast<std::int64_t>(level.value()) + full_steps + partial_step);
}

void level_tracker::on_shed(instant now, rank admitted)
{
    const rank previous = current(now);
    const bool same_window = is_set_ && now - window_start_ < shed_window;
    if (!same_window) {
        window_start_ = now;
        level_ = admitted < previous ? admitted : previous;
    }
    // Within one window the greatest level applies, so that the bottleneck stays fully utilized.
    if (same_window && admitted > level_) {
        level_ = admitted;
    }
    set_at_ = now;
    is_set_ = true;
}

rank level_tracker::current(instant now) const
{
    if (!is_set_) {
        return rank::max();
    }
    return relaxed_level(level_, now - set_at_);
}

} // namespace fescuedyke
