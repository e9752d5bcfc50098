#include "replay/replay.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace fescuedyke {
namespace {

TEST(trace_replay, every_recorded_trace_has_its_stated_outcomes)
{
    std::size_t traces = 0;
    for (const auto& entry : std::filesystem::directory_iterator("bench/traces")) {
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        const auto findings = replay::replay_trace(text.str());
        ASSERT_TRUE(findings.ok()) << entry.path() << ": " << findings.status().message();
        EXPECT_FALSE(findings->empty()) << entry.path() << " states nothing";
        for (const replay::finding& f : *findings) {
            EXPECT_TRUE(f.holds) << entry.path() << ": " << f.stated << " seen " << f.seen;
        }
        ++traces;
    }
    EXPECT_GE(traces, 10U);
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
