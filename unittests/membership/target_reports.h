#ifndef FESCUEDYKE_UNITTESTS_TARGET_REPORTS_H
#define FESCUEDYKE_UNITTESTS_TARGET_REPORTS_H

#include "fescuedyke/membership/target_tracker.h"

#include <string>

/// \file
/// Reports of targets for tests.

namespace fescuedyke {

inline target_report make_report(const std::string& identity, std::uint64_t started_at_ms,
                                 std::uint64_t sequence, target_state state = target_state::ready)
{
    target_report r;
    r.identity = identity;
    r.started_at_ms = started_at_ms;
    r.sequence = sequence;
    r.state = state;
    return r;
}

} // namespace fescuedyke

#endif
