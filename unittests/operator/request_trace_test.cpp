#include "fescuedyke/operator/request_trace.h"

#include <gtest/gtest.h>

#include <sstream>

namespace fescuedyke {
namespace {

constexpr const char* entry_log = R"(
{"time":"2026-01-01T00:00:00.100+00:00","level":"info","instance":"n1","event":"document-in-force","details":{"version":3}}
{"time":"2026-01-01T00:00:00.900+00:00","level":"info","instance":"n1","event":"document-in-force","details":{"version":7}}
{"time":"2026-01-01T00:00:01.000+00:00","level":"info","instance":"n1","event":"sent","details":{"request":"r1","to":"n2"}}
{"time":"2026-01-01T00:00:01.000+00:00","level":"info","instance":"n1","event":"sent","details":{"request":"r2","to":"n2"}}
{"time":"2026-01-01T00:00:01.030+00:00","level":"info","instance":"n1","event":"answered","details":{"request":"r1","outcome":"not-run"}}
{"time":"2026-01-01T00:00:02.000+00:00","level":"info","instance":"n1","event":"document-in-force","details":{"version":9}}
{"time":"2026-01-01T00:00:02.000+00:00","level":"in
)";

constexpr const char* target_log = R"(
  1.0100 n2 {"time":"2026-01-01T00:00:01.010+00:00","level":"info","instance":"n2","event":"replied","details":{"request":"r1","reason":"overloaded"}}
not ours {"a":1}
  1.0100 n3 {"time":"2026-01-01T00:00:00.500+00:00","level":"info","instance":"n3","event":"target-ready","details":{}}
)";

request_trace trace_of(const std::string& id)
{
    request_trace trace(id);
    std::istringstream target_stream(target_log);
    std::istringstream entry_stream(entry_log);
    trace.read(target_stream);
    trace.read(entry_stream);
    return trace;
}

TEST(request_trace, orders_decisions_of_all_instances_by_time)
{
    const request_trace trace = trace_of("r1");
    std::vector<std::string> events;
    for (const auto& line : trace.decisions()) {
        events.push_back(line["event"]);
    }
    EXPECT_EQ(events, (std::vector<std::string>{"sent", "replied", "answered"}));
}

TEST(request_trace, reports_latest_state_of_involved_instances_before_the_request)
{
    const auto state_changes = trace_of("r1").state_changes();
    ASSERT_EQ(state_changes.size(), 1U);
    EXPECT_EQ(state_changes[0]["details"]["version"], 7);
}

TEST(request_trace, counts_and_skips_truncated_and_foreign_lines)
{
    const request_trace trace = trace_of("r1");
    EXPECT_EQ(trace.lines_read(), 8U);
    EXPECT_EQ(trace.lines_skipped(), 4U) << "two empty lines, one truncated, one foreign";
}

TEST(request_trace, print_returns_whether_the_logs_mention_the_request)
{
    std::ostringstream out;
    EXPECT_FALSE(print_trace(trace_of("r9"), false, out));
    EXPECT_TRUE(print_trace(trace_of("r1"), true, out));
}

} // namespace
} // namespace fescuedyke
