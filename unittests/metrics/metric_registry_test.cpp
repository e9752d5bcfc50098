#include "fescuedyke/metrics/metric_registry.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST(metric_registry, exports_counters_gauges_and_histograms_as_text)
{
    metric_registry registry;
    counter_family calls(registry, {"calls_total", "calls", {"service", "outcome"}});
    gauge_family open(registry, {"open", "open calls", {}});
    histogram_family times(registry, {"call_seconds", "times", {"service"}});
    calls.add({"fees", "answered"});
    calls.add({"fees", "answered"}, 2);
    open.set({}, 7);
    times.observe({"fees"}, millis(30));
    times.observe({"fees"}, millis(20'000));
    const std::string text = registry.text();
    EXPECT_TRUE(has_line(text, "# TYPE calls_total counter")) << text;
    EXPECT_TRUE(has_line(text, "calls_total{outcome=\"answered\",service=\"fees\"} 3")) << text;
    EXPECT_TRUE(has_line(text, "open 7")) << text;
    EXPECT_TRUE(has_line(text, "call_seconds_bucket{service=\"fees\",le=\"0.025\"} 0")) << text;
    EXPECT_TRUE(has_line(text, "call_seconds_bucket{service=\"fees\",le=\"0.05\"} 1")) << text;
    EXPECT_TRUE(has_line(text, "call_seconds_bucket{service=\"fees\",le=\"+Inf\"} 2")) << text;
}

TEST(metric_registry, aggregates_label_values_beyond_the_limit)
{
    metric_registry registry;
    counter_family calls(registry, {"calls_total", "calls", {"service"}, 3});
    for (int i = 0; i < 100; ++i) {
        calls.add({"s" + std::to_string(i)});
    }
    const std::string text = registry.text();
    EXPECT_TRUE(has_line(text, "calls_total{service=\"s2\"} 1")) << text;
    EXPECT_EQ(text.find("s3"), std::string::npos) << text;
    EXPECT_TRUE(has_line(text, "calls_total{service=\"other\"} 97")) << text;
}

TEST(metric_registry, escapes_label_values)
{
    metric_registry registry;
    counter_family calls(registry, {"calls_total", "calls", {"route"}});
    calls.add({"a\"b\\c\nd"});
    EXPECT_TRUE(has_line(registry.text(), "calls_total{route=\"a\\\"b\\\\c\\nd\"} 1"))
        << registry.text();
}

} // namespace
} // namespace fescuedyke
