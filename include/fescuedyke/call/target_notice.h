#ifndef FESCUEDYKE_CALL_TARGET_NOTICE_H
#define FESCUEDYKE_CALL_TARGET_NOTICE_H

#include "fescuedyke/support/call_rate.h"

#include <optional>

/// \file
/// What a target states about itself in a response.

namespace fescuedyke {

struct target_notice {
    /// The calls that the target takes from all nodes together; empty if it states no limit.
    std::optional<call_rate> rate_limit;
    /// Whether the response states a limit that cannot be parsed. Such a notice changes nothing.
    bool rate_limit_malformed = false;
    /// Whether the target leaves.
    bool leaving = false;
};

} // namespace fescuedyke

#endif
