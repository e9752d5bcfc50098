#ifndef FESCUEDYKE_DAEMON_DISPATCH_HOLD_H
#define FESCUEDYKE_DAEMON_DISPATCH_HOLD_H

#include "fescuedyke/node/actions.h"
#include "fescuedyke/support/time.h"

#include <vector>

/// \file
/// Calls that wait until it is known whether the target may be used.

namespace fescuedyke {

/// Holds the dispatched calls of a target that is announced but not yet cleared. A call that was
/// held too long is given up, so that another target can serve it.
class dispatch_hold {
public:
    /// Holds calls from now on.
    void begin() { holds_ = true; }

    /// Holds no calls any more. Returns those that are to be sent now, with the time that they have
    /// left.
    std::vector<dispatch_call> end(instant now);

    /// Returns whether \p call is held; otherwise it is to be sent at once.
    bool try_hold(const dispatch_call& call, instant now);

    /// Returns whether \p call was held; it is not any more.
    bool cancel(inbound_id call);

    /// Removes the calls that were held too long, and returns them.
    std::vector<inbound_id> take_expired(instant now);

private:
    struct held_call {
        dispatch_call call;
        instant since;
    };

    bool holds_ = false;
    /// In the order in which the calls were dispatched.
    std::vector<held_call> calls_;
};

} // namespace fescuedyke

#endif
