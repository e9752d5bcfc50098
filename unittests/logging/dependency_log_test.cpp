#include "fescuedyke/logging/dependency_log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <vector>

namespace fescuedyke {
namespace {

TEST(dependency_log, each_failure_and_the_recovery_is_logged_once)
{
    std::vector<std::string> lines;
    dependency_log log("account-book", [&](log_level, const std::string& event,
                                           const nlohmann::json& details) {
        lines.push_back(event + (details.empty() ? "" : " " + std::string(details.at("message"))));
    });
    log.on_status(absl::OkStatus());
    EXPECT_TRUE(lines.empty());
    log.on_status(absl::ResourceExhaustedError("no space"));
    log.on_status(absl::ResourceExhaustedError("no space"));
    log.on_status(absl::DataLossError("torn"));
    log.on_status(absl::OkStatus());
    log.on_status(absl::OkStatus());
    const std::vector<std::string> expected = {"account-book-failed no space",
                                               "account-book-failed torn", "account-book-regained"};
    EXPECT_EQ(lines, expected);
}

} // namespace
} // namespace fescuedyke
