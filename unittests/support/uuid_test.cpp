#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

RC_GTEST_PROP(uuid7, parsing_restores_the_creation_time, (std::uint32_t high, std::uint16_t low))
{
    random_source random(low);
    const wall_time created((static_cast<std::int64_t>(high) << 16) | low);
    const absl::StatusOr<wall_time> parsed = parse_uuid7_time(make_uuid7(created, random));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(*parsed == created);
}

TEST(uuid7, other_versions_and_formats_are_rejected)
{
    EXPECT_FALSE(parse_uuid7_time("").ok());
    EXPECT_FALSE(parse_uuid7_time("0190a5c8-0000-4000-8000-000000000000").ok());
    EXPECT_FALSE(parse_uuid7_time("0190a5c8-0000-7000-8000-00000000000g").ok());
    EXPECT_FALSE(parse_uuid7_time("0190a5c8x0000-7000-8000-000000000000").ok());
    EXPECT_TRUE(parse_uuid7_time("0190a5c8-0000-7000-8000-000000000000").ok());
}

} // namespace
} // namespace fescuedyke
