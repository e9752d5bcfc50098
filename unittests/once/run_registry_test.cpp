#include "fescuedyke/once/run_registry.h"

#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

constexpr wall_time start_time(1'800'000'000'000);
constexpr held_bucket first_grant{1, true, start_time};

idempotency_key key_at(wall_time created, std::uint64_t seed = 1)
{
    random_source random(seed);
    return *parse_idempotency_key(make_uuid7(created, random));
}

TEST(idempotency_key, accepts_an_optional_home_region_before_a_uuid7)
{
    random_source random(1);
    const std::string uuid = make_uuid7(start_time, random);
    EXPECT_EQ(parse_idempotency_key(uuid)->home, region_name());
    EXPECT_EQ(parse_idempotency_key("puget:" + uuid)->home, region_name("puget"));
    EXPECT_EQ(parse_idempotency_key(uuid)->created, start_time);
    EXPECT_FALSE(parse_idempotency_key(":" + uuid).ok());
    EXPECT_FALSE(parse_idempotency_key("puget:").ok());
}

TEST(run_registry, not_run_key_stays_fenced_until_a_later_attempt)
{
    run_registry registry({});
    const idempotency_key key = key_at(start_time);
    EXPECT_EQ(registry.begin(key, 0, first_grant, start_time).action, run_action::run);
    registry.on_not_run(key);
    const run_decision copy = registry.begin(key, 0, first_grant, start_time);
    EXPECT_EQ(copy.action, run_action::refuse);
    EXPECT_EQ(copy.result.reason, outcome_reason::key_fenced);
    EXPECT_EQ(registry.begin(key, 1, first_grant, start_time).action, run_action::run);
}

TEST(run_registry, fence_covers_attempts_that_joined)
{
    run_registry registry({});
    const idempotency_key key = key_at(start_time);
    registry.begin(key, 0, first_grant, start_time);
    EXPECT_EQ(registry.begin(key, 3, first_grant, start_time).action, run_action::join);
    registry.on_not_run(key);
    EXPECT_EQ(registry.begin(key, 3, first_grant, start_time).result.reason,
              outcome_reason::key_fenced);
}

TEST(run_registry, new_owner_answers_unknown_for_keys_that_may_have_run)
{
    run_registry registry({});
    const held_bucket held{2, false, start_time};
    const wall_time later = start_time + millis(5000);
    const run_decision old = registry.begin(key_at(start_time + millis(1000)), 0, held, later);
    EXPECT_EQ(old.result.kind, outcome_kind::unknown);
    EXPECT_EQ(old.result.reason, outcome_reason::ownership_changed);
    EXPECT_EQ(registry.begin(key_at(start_time + millis(1001)), 0, held, later).action,
              run_action::run);
}

