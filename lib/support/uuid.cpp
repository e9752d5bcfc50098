#include "fescuedyke/support/uuid.h"

#include <cctype>
#include <cstdio>

namespace fescuedyke {

namespace {

constexpr std::size_t uuid_length = 36;

bool is_dash_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

bool has_uuid_format(const std::string& text)
{
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool hex = std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
        if (is_dash_position(i) ? text[i] != '-' : !hex) {
            return false;
        }
    }
    return true;
}

} // namespace

absl::StatusOr<wall_time> parse_uuid7_time(const std::string& text)
{
    if (!has_uuid_format(text)) {
        return absl::InvalidArgumentError("idempotency key is not a UUID");
    }
    if (text[14] != '7') {
        return absl::InvalidArgumentError("idempotency key is not a version 7 UUID");
    }
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    return wall_time(std::stoll(digits, nullptr, 16));
}

std::string make_uuid7(wall_time created, random_source& random)
{
    const auto time = static_cast<unsigned long long>(created.since_origin());
    const unsigned long long a = random();
    const unsigned long long b = random();
    char text[uuid_length + 1];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  (time >> 16U) & 0xffffffffULL, time & 0xffffULL, a & 0xfffULL,
                  0x8000ULL | (b >> 50U), b & 0xffffffffffffULL);
    return text;
}

} // namespace fescuedyke
