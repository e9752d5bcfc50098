#ifndef FESCUEDYKE_CALL_RANK_H
#define FESCUEDYKE_CALL_RANK_H

#include "fescuedyke/policy/policy.h"
#include "fescuedyke/support/ids.h"

#include <algorithm>
#include <cstdint>

/// \file
/// The order in which requests survive an overload: first by class, then by the lot of their root.

namespace fescuedyke {

/// Position of a request in the order of survival; the lesser rank survives longer. All calls
/// below one root have the root's rank, so that the same roots survive at every hop.
class rank {
public:
    constexpr rank() = default;
    constexpr rank(priority_class cls, std::uint16_t lot)
        : value_((static_cast<std::uint32_t>(cls) << lot_bits) | lot)
    {
    }

    /// Returns the rank with the given number, brought into range.
    static constexpr rank from_value(std::int64_t value)
    {
        rank r;
        r.value_ = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(value, 0, static_cast<std::int64_t>(worst_value)));
        return r;
    }

    /// Returns the greatest rank there is; a level of this rank admits everything.
    static constexpr rank max() { return from_value(worst_value); }

    constexpr std::uint32_t value() const { return value_; }
    constexpr priority_class cls() const { return static_cast<priority_class>(value_ >> lot_bits); }

    friend constexpr bool operator<(rank a, rank b) { return a.value_ < b.value_; }
    friend constexpr bool operator>(rank a, rank b) { return b < a; }
    friend constexpr bool operator<=(rank a, rank b) { return !(b < a); }
    friend constexpr bool operator>=(rank a, rank b) { return !(a < b); }
    friend constexpr bool operator==(rank a, rank b) { return a.value_ == b.value_; }
    friend constexpr bool operator!=(rank a, rank b) { return !(a == b); }

    /// Number of lots in one class.
    static constexpr std::uint32_t subpriorities_per_class = 1U << 16U;

private:
    static constexpr unsigned lot_bits = 16;
    static constexpr std::uint32_t worst_value =
        subpriorities_per_class * static_cast<std::uint32_t>(priority_class_count) - 1;

    std::uint32_t value_ = 0;
};

/// Returns the lot of \p root: a hash that every node computes alike.
std::uint16_t subpriority_of(root_id root);

} // namespace fescuedyke

#endif
