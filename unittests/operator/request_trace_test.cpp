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

request_trace traced(const std::string& id)
{
    request_trace trace(id);
    std::istringstream one(target_log);
    std::istringstream two(entry_log);
    trace.read(one);
    trace.read(two);
    return trace;
}

TEST(request_trace, puts_the_decisions_of_all_instances_in_order)
{
    const request_trace trace = traced("r1");
    std::vector<std::string> events;
    for (const auto& line : trace.decisions()) {
        events.push_back(line["event"]);
    }
    EXPECT_EQ(events, (std::vector<std::string>{"sent", "replied", "answered"}));
}

TEST(request_trace, tells_what_the_instances_went_by_when_it_came)
{
    const auto state_changes = traced("r1").state_changes();
    ASSERT_EQ(state_changes.size(), 1U);
    EXPECT_EQ(state_changes[0]["details"]["version"], 7);
}

TEST(request_trace, torn_and_foreign_lines_are_counted_and_passed_over)
{
    const request_trace trace = traced("r1");
    EXPECT_EQ(trace.lines_read(), 8U);
    EXPECT_EQ(trace.lines_skipped(), 4U) << "two empty lines, one torn, one foreign";
}

TEST(request_trace, a_request_that_no_log_tells_of_is_said_so)
{
    std::ostringstream out;
    EXPECT_FALSE(print_trace(traced("r9"), false, out));
    EXPECT_TRUE(print_trace(traced("r1"), true, out));
}

} // namespace
} // namespace fescuedyke
