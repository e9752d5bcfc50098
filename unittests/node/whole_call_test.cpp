#include "world/world.h"

#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

using world::client_request;
using world::simulation;
using world::site_options;

const char* const browsing = "policy: browsing\nowner: inkwell\n"
                             "govern: {class: low, idempotent: true, deadline: 2s, retries: 2}\n";
const char* const deposits = "policy: deposits\nowner: inkwell\norder: 1\n"
                             "select: {request: [{label: operation, equals: deposit}]}\n"
                             "govern: {class: critical, idempotent: false, deadline: 3s}\n";

site_options site(const std::string& name, const std::string& service, int slots, millis time)
{
    site_options s;
    s.name = name;
    s.service = service;
    s.slots = slots;
    s.service_time = time;
    return s;
}

/// Two sites of bookings that call the calendar, and two of the calendar.
void build(simulation& sim, int slots = 4)
{
    for (const char* name : {"b1", "b2"}) {
        site_options s = site(name, "bookings", slots, millis(10));
        s.downstream_services = {"calendar"};
        sim.add_site(s);
    }
    sim.add_site(site("c1", "calendar", slots, millis(10)));
    sim.add_site(site("c2", "calendar", slots, millis(10)));
    sim.set_policies({browsing, deposits});
    sim.activate();
}

client_request browse(const std::string& at)
{
    client_request r;
    r.site = at;
    r.service = "bookings";
    return r;
}

client_request deposit(const std::string& at, const std::string& key, int attempt = 0)
{
    client_request r = browse(at);
    r.method = "POST";
    r.labels = "operation=deposit";
    r.key = key;
    r.attempt = attempt;
    return r;
}

struct seen {
    int count = 0;
    outcome result;
    std::string body;
    int status = 0;

    simulation::outcome_callback take()
    {
        return [this](const outcome& o, const http_response& a) {
            ++count;
            result = o;
            status = a.status;
            body = a.body ? *a.body : "";
        };
    }
};

TEST(whole_call, goes_through_two_services_and_back)
{
    simulation sim(1);
    build(sim);
    seen answer;
    sim.send(browse("b1"), answer.take());
    sim.run_for(millis(200));
    EXPECT_EQ(answer.count, 1);
    EXPECT_EQ(answer.result.kind, outcome_kind::answered);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(sim.runs().size(), 2U);
    const account_row served = sim.total(account_side::served);
    EXPECT_EQ(served.answered, 2U);
    EXPECT_TRUE(served.is_conserved());
}

