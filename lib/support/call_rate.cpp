#include "fescuedyke/support/call_rate.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <string>

namespace fescuedyke {

namespace {

constexpr double thousandths = 1000;

} // namespace

double calls_per_second(call_rate rate)
{
    return static_cast<double>(rate.value()) / thousandths;
}

std::optional<call_rate> parse_call_rate(std::string_view text)
{
    std::string number(text);
    absl::StripAsciiWhitespace(&number);
    const auto digits =
        std::count_if(number.begin(), number.end(), [](char c) { return c >= '0' && c <= '9'; });
    const auto points = std::count(number.begin(), number.end(), '.');
    const bool decimal =
        digits > 0 && points <= 1 && static_cast<std::size_t>(digits + points) == number.size();
    double value = 0;
    if (!decimal || !absl::SimpleAtod(number, &value)) {
        return std::nullopt;
    }
    const double in_range = std::min(value * thousandths, static_cast<double>(max_call_rate_value));
    return call_rate(static_cast<std::uint64_t>(in_range));
}

} // namespace fescuedyke
