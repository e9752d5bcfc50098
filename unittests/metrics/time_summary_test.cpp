#include "fescuedyke/metrics/time_summary.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

TEST(time_summary, is_zero_without_values)
{
    const time_summary summary;
    EXPECT_EQ(summary.count(), 0U);
    EXPECT_EQ(summary.percentile_99(), 0);
}

TEST(time_summary, quantile_estimates_are_close_to_exact_values)
{
    time_summary summary;
    for (int i = 0; i < 10'000; ++i) {
        summary.add(millis((i * 7919) % 1000));
    }
    EXPECT_EQ(summary.count(), 10'000U);
    EXPECT_EQ(summary.max(), 999);
    EXPECT_NEAR(summary.mean(), 499.5, 0.01);
    EXPECT_NEAR(summary.median(), 500, 15);
    EXPECT_NEAR(summary.percentile_99(), 990, 10);
}

} // namespace
} // namespace fescuedyke
