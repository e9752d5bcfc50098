#ifndef FESCUEDYKE_SUPPORT_CALL_RATE_H
#define FESCUEDYKE_SUPPORT_CALL_RATE_H

#include "fescuedyke/support/strong.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// Rates of calls.

namespace fescuedyke {

/// A number of calls in 1000 seconds.
using call_rate = strong<struct call_rate_tag, std::uint64_t>;

/// Greatest rate: a million calls per second.
constexpr std::uint64_t max_call_rate_value = 1'000'000'000;

/// Returns the number of calls per second.
double calls_per_second(call_rate rate);

/// Parses a non-negative decimal number of calls per second, such as "18.5". Values above the
/// greatest rate yield that rate; anything but digits with at most one point yields no value.
std::optional<call_rate> parse_call_rate(std::string_view text);

} // namespace fescuedyke

#endif
