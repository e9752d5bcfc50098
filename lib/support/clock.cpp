#include "fescuedyke/support/clock.h"

#include <chrono>

namespace fescuedyke {

moment system_clock::read() const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {instant(duration_cast<milliseconds>(monotonic).count()),
            wall_time(duration_cast<milliseconds>(wall).count())};
}

} // namespace fescuedyke
