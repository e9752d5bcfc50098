#include "fescuedyke/once/run_registry.h"

#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

constexpr wall_time begin_wall(1'800'000'000'000);
constexpr bucket_hold first_hold{1, true, begin_wall};

idempotency_key key_at(wall_time created, std::uint64_t seed = 1)
{
    random_source random(seed);
    return *parse_idempotency_key(make_uuid7(created, random));
}

TEST(idempotency_key, has_an_optional_home_before_a_uuid7)
{
    random_source random(1);
    const std::string uuid = make_uuid7(begin_wall, random);
    EXPECT_EQ(parse_idempotency_key(uuid)->home, region_name());
    EXPECT_EQ(parse_idempotency_key("puget:" + uuid)->home, region_name("puget"));
    EXPECT_EQ(parse_idempotency_key(uuid)->created, begin_wall);
    EXPECT_FALSE(parse_idempotency_key(":" + uuid).ok());
    EXPECT_FALSE(parse_idempotency_key("puget:").ok());
}

TEST(run_registry, not_run_is_fenced_until_a_higher_try)
{
    run_registry registry({});
    const idempotency_key key = key_at(begin_wall);
    EXPECT_EQ(registry.begin(key, 0, first_hold, begin_wall).step, run_step::run);
    registry.on_not_run(key);
    const run_decision copy = registry.begin(key, 0, first_hold, begin_wall);
    EXPECT_EQ(copy.step, run_step::refuse);
    EXPECT_EQ(copy.result.reason, outcome_reason::key_fenced);
    EXPECT_EQ(registry.begin(key, 1, first_hold, begin_wall).step, run_step::run);
}

TEST(run_registry, the_fence_covers_the_tries_that_joined)
{
    run_registry registry({});
    const idempotency_key key = key_at(begin_wall);
    registry.begin(key, 0, first_hold, begin_wall);
    EXPECT_EQ(registry.begin(key, 3, first_hold, begin_wall).step, run_step::join);
    registry.on_not_run(key);
    EXPECT_EQ(registry.begin(key, 3, first_hold, begin_wall).result.reason,
              outcome_reason::key_fenced);
}

TEST(run_registry, a_new_owner_answers_unknown_for_what_may_have_run_before)
{
    run_registry registry({});
    const bucket_hold hold{2, false, begin_wall};
    const wall_time later = begin_wall + millis(5000);
    const run_decision old = registry.begin(key_at(begin_wall + millis(1000)), 0, hold, later);
    EXPECT_EQ(old.result.kind, outcome_kind::unknown);
    EXPECT_EQ(old.result.reason, outcome_reason::ownership_changed);
    EXPECT_EQ(registry.begin(key_at(begin_wall + millis(1001)), 0, hold, later).step,
              run_step::run);
}

TEST(run_registry, keys_too_old_or_from_the_future_never_run)
{
    run_registry registry({});
    const run_decision old =
        registry.begin(key_at(begin_wall - millis(700'000)), 0, first_hold, begin_wall);
    EXPECT_EQ(old.result.reason, outcome_reason::key_too_old);
    EXPECT_EQ(old.result.kind, outcome_kind::unknown);
    const idempotency_key future = key_at(begin_wall + millis(501));
    EXPECT_EQ(registry.begin(future, 0, first_hold, begin_wall).result.reason,
              outcome_reason::key_from_future);
    // The refusal stays true when the time has come.
    EXPECT_EQ(registry.begin(future, 0, first_hold, begin_wall + millis(1000)).result.reason,
              outcome_reason::key_fenced);
}

TEST(run_registry, records_are_kept_as_long_as_their_keys_may_be_used)
{
    run_registry_settings settings;
    run_registry registry(settings);
    const idempotency_key key = key_at(begin_wall);
    registry.begin(key, 0, first_hold, begin_wall);
    registry.on_answered(key, {200, {}, nullptr});
    registry.forget_old(begin_wall + settings.retention);
    EXPECT_EQ(registry.begin(key, 1, first_hold, begin_wall + settings.retention).step,
              run_step::replay);
    registry.forget_old(begin_wall + settings.retention + millis(1001));
    EXPECT_EQ(registry.size(), 0U);
    EXPECT_EQ(registry.begin(key, 2, first_hold, begin_wall + settings.retention + millis(1001))
                  .result.kind,
              outcome_kind::unknown);
}

TEST(run_registry, kept_answers_are_bounded)
{
    run_registry_settings settings;
    settings.max_kept_answer = 10;
    run_registry registry(settings);
    const idempotency_key key = key_at(begin_wall);
    registry.begin(key, 0, first_hold, begin_wall);
    registry.on_answered(key, {200, {}, std::make_shared<const std::string>(11, 'x')});
    const run_decision again = registry.begin(key, 1, first_hold, begin_wall);
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

TEST(ownership, serves_only_under_a_lease_and_its_table)
{
    ownership owned(instance_id("a"), incarnation(1));
    const idempotency_key key = key_at(begin_wall);
    const service_name s("s");
    owned.on_lease(instant(100), 1);
    owned.on_table(table_with(1, "a", 1), begin_wall);
    EXPECT_FALSE(owned.may_serve(s, key, instant(50))) << "the lease was for a later table";
    owned.on_lease(instant(100), 1);
    EXPECT_TRUE(owned.may_serve(s, key, instant(99)));
    EXPECT_FALSE(owned.may_serve(s, key, instant(100)));
}

TEST(ownership, a_bucket_that_went_away_and_came_back_has_lost_its_history)
{
    ownership owned(instance_id("a"), incarnation(1));
    const idempotency_key key = key_at(begin_wall);
    owned.on_table(table_with(1, "a", 1), begin_wall);
    owned.on_lease(instant(1000), 1);
    EXPECT_TRUE(owned.may_serve(service_name("s"), key, instant(1))->history_complete);
    owned.on_table(table_with(3, "a", 3), begin_wall);
    EXPECT_FALSE(owned.may_serve(service_name("s"), key, instant(1))->history_complete);
    owned.on_table(table_with(2, "b", 2), begin_wall);
    EXPECT_TRUE(owned.may_serve(service_name("s"), key, instant(1))) << "an older table was taken";
}

TEST(ownership, a_history_taken_over_counts_for_its_own_grant_only)
{
    const idempotency_key key = key_at(begin_wall);
    const service_name s("s");
    for (const std::uint64_t epoch : {2U, 3U}) {
        ownership owned(instance_id("a"), incarnation(1));
        // The records may come before the table does.
        owned.on_history_taken_over({s, region_name()}, key.bucket, 2);
        owned.on_table(table_with(1, "a", epoch), begin_wall);
        owned.on_lease(instant(1000), 1);
        EXPECT_EQ(owned.may_serve(s, key, instant(1))->history_complete, epoch == 2);
    }
}

TEST(ownership, what_was_given_up_comes_back_only_to_a_later_incarnation)
{
    ownership owned(instance_id("a"), incarnation(1));
    owned.on_table(table_with(1, "a", 1), begin_wall);
    owned.on_lease(instant(1000), 1);
    owned.release_all();
    owned.on_table(table_with(2, "a", 1), begin_wall);
    EXPECT_FALSE(owned.may_serve(service_name("s"), key_at(begin_wall), instant(1)));
    owned.renew(incarnation(2));
    owned.on_table(table_with(3, "a", 1), begin_wall);
    EXPECT_FALSE(owned.may_serve(service_name("s"), key_at(begin_wall), instant(1)));
}

} // namespace
} // namespace fescuedyke
