#ifndef FESCUEDYKE_ADMISSION_LEVEL_H
#define FESCUEDYKE_ADMISSION_LEVEL_H

#include "fescuedyke/call/rank.h"
#include "fescuedyke/support/time.h"

/// \file
/// Admission levels: the greatest rank that is still admitted, as it tightens and relaxes.

namespace fescuedyke {

/// Returns \p level after it has gone unconfirmed for \p age: unchanged at first, then relaxing
/// faster and faster until it admits everything after about a second.
rank relaxed_level(rank level, millis age);

/// Follows the level of one receiving node. Shedding sets it; quiet relaxes it.
class level_tracker {
public:
    /// A call was shed at \p now; \p admitted is the greatest rank that would have been taken.
    void on_shed(instant now, rank admitted);

    /// Returns the level at \p now.
    rank current(instant now) const;

private:
    rank level_ = rank::max();
    instant set_at_;
    instant window_start_;
    bool ever_set_ = false;
};

} // namespace fescuedyke

#endif