TEST(whole_call, the_same_events_give_the_same_actions)
{
    const auto trace = [](std::uint64_t seed) {
        simulation sim(seed);
        build(sim);
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

TEST(whole_call, a_resent_key_joins_the_run_or_gets_its_answer_again)
{
    simulation sim(2);
    build(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    seen first;
    seen second;
    seen third;
    sim.send(deposit("b1", key), first.take());
    sim.run_for(millis(5));
    sim.send(deposit("b2", key, 1), second.take());
    sim.run_for(millis(200));
    sim.send(deposit("b2", key, 2), third.take());
    sim.run_for(millis(200));
    for (const seen* s : {&first, &second, &third}) {
        EXPECT_EQ(s->result.kind, outcome_kind::answered);
        EXPECT_EQ(s->body, key);
    }
    EXPECT_EQ(sim.total(account_side::served).answered, 4U);
    EXPECT_EQ(sim.dispatch_count(), 2U);
}

TEST(whole_call, unrepeatable_work_needs_a_valid_key)
{
    simulation sim(3);
    build(sim);
    seen none;
    seen bad;
    seen future;
    sim.send(deposit("b1", ""), none.take());
    sim.send(deposit("b1", "not-a-uuid"), bad.take());
    sim.send(deposit("b1", make_uuid7(sim.wall() + millis(60'000), sim.random())), future.take());
    sim.run_for(millis(100));
    EXPECT_EQ(none.result.reason, outcome_reason::key_missing);
    EXPECT_EQ(bad.result.reason, outcome_reason::key_invalid);
    EXPECT_EQ(future.result.reason, outcome_reason::key_from_future);
    for (const seen* s : {&none, &bad, &future}) {
        EXPECT_EQ(s->result.kind, outcome_kind::not_run);
    }
    EXPECT_TRUE(sim.runs().empty());
}

TEST(whole_call, a_crash_under_an_unrepeatable_call_is_unknown_and_never_runs_again)
{
    simulation sim(4);
    build(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    const bucket_grant* grant =
        sim.owners().find(service_name("bookings"), *parse_idempotency_key(key));
    const std::string owner = grant->owner.value();
    const std::string other = owner == "b1" ? "b2" : "b1";
    seen first;
    seen again;
    sim.send(deposit(other, key), first.take());
    sim.run_for(millis(6));
    ASSERT_EQ(sim.runs().size(), 1U);
    sim.crash(owner);
    sim.run_for(millis(50));
    EXPECT_EQ(first.result.kind, outcome_kind::unknown);
    // The bucket goes to the other site, which does not know what ran before.
    for (bucket_grant& g : sim.owners().homes.begin()->second) {
        if (g.owner.value() == owner) {
            g = {instance_id(other), incarnation(1), g.epoch + 1, 2, {}, {}};
        }
    }
    sim.owners().version = 2;
    sim.publish();
    sim.send(deposit(other, key, 1), again.take());
    sim.run_for(millis(100));
    EXPECT_EQ(again.result.kind, outcome_kind::unknown);
    EXPECT_EQ(again.result.reason, outcome_reason::ownership_changed);
    EXPECT_EQ(sim.runs().size(), 1U);
}

TEST(whole_call, a_leaving_owner_hands_its_records_to_the_next)
{
    simulation sim(11);
    build(sim);
    const std::string key = make_uuid7(sim.wall(), sim.random());
    const std::string old =
        sim.owners().find(service_name("bookings"), *parse_idempotency_key(key))->owner.value();
    const std::string next = old == "b1" ? "b2" : "b1";
    seen first;
    sim.send(deposit(old, key), first.take());
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
    sim.handle("b1", owners_in_force{table});
    sim.handle("b2", owners_in_force{table});
    seen during;
    sim.send(deposit(next, key, 1), during.take());
    sim.run_for(millis(300));
    EXPECT_EQ(first.result.kind, outcome_kind::answered);
    // While the key still runs at the old owner, the next one cannot know.
    EXPECT_EQ(during.result.kind, outcome_kind::unknown);
    seen after;
    sim.send(deposit(next, key, 2), after.take());
    sim.run_for(millis(100));
    EXPECT_EQ(after.result.kind, outcome_kind::answered);
    EXPECT_EQ(after.body, key);
    EXPECT_EQ(sim.dispatch_count(), 2U);
}

TEST(whole_call, a_lost_idempotent_call_is_tried_elsewhere)
{
    simulation sim(5);
    build(sim);
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

TEST(whole_call, a_call_below_a_cancelled_one_is_cancelled)
{
    simulation sim(6);
    build(sim);
    sim.set_service_time("calendar", millis(1000));
    client_request r = browse("b1");
    r.timeout = millis(100);
    seen answer;
    sim.send(r, answer.take());
    sim.run_for(millis(300));
    EXPECT_EQ(answer.result.kind, outcome_kind::unknown);
    EXPECT_EQ(answer.result.reason, outcome_reason::timed_out);
    for (const char* name : {"b1", "b2", "c1", "c2"}) {
        EXPECT_TRUE(sim.core(name).idle()) << name;
    }
    EXPECT_LT(sim.slot_time(), millis(250));
}

TEST(whole_call, a_draining_target_refuses_at_once_and_finishes_what_it_has)
{
    simulation sim(7);
    build(sim);
    seen before;
    seen after;
    sim.send(deposit("b1", make_uuid7(sim.wall(), sim.random())), before.take());
    sim.run_for(millis(3));
    for (const char* name : {"b1", "b2"}) {
        sim.handle(name, target_draining{});
    }
    sim.send(browse("b1"), after.take());
    sim.run_for(millis(300));
    EXPECT_EQ(before.result.kind, outcome_kind::answered);
    EXPECT_EQ(after.result.kind, outcome_kind::not_run);
    EXPECT_EQ(after.result.reason, outcome_reason::draining);
}

TEST(whole_call, a_node_without_a_fresh_configuration_runs_nothing)
{
    simulation sim(8);
    sim.add_site(site("b1", "bookings", 1, millis(1)));
    seen answer;
    sim.send(browse("b1"), answer.take());
    EXPECT_EQ(answer.result.reason, outcome_reason::not_ready);
    EXPECT_EQ(answer.result.kind, outcome_kind::not_run);
}

TEST(whole_call, malformed_headers_are_refused_and_counted)
{
    simulation sim(9);
    build(sim);
    client_request r = browse("b1");
    r.labels = "a=1,a=2";
    seen answer;
    sim.send(r, answer.take());
    EXPECT_EQ(answer.result.reason, outcome_reason::bad_request);
    EXPECT_EQ(sim.total(account_side::sent).total_not_run(), 1U);
    EXPECT_TRUE(sim.total(account_side::sent).is_conserved());
}

TEST(whole_call, the_local_target_and_a_remote_one_are_served_alike)
{
    simulation sim(10);
    sim.add_site(site("b1", "bookings", 1, millis(10)));
    sim.set_policies({browsing});
    sim.activate();
    seen answer;
    sim.send(browse("b1"), answer.take());
    sim.run_for(millis(50));
    EXPECT_EQ(answer.result.kind, outcome_kind::answered);
    EXPECT_EQ(sim.total(account_side::served).answered, 1U);
}

} // namespace
} // namespace fescuedyke
