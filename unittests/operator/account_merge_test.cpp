#include "fescuedyke/operator/account_merge.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

using json = nlohmann::json;

json make_source(const char* instance, int incarnation, int sequence, int answered, int last_report)
{
    const json row = {{"side", "served"},
                      {"service", "fees"},
                      {"class", "critical"},
                      {"received", answered + 3},
                      {"answered", answered},
                      {"not_run", {{"overloaded", 2}}},
                      {"unknown", {{"connection-lost", 1}}},
                      {"in_progress", 0}};
    return {
        {"instance", instance},
        {"incarnation", incarnation},
        {"sequence", sequence},
        {"last_report_ms", last_report},
        {"rows", {row}},
        {"unknown_keys", {{{"service", "fees"}, {"key", "k1"}, {"reason", "connection-lost"}}}}};
}

json member_response(const std::vector<json>& sources)
{
    return {{"owner", "chenab"}, {"sources", sources}};
}

TEST(account_merge, counts_only_latest_report_of_each_incarnation)
{
    const json merged = merge_accounts(
        {member_response({make_source("a", 1, 5, 10, 0), make_source("b", 1, 1, 1, 0)}),
         member_response({make_source("a", 1, 7, 12, 0), make_source("a", 2, 1, 4, 0)})},
        0, 5000);
    ASSERT_EQ(merged["rows"].size(), 1U);
    EXPECT_EQ(merged["rows"][0]["answered"], 12 + 4 + 1);
    EXPECT_EQ(merged["rows"][0]["not_run"]["overloaded"], 6);
    EXPECT_TRUE(merged["conserved"]);
}

TEST(account_merge, reports_silent_source_as_gap_and_keeps_its_counts)
{
    const json merged =
        merge_accounts({member_response({make_source("a", 1, 5, 10, 1000)})}, 9000, 5000);
    ASSERT_EQ(merged["gaps"].size(), 1U);
    EXPECT_EQ(merged["gaps"][0]["silent_ms"], 8000);
    EXPECT_EQ(merged["rows"][0]["answered"], 10);
}

TEST(account_merge, reports_counts_that_do_not_add_up)
{
    json unbalanced = make_source("a", 1, 5, 10, 0);
    unbalanced["rows"][0]["received"] = 99;
    EXPECT_FALSE(merge_accounts({member_response({unbalanced})}, 0, 5000)["conserved"]);
}

TEST(account_merge, explains_account_in_plain_text)
{
    const std::string text = explain_account(
        merge_accounts({member_response({make_source("a", 1, 5, 10, 0)})}, 0, 5000));
    EXPECT_NE(text.find("13 received, 10 answered, 2 not run, 1 unknown"), std::string::npos);
    EXPECT_NE(text.find("not run because: 2 overloaded"), std::string::npos);
    EXPECT_NE(text.find("unknown key: k1"), std::string::npos);
}

} // namespace
} // namespace fescuedyke
