#include "fescuedyke/support/call_rate.h"

#include <gtest/gtest.h>

#include <string>

namespace fescuedyke {
namespace {

TEST(call_rate, decimal_numbers_of_calls_per_second_are_parsed)
{
    EXPECT_EQ(parse_call_rate("20"), call_rate(20'000));
    EXPECT_EQ(parse_call_rate("18.1"), call_rate(18'100));
    EXPECT_EQ(parse_call_rate(" .5 "), call_rate(500));
    EXPECT_EQ(parse_call_rate("0"), call_rate(0));
    EXPECT_EQ(parse_call_rate("7."), call_rate(7000));
}

// Guards against a limit without bound that overflows (issue 28, LIMIT).
TEST(call_rate, an_enormous_rate_is_the_greatest_rate)
{
    EXPECT_EQ(parse_call_rate(std::string(400, '9')), call_rate(max_call_rate_value));
    EXPECT_EQ(parse_call_rate("1000000000000"), call_rate(max_call_rate_value));
}

// Guards against a malformed limit that is taken for a limit of zero (issue 28, LIMIT).
TEST(call_rate, other_texts_are_not_rates)
{
    for (const char* text : {"", " ", ".", "-1", "+1", "nan", "inf", "1e3", "0x10", "1.2.3", "5/s",
                             "1 2", "1,5", "many"}) {
        EXPECT_EQ(parse_call_rate(text), std::nullopt) << text;
    }
}

} // namespace
} // namespace fescuedyke
