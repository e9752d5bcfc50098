#ifndef FESCUEDYKE_CALL_RANK_H
#define FESCUEDYKE_CALL_RANK_H

#include "fescuedyke/policy/policy.h"
#include "fescuedyke/support/ids.h"

#include <algorithm>
#include <cstdint>

/// \file
/// The order in which requests are shed under overload: by priority class, then by the subpriority
/// of their root request.

namespace fescuedyke {

/// Position of a request in the shedding order; the greatest rank is shed first. All calls below a
/// root request have the rank of the root, so that every hop sheds the calls of the same roots.
class rank {
public:
    constexpr rank() = default;
    constexpr rank(priority_class cls, std::uint16_t subpriority)
        : value_((static_cast<std::uint32_t>(cls) << subpriority_bits) | subpriority)
    {
    }

    /// Returns the rank with the given value, clamped to the valid range.
    static constexpr rank from_value(std::int64_t value)
    {
        rank r;
        r.value_ = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(value, 0, static_cast<std::int64_t>(max_value)));
        return r;
    }

    /// Returns the greatest rank; an admission level of this rank admits every call.
    static constexpr rank max() { return from_value(max_value); }

    constexpr std::uint32_t value() const { return value_; }
    constexpr priority_class cls() const
    {
        return static_cast<priority_class>(value_ >> subpriority_bits);
    }

    friend constexpr bool operator<(rank a, rank b) { return a.value_ < b.value_; }
    friend constexpr bool operator>(rank a, rank b) { return b < a; }
    friend constexpr bool operator<=(rank a, rank b) { return !(b < a); }
    friend constexpr bool operator>=(rank a, rank b) { return !(a < b); }
    friend constexpr bool operator==(rank a, rank b) { return a.value_ == b.value_; }
    friend constexpr bool operator!=(rank a, rank b) { return !(a == b); }

    /// Number of subpriorities in a priority class.
    static constexpr std::uint32_t subpriorities_per_class = 1U << 16U;

private:
    static constexpr unsigned subpriority_bits = 16;
    static constexpr std::uint32_t max_value =
        subpriorities_per_class * static_cast<std::uint32_t>(priority_class_count) - 1;

    std::uint32_t value_ = 0;
};

/// Returns the subpriority of \p root, a hash that is the same on every node.
std::uint16_t subpriority_of(root_id root);

} // namespace fescuedyke

#endif
