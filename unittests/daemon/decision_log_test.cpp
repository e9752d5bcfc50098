#include "fescuedyke/daemon/decision_log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>
#include <vector>

namespace fescuedyke {
namespace {

struct line_recorder {
    std::vector<std::pair<std::string, nlohmann::json>> written;
    decision_log::writer writer()
    {
        return [this](const std::string& event, const nlohmann::json& details) {
            written.emplace_back(event, details);
        };
    }
};

TEST(decision_log, samples_the_same_requests_on_every_instance)
{
    line_recorder recorder;
    decision_log first({}, recorder.writer());
    decision_log second({}, recorder.writer());
    int sampled = 0;
    for (int i = 0; i < 20'000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const bool admitted = first.try_admit(id, decision_kind::routine, instant(i));
        EXPECT_EQ(admitted, second.try_admit(id, decision_kind::routine, instant(i + 7)));
        sampled += admitted ? 1 : 0;
    }
    EXPECT_GT(sampled, 20'000 / 128 / 2);
    EXPECT_LT(sampled, 20'000 / 128 * 2);
}

TEST(decision_log, abnormal_lines_are_rate_limited_and_suppressed_lines_are_reported)
{
    line_recorder recorder;
    decision_log_settings settings;
    settings.sample_one_in = 1'000'000'000;
    settings.max_lines_per_second = 20;
    settings.max_burst_lines = 100;
    decision_log log(settings, recorder.writer());
    int admitted = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        const std::string id = std::to_string(ms);
        if (log.try_admit(id, decision_kind::abnormal, instant(ms))) {
            log.write("answered", id, nlohmann::json::object());
            ++admitted;
        }
    }
    EXPECT_LE(admitted, 100 + 20 * 10);
    EXPECT_GE(admitted, 20 * 9);
    std::uint64_t reported_suppressed = 0;
    for (const auto& [event, details] : recorder.written) {
        reported_suppressed +=
            event == "decisions-not-written" ? details["lines"].get<std::uint64_t>() : 0;
    }
    // Lines that were suppressed after the last written line are not reported yet.
    EXPECT_GE(reported_suppressed + 1000, log.suppressed());
    EXPECT_EQ(log.suppressed(), 10'000U - static_cast<std::uint64_t>(admitted));
}

TEST(decision_log, request_id_is_truncated_and_escaped)
{
    line_recorder recorder;
    decision_log log({}, recorder.writer());
    log.write("answered", std::string(500, 'x') + "\n\"}", nlohmann::json::object());
    ASSERT_EQ(recorder.written.size(), 1U);
    EXPECT_EQ(recorder.written[0].second["request"].get<std::string>().size(), 64U);
    log.write("answered", "a\n\"b", nlohmann::json::object());
    EXPECT_EQ(recorder.written[1].second.dump().find('\n'), std::string::npos);
}

} // namespace
} // namespace fescuedyke
