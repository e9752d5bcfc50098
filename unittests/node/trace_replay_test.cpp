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

constexpr const char* trace_folder = "bench/traces";

std::vector<std::string> recorded_traces()
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(trace_folder)) {
        names.push_back(entry.path().stem().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// One test a trace, so that they run beside each other.
class recorded_trace : public testing::TestWithParam<std::string> {};

TEST_P(recorded_trace, has_its_stated_outcomes)
{
    std::ifstream file(std::string(trace_folder) + "/" + GetParam() + ".jsonl");
    std::stringstream text;
    text << file.rdbuf();
    const auto findings = replay::replay_trace(text.str());
    ASSERT_TRUE(findings.ok()) << findings.status().message();
    EXPECT_FALSE(findings->empty()) << "states nothing";
    for (const replay::expectation_result& f : *findings) {
        EXPECT_TRUE(f.holds) << f.expectation << " seen " << f.observed;
    }
}

INSTANTIATE_TEST_SUITE_P(traces, recorded_trace, testing::ValuesIn(recorded_traces()),
                         [](const testing::TestParamInfo<std::string>& info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

TEST(trace_replay, all_recorded_traces_are_found)
{
    EXPECT_GE(recorded_traces().size(), 12U);
}

TEST(trace_replay, a_malformed_line_is_told)
{
    const auto findings = replay::replay_trace("{\"seed\":1}\n{\"site\":{}}\n");
    ASSERT_FALSE(findings.ok());
    EXPECT_EQ(std::string(findings.status().message()).find("line 2"), 0U);
}

TEST(trace_replay, an_outcome_that_did_not_come_true_is_told)
{
    const auto findings = replay::replay_trace(
        "{\"seed\":1}\n{\"run_ms\":10}\n"
        "{\"expect\":{\"share\":\"none\",\"outcome\":\"answered\",\"at_least\":1}}\n");
    ASSERT_TRUE(findings.ok());
    EXPECT_FALSE(findings->at(0).holds);
}

} // namespace
} // namespace fescuedyke