TEST(run_registry, expired_and_future_keys_never_run)
{
    run_registry registry({});
    const run_decision old =
        registry.begin(key_at(start_time - millis(700'000)), 0, first_grant, start_time);
    EXPECT_EQ(old.result.reason, outcome_reason::key_too_old);
    EXPECT_EQ(old.result.kind, outcome_kind::unknown);
    const idempotency_key future = key_at(start_time + millis(501));
    EXPECT_EQ(registry.begin(future, 0, first_grant, start_time).result.reason,
              outcome_reason::key_from_future);
    // The refusal remains true after the timestamp of the key is reached.
    EXPECT_EQ(registry.begin(future, 0, first_grant, start_time + millis(1000)).result.reason,
              outcome_reason::key_fenced);
}

TEST(run_registry, records_are_retained_while_their_keys_are_valid)
{
    run_registry_settings settings;
    run_registry registry(settings);
    const idempotency_key key = key_at(start_time);
    registry.begin(key, 0, first_grant, start_time);
    registry.on_answered(key, {200, {}, nullptr});
    registry.remove_expired(start_time + settings.retention);
    EXPECT_EQ(registry.begin(key, 1, first_grant, start_time + settings.retention).action,
              run_action::replay);
    registry.remove_expired(start_time + settings.retention + millis(1001));
    EXPECT_EQ(registry.size(), 0U);
    EXPECT_EQ(registry.begin(key, 2, first_grant, start_time + settings.retention + millis(1001))
                  .result.kind,
              outcome_kind::unknown);
}

TEST(run_registry, stored_responses_are_bounded)
{
    run_registry_settings settings;
    settings.max_stored_response_bytes = 10;
    run_registry registry(settings);
    const idempotency_key key = key_at(start_time);
    registry.begin(key, 0, first_grant, start_time);
    registry.on_answered(key, {200, {}, std::make_shared<const std::string>(11, 'x')});
    const run_decision again = registry.begin(key, 1, first_grant, start_time);
    EXPECT_EQ(again.result.kind, outcome_kind::unknown);
    EXPECT_EQ(again.result.reason, outcome_reason::answer_not_kept);
}

bucket_table table_with(std::uint64_t version, const char* owner, std::uint64_t epoch)
{
    bucket_table table;
    table.version = version;
    for (bucket_grant& g : table.homes[{service_name("s"), region_name()}]) {
        g = {instance_id(owner), incarnation(1), epoch, version, {}, {}};
    }
    return table;
}

TEST(ownership, serves_only_under_a_lease_for_its_table_version)
{
    ownership buckets(instance_id("a"), incarnation(1));
    const idempotency_key key = key_at(start_time);
    const service_name s("s");
    buckets.on_lease_renewed(instant(100), 1);
    buckets.on_table(table_with(1, "a", 1), start_time);
    EXPECT_FALSE(buckets.find_servable(s, key, instant(50)))
        << "a lease for a later table version was accepted";
    buckets.on_lease_renewed(instant(100), 1);
    EXPECT_TRUE(buckets.find_servable(s, key, instant(99)));
    EXPECT_FALSE(buckets.find_servable(s, key, instant(100)));
}

TEST(ownership, reacquired_bucket_has_incomplete_history)
{
    ownership buckets(instance_id("a"), incarnation(1));
    const idempotency_key key = key_at(start_time);
    buckets.on_table(table_with(1, "a", 1), start_time);
    buckets.on_lease_renewed(instant(1000), 1);
    EXPECT_TRUE(buckets.find_servable(service_name("s"), key, instant(1))->history_complete);
    buckets.on_table(table_with(3, "a", 3), start_time);
    EXPECT_FALSE(buckets.find_servable(service_name("s"), key, instant(1))->history_complete);
    buckets.on_table(table_with(2, "b", 2), start_time);
    EXPECT_TRUE(buckets.find_servable(service_name("s"), key, instant(1)))
        << "an older table was applied";
}

TEST(ownership, imported_history_applies_only_to_its_own_grant)
{
    const idempotency_key key = key_at(start_time);
    const service_name s("s");
    for (const std::uint64_t epoch : {2U, 3U}) {
        ownership buckets(instance_id("a"), incarnation(1));
        // The records may arrive before the table.
        buckets.on_history_imported({s, region_name()}, key.bucket, 2);
        buckets.on_table(table_with(1, "a", epoch), start_time);
        buckets.on_lease_renewed(instant(1000), 1);
        EXPECT_EQ(buckets.find_servable(s, key, instant(1))->history_complete, epoch == 2);
    }
}

TEST(ownership, released_buckets_return_only_to_a_later_incarnation)
{
    ownership buckets(instance_id("a"), incarnation(1));
    buckets.on_table(table_with(1, "a", 1), start_time);
    buckets.on_lease_renewed(instant(1000), 1);
    buckets.release_all();
    buckets.on_table(table_with(2, "a", 1), start_time);
    EXPECT_FALSE(buckets.find_servable(service_name("s"), key_at(start_time), instant(1)));
    buckets.rejoin(incarnation(2));
    buckets.on_table(table_with(3, "a", 1), start_time);
    EXPECT_FALSE(buckets.find_servable(service_name("s"), key_at(start_time), instant(1)));
}

} // namespace
} // namespace fescuedyke
