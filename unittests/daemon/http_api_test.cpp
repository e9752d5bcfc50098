#include "fescuedyke/daemon/handover_codec.h"
#include "fescuedyke/daemon/http_api.h"
#include "fescuedyke/daemon/json_body.h"
#include "fescuedyke/daemon/outcome_http.h"
#include "fescuedyke/settings/process_settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

TEST(http_api, call_path_is_split_into_service_and_target_path)
{
    EXPECT_EQ(parse_call_path("/call/bookings/a/b?c=d")->path, "/a/b?c=d");
    EXPECT_EQ(parse_call_path("/call/bookings")->path, "/");
    EXPECT_EQ(parse_call_path("/call/bookings?x=1")->path, "/?x=1");
    EXPECT_FALSE(parse_call_path("/call/").ok());
    EXPECT_FALSE(parse_call_path("/calls/x").ok());
}

TEST(http_api, invalid_announcement_is_rejected_with_the_offending_key)
{
    const auto error_message = [](const std::string& body) {
        return std::string(parse_announcement(body).status().message());
    };
    EXPECT_TRUE(parse_announcement(R"({"service":"s","address":"127.0.0.1:9","slots":3})").ok());
    EXPECT_EQ(error_message(R"({"address":"127.0.0.1:9"})"), "service: is missing");
    EXPECT_EQ(error_message(R"({"service":"s","address":"nowhere"})").find("address:"), 0U);
    EXPECT_EQ(error_message(R"({"service":"s","address":"127.0.0.1:9","slots":0})").find("slots:"),
              0U);
    EXPECT_FALSE(parse_announcement("[]").ok());
}

// Guards against a process that ends on a body that is nested too deeply (issue 28, report 1).
TEST(http_api, bodies_nested_without_bound_are_rejected)
{
    constexpr std::size_t depth = 2'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_FALSE(parse_announcement(nested).ok());
    EXPECT_FALSE(parse_announcement(R"({"service":)" + nested + "}").ok());
    EXPECT_FALSE(parse_policy_change(R"({"labels":)" + nested + "}").ok());
    EXPECT_TRUE(parse_json_object(R"({"a":[[[{"b":1}]]]})").ok());
}

RC_GTEST_PROP(http_api, arbitrary_input_does_not_crash_the_parsers, (const std::string& body))
{
    (void)parse_announcement(body);
    (void)parse_policy_change(body);
    (void)parse_request_uri(body);
    (void)parse_call_path(body);
}

TEST(http_api, change_with_invalid_policy_is_rejected_with_the_offending_key)
{
    const absl::Status status =
        parse_policy_change(
            R"({"change_id":"x","policy":"policy: p\nowner: o\ngovern: {class: x}"})")
            .status();
    EXPECT_NE(std::string(status.message()).find("govern.class"), std::string::npos);
}

TEST(http_api, operator_may_act_only_for_its_owners)
{
    const std::vector<operator_entry> operators = {{"ada", "t1", {"inkwell"}},
                                                   {"ops", "t2", {"*"}}};
    const operator_entry* ada = find_operator(operators, {{"authorization", "Bearer t1"}});
    ASSERT_NE(ada, nullptr);
    EXPECT_TRUE(may_act_for(*ada, owner_name("inkwell")));
    EXPECT_FALSE(may_act_for(*ada, owner_name("chenab")));
    EXPECT_TRUE(may_act_for(operators[1], owner_name("chenab")));
    EXPECT_EQ(find_operator(operators, {{"authorization", "Bearer t"}}), nullptr);
    EXPECT_EQ(find_operator(operators, {}), nullptr);
}

TEST(outcome_http, maps_outcomes_to_status_and_headers)
{
    const http_response refusal = to_http(outcome::not_run(outcome_reason::overloaded), {});
    EXPECT_EQ(refusal.status, 503);
    EXPECT_EQ(*find_header(refusal.headers, "fescue-outcome"), "not-run");
    EXPECT_EQ(*find_header(refusal.headers, "fescue-retry-after"), "200ms");
    EXPECT_EQ(to_http(outcome::unknown(outcome_reason::timed_out), {}).status, 504);
    EXPECT_EQ(to_http(outcome::not_run(outcome_reason::too_large), {}).status, 413);
    EXPECT_EQ(to_http(outcome::not_run(outcome_reason::key_missing), {}).status, 400);
}

TEST(handover_codec, records_survive_encoding_and_decoding)
{
    records_handed_over sent{{service_name("s"), region_name("r")}, bucket_index(3), 5, {}};
    sent.records["k"].state = run_state::fenced;
    sent.records["k"].client_attempt = 4;
    const absl::StatusOr<records_handed_over> decoded = decode_handover(encode_handover(sent));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->epoch, 5U);
    EXPECT_EQ(decoded->records.at("k").state, run_state::fenced);
    EXPECT_EQ(decoded->records.at("k").client_attempt, 4);
}

TEST(process_settings, all_errors_are_reported_and_examples_are_valid)
{
    const std::string message(
        parse_settings("instance: a\nregion: r\nlisten: {http: x, peer: 127.0.0.1:1}\n"
                       "control: {members: [], member: true}\n"
                       "limits: {memory: 5, region_cost_per_kib: 20s}\nextra: 1\n")
            .status()
            .message());
    for (const char* expected_error :
         {"owner: is missing", "zone: is missing", "listen.http", "control.members", "control.data",
          "limits.memory", "limits.region_cost_per_kib", "extra: is not a known key"}) {
        EXPECT_NE(message.find(expected_error), std::string::npos) << expected_error << " in\n"
                                                                   << message;
    }
    for (const char* name : {"c1", "c2", "c3", "bookings-1", "fees-2"}) {
        const auto settings = load_settings(std::string("examples/settings/") + name + ".yaml");
        EXPECT_TRUE(settings.ok()) << settings.status().message();
    }
    EXPECT_TRUE(absl::IsNotFound(load_settings("no/such/file").status()));
}

} // namespace
} // namespace fescuedyke
