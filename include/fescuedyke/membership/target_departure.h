#ifndef FESCUEDYKE_MEMBERSHIP_TARGET_DEPARTURE_H
#define FESCUEDYKE_MEMBERSHIP_TARGET_DEPARTURE_H

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>

/// \file
/// Defines the departure of a target, which outlives the process of the node beside it.

namespace fescuedyke {

/// Sequence number of a departure that covers all reports of its start.
constexpr std::uint64_t every_sequence = std::numeric_limits<std::uint64_t>::max();

/// A start of a target said that it leaves: what it reported before must not bring it back.
struct target_departure {
    std::string identity;
    /// Start time of the target, in Unix milliseconds by its own clock.
    std::uint64_t started_at_ms = 0;
    /// Greatest sequence number of the reports of this start that the departure covers.
    std::uint64_t last_sequence = every_sequence;

    /// Returns whether this departure covers all reports that \p other covers. Earlier starts with
    /// the same identity have ended.
    bool covers(const target_departure& other) const
    {
        return identity == other.identity && std::tie(started_at_ms, last_sequence) >=
                                                 std::tie(other.started_at_ms, other.last_sequence);
    }

    friend bool operator==(const target_departure& a, const target_departure& b)
    {
        return a.covers(b) && b.covers(a);
    }
};

} // namespace fescuedyke

#endif
