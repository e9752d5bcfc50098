#include "world/world.h"

#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

using world::client_request;
using world::simulation;
using world::site_options;

const char* const browsing_policy =
    "policy: browsing\nowner: inkwell\n"
    "govern: {class: low, idempotent: true, deadline: 2s, retries: 2}\n";
const char* const deposits_policy = "policy: deposits\nowner: inkwell\norder: 1\n"
                                    "select: {request: [{label: operation, equals: deposit}]}\n"
                                    "govern: {class: critical, idempotent: false, deadline: 3s}\n";

site_options site(const std::string& name, const std::string& service, int slots,
                  millis service_time)
{
    site_options s;
    s.name = name;
    s.service = service;
    s.slots = slots;
    s.service_time = service_time;
    return s;
}

/// Two sites of the bookings service, which calls the calendar service, and two of the latter.
void build_sites(simulation& sim, int slots = 4)
{
    for (const char* name : {"b1", "b2"}) {
        site_options s = site(name, "bookings", slots, millis(10));
        s.downstream_services = {"calendar"};
        sim.add_site(s);
    }
    sim.add_site(site("c1", "calendar", slots, millis(10)));
    sim.add_site(site("c2", "calendar", slots, millis(10)));
    sim.set_policies({browsing_policy, deposits_policy});
    sim.activate();
}

client_request browse(const std::string& site_name)
{
    client_request r;
    r.site = site_name;
    r.service = "bookings";
    return r;
}

client_request deposit(const std::string& site_name, const std::string& key, int attempt = 0)
{
    client_request r = browse(site_name);
    r.method = "POST";
    r.labels = "operation=deposit";
    r.key = key;
    r.attempt = attempt;
    return r;
}

struct recorded_outcome {
    int count = 0;
    outcome result;
    std::string body;
    int status = 0;

    simulation::outcome_callback make_callback()
    {
        return [this](const outcome& o, const http_response& a) {
            ++count;
            result = o;
            status = a.status;
            body = a.body ? *a.body : "";
        };
    }
};

TEST(end_to_end_call, passes_through_two_services)
{
    simulation sim(1);
    build_sites(sim);
    recorded_outcome recorded;
    sim.send(browse("b1"), recorded.make_callback());
    sim.run_for(millis(200));
    EXPECT_EQ(recorded.count, 1);
    EXPECT_EQ(recorded.result.kind, outcome_kind::answered);
    EXPECT_EQ(recorded.status, 200);
    EXPECT_EQ(sim.runs().size(), 2U);
    const account_row served = sim.total(account_side::served);
    EXPECT_EQ(served.answered, 2U);
    EXPECT_TRUE(served.is_conserved());
}

TEST(end_to_end_call, is_deterministic_for_a_seed)
{
    const auto trace = [](std::uint64_t seed) {
        simulation sim(seed);
        build_sites(sim);
        std::string log;
        for (int i = 0; i < 40; ++i) {
            sim.send(browse(i % 2 == 0 ? "b1" : "b2"), [&](const outcome& o, const http_response&) {
                log += std::to_string(sim.now().since_origin()) + to_string(o.kind) + ";";
            });
            sim.run_for(millis(2));
        }
        sim.run_for(millis(500));
        return log;
    };
    EXPECT_EQ(trace(7), trace(7));
}

