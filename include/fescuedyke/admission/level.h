#ifndef FESCUEDYKE_ADMISSION_LEVEL_H
#define FESCUEDYKE_ADMISSION_LEVEL_H

#include "fescuedyke/call/rank.h"
#include "fescuedyke/support/time.h"

/// \file
/// The admission level, which is the greatest rank that is admitted, and its changes over time.

namespace fescuedyke {

/// Returns the effective value of a \p level that was reported \p age ago. It is unchanged at first
/// and then relaxes exponentially; after about one second it admits every call.
rank relaxed_level(rank level, millis age);

/// Tracks the admission level of one receiving node. Shedding tightens the level; it relaxes over
/// time when no call is shed.
class level_tracker {
public:
    /// Records a call that was shed at \p now. \p admitted is the greatest rank that is still
    /// admitted.
    void on_shed(instant now, rank admitted);

    /// Returns the effective level at \p now.
    rank current(instant now) const;

private:
    rank level_ = rank::max();
    instant set_at_;
    instant window_start_;
    bool is_set_ = false;
};

} // namespace fescuedyke

#endif
