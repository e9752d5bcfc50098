#include "fescuedyke/policy/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

policy parse_valid_policy(const std::string& yaml)
{
    absl::StatusOr<policy> parsed = parse_policy(yaml);
    EXPECT_TRUE(parsed.ok()) << parsed.status().message();
    return parsed.ok() ? *parsed : policy{};
}

TEST(policy, parses_every_field)
{
    const policy p =
        parse_valid_policy("policy: deposits\nowner: inkwell\norder: 3\nprivate: true\n"
                           "select:\n  service:\n    - {label: name, equals: bookings}\n"
                           "  request:\n    - {label: operation, in: [deposit, hold]}\n"
                           "govern: {class: critical, idempotent: false, deadline: 3s,\n"
                           "  retries: 2, cross_region: true, max_body: 2KiB}\n");
    EXPECT_EQ(p.cls, priority_class::critical);
    EXPECT_EQ(p.deadline, millis(3000));
    EXPECT_EQ(p.max_body_bytes, 2048U);
    EXPECT_TRUE(p.is_private);
    EXPECT_TRUE(p.service_selector.matches({{"name", "bookings"}}));
    EXPECT_FALSE(p.request_selector.matches({{"operation", "browse"}}));
}

TEST(policy, every_error_is_reported_with_its_line)
{
    const absl::Status status =
        parse_policy("policy: a\ngovern:\n  class: urgent\n  deadline: 3\n  colour: red\n")
            .status();
    const std::string message(status.message());
    EXPECT_NE(message.find("owner: is missing"), std::string::npos) << message;
    EXPECT_NE(message.find("line 3: govern.class"), std::string::npos) << message;
    EXPECT_NE(message.find("line 4: govern.deadline"), std::string::npos) << message;
    EXPECT_NE(message.find("line 5: govern.colour: is not a known key"), std::string::npos);
}

TEST(policy, invalid_yaml_is_rejected_without_an_exception)
{
    EXPECT_FALSE(parse_policy("a: [").ok());
    EXPECT_FALSE(parse_policy("- 1").ok());
    EXPECT_FALSE(parse_policy("").ok());
}

TEST(policy_set, greatest_order_among_policies_of_the_owner_applies)
{
    std::map<std::string, policy> policies;
    policies["a"] = parse_valid_policy("policy: a\nowner: inkwell\ngovern: {class: low}\n");
    policies["b"] =
        parse_valid_policy("policy: b\nowner: inkwell\norder: 5\ngovern: {class: high}\n");
    policies["c"] =
        parse_valid_policy("policy: c\nowner: chenab\norder: 9\ngovern: {class: critical}\n");
    const policy_set set(config_version(1), policies);
    EXPECT_EQ(set.match(owner_name("inkwell"), {}, {})->name, "b");
    EXPECT_EQ(set.match(owner_name("chenab"), {}, {})->name, "c");
    EXPECT_EQ(set.match(owner_name("other"), {}, {}), nullptr);
}

TEST(selector, only_not_in_holds_for_an_absent_label)
{
    const auto matches_labels = [](selector_operator op, const label_set& labels) {
        return selector({{"k", op, {"a", "b"}}}).matches(labels);
    };
    EXPECT_TRUE(matches_labels(selector_operator::in, {{"k", "b"}}));
    EXPECT_FALSE(matches_labels(selector_operator::in, {}));
    EXPECT_TRUE(matches_labels(selector_operator::not_in, {}));
    EXPECT_FALSE(matches_labels(selector_operator::not_in, {{"k", "a"}}));
    EXPECT_TRUE(matches_labels(selector_operator::exists, {{"k", ""}}));
    EXPECT_FALSE(matches_labels(selector_operator::exists, {}));
}

TEST(labels, malformed_or_oversized_labels_are_rejected)
{
    std::string too_many_labels;
    for (std::size_t i = 0; i <= max_labels; ++i) {
        too_many_labels += "k" + std::to_string(i) + "=v,";
    }
    EXPECT_FALSE(parse_labels(too_many_labels).ok());
    EXPECT_FALSE(parse_labels("a=" + std::string(max_label_bytes + 1, 'x')).ok());
    EXPECT_FALSE(parse_labels("a=1,a=2").ok());
    EXPECT_FALSE(parse_labels("=1").ok());
    EXPECT_TRUE(parse_labels("").ok());
}

RC_GTEST_PROP(policy, arbitrary_text_is_parsed_or_rejected, (const std::string& text))
{
    const absl::StatusOr<policy> parsed = parse_policy(text);
    RC_ASSERT(parsed.ok() || !parsed.status().message().empty());
}

} // namespace
} // namespace fescuedyke
