#include "replay/replay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace fescuedyke {
namespace {

constexpr const char* trace_directory = "bench/traces";

std::vector<std::string> recorded_traces()
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(trace_directory)) {
        names.push_back(entry.path().stem().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// Each trace is a test of its own, so that they can run in parallel.
class recorded_trace : public testing::TestWithParam<std::string> {};

TEST_P(recorded_trace, meets_its_expectations)
{
    std::ifstream file(std::string(trace_directory) + "/" + GetParam() + ".jsonl");
    std::stringstream text;
    text << file.rdbuf();
    const auto findings = replay::replay_trace(text.str());
    ASSERT_TRUE(findings.ok()) << findings.status().message();
    EXPECT_FALSE(findings->empty()) << "the trace has no expectations";
    for (const replay::expectation_result& f : *findings) {
        EXPECT_TRUE(f.holds) << f.expectation << " observed: " << f.observed;
    }
}

INSTANTIATE_TEST_SUITE_P(traces, recorded_trace, testing::ValuesIn(recorded_traces()),
                         [](const testing::TestParamInfo<std::string>& info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

TEST(trace_replay, recorded_traces_are_found)
{
    EXPECT_GE(recorded_traces().size(), 12U);
}

TEST(trace_replay, malformed_line_is_reported)
{
    const auto findings = replay::replay_trace("{\"seed\":1}\n{\"site\":{}}\n");
    ASSERT_FALSE(findings.ok());
    EXPECT_EQ(std::string(findings.status().message()).find("line 2"), 0U);
}

TEST(trace_replay, unmet_expectation_is_reported)
{
    const auto findings = replay::replay_trace(
        "{\"seed\":1}\n{\"run_ms\":10}\n"
        "{\"expect\":{\"share\":\"none\",\"outcome\":\"answered\",\"at_least\":1}}\n");
    ASSERT_TRUE(findings.ok());
    EXPECT_FALSE(findings->at(0).holds);
}

} // namespace
} // namespace fescuedyke
