#include "fescuedyke/daemon/decision_log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>
#include <vector>

namespace fescuedyke {
namespace {

struct lines {
    std::vector<std::pair<std::string, nlohmann::json>> written;
    decision_log::writer writer()
    {
        return [this](const std::string& event, const nlohmann::json& details) {
            written.emplace_back(event, details);
        };
    }
};

TEST(decision_log, follows_the_same_requests_at_every_hop_or_none)
{
    lines l;
    decision_log one({}, l.writer());
    decision_log two({}, l.writer());
    int followed = 0;
    for (int i = 0; i < 20'000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const bool taken = one.try_admit(id, decision_kind::routine, instant(i));
        EXPECT_EQ(taken, two.try_admit(id, decision_kind::routine, instant(i + 7)));
        followed += taken ? 1 : 0;
    }
    EXPECT_GT(followed, 20'000 / 128 / 2);
    EXPECT_LT(followed, 20'000 / 128 * 2);
}

TEST(decision_log, lines_on_trouble_are_bounded_and_what_is_left_out_is_told)
{
    lines l;
    decision_log_settings settings;
    settings.sample_one_in = 1'000'000'000;
    settings.max_lines_per_second = 20;
    settings.max_burst_lines = 100;
    decision_log log(settings, l.writer());
    int taken = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        const std::string id = std::to_string(ms);
        if (log.try_admit(id, decision_kind::abnormal, instant(ms))) {
            log.write("answered", id, nlohmann::json::object());
            ++taken;
        }
    }
    EXPECT_LE(taken, 100 + 20 * 10);
    EXPECT_GE(taken, 20 * 9);
    std::uint64_t told = 0;
    for (const auto& [event, details] : l.written) {
        told += event == "decisions-not-written" ? details["lines"].get<std::uint64_t>() : 0;
    }
    EXPECT_GE(told + 1000, log.suppressed());
    EXPECT_EQ(log.suppressed(), 10'000U - static_cast<std::uint64_t>(taken));
}

TEST(decision_log, an_id_is_cut_and_cannot_break_the_line)
{
    lines l;
    decision_log log({}, l.writer());
    log.write("answered", std::string(500, 'x') + "\n\"}", nlohmann::json::object());
    ASSERT_EQ(l.written.size(), 1U);
    EXPECT_EQ(l.written[0].second["request"].get<std::string>().size(), 64U);
    log.write("answered", "a\n\"b", nlohmann::json::object());
    EXPECT_EQ(l.written[1].second.dump().find('\n'), std::string::npos);
}

} // namespace
} // namespace fescuedyke
