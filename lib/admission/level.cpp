#include "fescuedyke/admission/level.h"

namespace fescuedyke {

namespace {

constexpr millis hold{100};
constexpr millis shed_window{50};
constexpr int most_doublings = 16;

/// Ranks opened in the first period after the hold: two in a hundred of a class.
constexpr std::int64_t first_step = rank::subpriorities_per_class / 50;

} // namespace

rank relaxed_level(rank level, millis age)
{
    if (age <= hold) {
        return level;
    }
    const std::int64_t beyond = age.count() - hold.count();
    const std::int64_t periods = beyond / hold.count();
    if (periods >= most_doublings) {
        return rank::max();
    }
    const std::int64_t whole = first_step * ((std::int64_t{1} << periods) - 1);
    const std::int64_t partial = (first_step << periods) * (beyond % hold.count()) / hold.count();
    return rank::from_value(static_cast<std::int64_t>(level.value()) + whole + partial);
}

void level_tracker::on_shed(instant now, rank admitted)
{
    const rank before = current(now);
    const bool same_window = ever_set_ && now - window_start_ < shed_window;
    if (!same_window) {
        window_start_ = now;
        level_ = admitted < before ? admitted : before;
    }
    // Within one window the loosest threshold counts: the bottleneck must stay fully used.
    if (same_window && admitted > level_) {
        level_ = admitted;
    }
    set_at_ = now;
    ever_set_ = true;
}

rank level_tracker::current(instant now) const
{
    if (!ever_set_) {
        return rank::max();
    }
    return relaxed_level(level_, now - set_at_);
}

} // namespace fescuedyke