TEST(end_to_end_call, resent_key_joins_the_run_or_replays_its_response)
{
    simulation sim(2);
    build_sites(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    recorded_outcome first;
    recorded_outcome second;
    recorded_outcome third;
    sim.send(deposit("b1", key), first.make_callback());
    sim.run_for(millis(5));
    sim.send(deposit("b2", key, 1), second.make_callback());
    sim.run_for(millis(200));
    sim.send(deposit("b2", key, 2), third.make_callback());
    sim.run_for(millis(200));
    for (const recorded_outcome* recorded : {&first, &second, &third}) {
        EXPECT_EQ(recorded->result.kind, outcome_kind::answered);
        EXPECT_EQ(recorded->body, key);
    }
    EXPECT_EQ(sim.total(account_side::served).answered, 4U);
    EXPECT_EQ(sim.dispatch_count(), 2U);
}

TEST(end_to_end_call, non_idempotent_call_needs_a_valid_key)
{
    simulation sim(3);
    build_sites(sim);
    recorded_outcome missing;
    recorded_outcome malformed;
    recorded_outcome future;
    sim.send(deposit("b1", ""), missing.make_callback());
    sim.send(deposit("b1", "not-a-uuid"), malformed.make_callback());
    sim.send(deposit("b1", make_uuid7(sim.wall() + millis(60'000), sim.random())),
             future.make_callback());
    sim.run_for(millis(100));
    EXPECT_EQ(missing.result.reason, outcome_reason::key_missing);
    EXPECT_EQ(malformed.result.reason, outcome_reason::key_invalid);
    EXPECT_EQ(future.result.reason, outcome_reason::key_from_future);
    for (const recorded_outcome* recorded : {&missing, &malformed, &future}) {
        EXPECT_EQ(recorded->result.kind, outcome_kind::not_run);
    }
    EXPECT_TRUE(sim.runs().empty());
}

TEST(end_to_end_call, crash_during_a_non_idempotent_call_is_unknown_and_never_reruns)
{
    simulation sim(4);
    build_sites(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    const bucket_grant* grant =
        sim.owners().find(service_name("bookings"), *parse_idempotency_key(key));
    const std::string owner = grant->owner.value();
    const std::string other = owner == "b1" ? "b2" : "b1";
    recorded_outcome first;
    recorded_outcome again;
    sim.send(deposit(other, key), first.make_callback());
    sim.run_for(millis(6));
    ASSERT_EQ(sim.runs().size(), 1U);
    sim.crash(owner);
    sim.run_for(millis(50));
    EXPECT_EQ(first.result.kind, outcome_kind::unknown);
    // The bucket moves to the other site, which has no records of earlier runs.
    for (bucket_grant& g : sim.owners().homes.begin()->second) {
        if (g.owner.value() == owner) {
            g = {instance_id(other), incarnation(1), g.epoch + 1, 2, {}, {}};
        }
    }
    sim.owners().version = 2;
    sim.publish();
    sim.send(deposit(other, key, 1), again.make_callback());
    sim.run_for(millis(100));
    EXPECT_EQ(again.result.kind, outcome_kind::unknown);
    EXPECT_EQ(again.result.reason, outcome_reason::ownership_changed);
    EXPECT_EQ(sim.runs().size(), 1U);
}

TEST(end_to_end_call, leaving_owner_hands_over_its_records)
{
    simulation sim(11);
    build_sites(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    const std::string old =
        sim.owners().find(service_name("bookings"), *parse_idempotency_key(key))->owner.value();
    const std::string next = old == "b1" ? "b2" : "b1";
    recorded_outcome first;
    sim.send(deposit(old, key), first.make_callback());
    sim.run_for(millis(3));
    sim.handle(old, target_draining{});
    for (auto& [home, grants] : sim.owners().homes) {
        for (bucket_grant& g : grants) {
            if (g.owner.value() == old) {
                g = {instance_id(next), incarnation(1), 2, 2, {}, {}};
            }
        }
    }
    sim.owners().version = 2;
    const auto table = std::make_shared<bucket_table>(sim.owners());
    sim.handle("b1", owners_updated{table});
    sim.handle("b2", owners_updated{table});
    recorded_outcome during;
    sim.send(deposit(next, key, 1), during.make_callback());
    sim.run_for(millis(300));
    EXPECT_EQ(first.result.kind, outcome_kind::answered);
    // While the key still runs at the old owner, the next owner cannot know its result.
    EXPECT_EQ(during.result.kind, outcome_kind::unknown);
    recorded_outcome after;
    sim.send(deposit(next, key, 2), after.make_callback());
    sim.run_for(millis(100));
    EXPECT_EQ(after.result.kind, outcome_kind::answered);
    EXPECT_EQ(after.body, key);
    EXPECT_EQ(sim.dispatch_count(), 2U);
}

TEST(end_to_end_call, lost_idempotent_call_is_retried_on_another_target)
{
    simulation sim(5);
    build_sites(sim);
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
        sim.send(browse("b1"), [&](const outcome& o, const http_response& a) {
            answered += o.kind == outcome_kind::answered && a.status == 200 ? 1 : 0;
        });
        sim.run_for(millis(4));
        if (i == 10) {
            sim.crash("c1");
        }
    }
    sim.run_for(millis(2000));
    EXPECT_EQ(answered, 20);
}

TEST(end_to_end_call, cancellation_propagates_to_child_calls)
{
    simulation sim(6);
    build_sites(sim);
    sim.set_service_time("calendar", millis(1000));
    client_request r = browse("b1");
    r.timeout = millis(100);
    recorded_outcome recorded;
    sim.send(r, recorded.make_callback());
    sim.run_for(millis(300));
    EXPECT_EQ(recorded.result.kind, outcome_kind::unknown);
    EXPECT_EQ(recorded.result.reason, outcome_reason::timed_out);
    for (const char* name : {"b1", "b2", "c1", "c2"}) {
        EXPECT_TRUE(sim.core(name).idle()) << name;
    }
    EXPECT_LT(sim.slot_time(), millis(250));
}

TEST(end_to_end_call, draining_target_refuses_new_calls_and_finishes_open_ones)
{
    simulation sim(7);
    build_sites(sim);
    recorded_outcome before;
    recorded_outcome after;
    sim.send(deposit("b1", make_uuid7(sim.wall(), sim.random())), before.make_callback());
    sim.run_for(millis(3));
    for (const char* name : {"b1", "b2"}) {
        sim.handle(name, target_draining{});
    }
    sim.send(browse("b1"), after.make_callback());
    sim.run_for(millis(300));
    EXPECT_EQ(before.result.kind, outcome_kind::answered);
    EXPECT_EQ(after.result.kind, outcome_kind::not_run);
    EXPECT_EQ(after.result.reason, outcome_reason::draining);
}

TEST(end_to_end_call, node_without_a_fresh_configuration_runs_nothing)
{
    simulation sim(8);
    sim.add_site(site("b1", "bookings", 1, millis(1)));
    recorded_outcome recorded;
    sim.send(browse("b1"), recorded.make_callback());
    EXPECT_EQ(recorded.result.reason, outcome_reason::not_ready);
    EXPECT_EQ(recorded.result.kind, outcome_kind::not_run);
}

TEST(end_to_end_call, malformed_headers_are_refused_and_counted)
{
    simulation sim(9);
    build_sites(sim);
    client_request r = browse("b1");
    r.labels = "a=1,a=2";
    recorded_outcome recorded;
    sim.send(r, recorded.make_callback());
    EXPECT_EQ(recorded.result.reason, outcome_reason::bad_request);
    EXPECT_EQ(sim.total(account_side::sent).total_not_run(), 1U);
    EXPECT_TRUE(sim.total(account_side::sent).is_conserved());
}

TEST(end_to_end_call, call_to_the_local_target_is_answered_and_counted)
{
    simulation sim(10);
    sim.add_site(site("b1", "bookings", 1, millis(10)));
    sim.set_policies({browsing_policy});
    sim.activate();
    recorded_outcome recorded;
    sim.send(browse("b1"), recorded.make_callback());
    sim.run_for(millis(50));
    EXPECT_EQ(recorded.result.kind, outcome_kind::answered);
    EXPECT_EQ(sim.total(account_side::served).answered, 1U);
}

} // namespace
} // namespace fescuedyke
