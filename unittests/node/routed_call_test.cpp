#include "fescuedyke/node/node_core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace fescuedyke {
namespace {

const service_name service("s");
constexpr millis client_wait{5000};

/// One node that no target stands beside, and targets on other instances.
class routed_call : public testing::Test {
protected:
    explicit routed_call(node_settings settings = own_settings()) : core_(settings, random_) {}

    static node_settings own_settings()
    {
        node_settings settings;
        settings.self = instance_id("entry");
        settings.place = {region_name("r"), zone_name("a")};
        settings.retry_share = 0.02;
        settings.most_saved_retries = 1;
        return settings;
    }

    static target_info target(int number)
    {
        target_info t;
        t.instance = instance_id("t" + std::to_string(number));
        t.node_address = {"10.0.0." + std::to_string(number), 1};
        t.place = {region_name("r"), zone_name("a")};
        t.service = service;
        t.identity = "i-" + std::to_string(number);
        t.slots = 4;
        return t;
    }

    void see_targets(int count)
    {
        auto view = std::make_shared<target_view>();
        view->version = ++view_version_;
        for (int i = 1; i <= count; ++i) {
            view->services[service].push_back(target(i));
        }
        step(targets_in_view{view});
    }

    void bring(std::uint64_t exchange, bool idempotent, int most_targets = 2,
               const std::shared_ptr<body_reader>& flow = nullptr)
    {
        caller_request event;
        event.exchange = exchange_id(exchange);
        event.service = service;
        auto request = std::make_shared<http_request>();
        request->body_stream = flow;
        event.request = std::move(request);
        route_terms terms;
        terms.governing.name = "route";
        terms.governing.idempotent = idempotent;
        terms.governing.deadline = millis(2000);
        terms.governing.cross_region = true;
        terms.governing.max_body = 64U << 20U;
        terms.time_left = client_wait;
        terms.most_targets = most_targets;
        event.route = terms;
        step(event);
    }

    void reply(const outcome& result, int status = 200)
    {
        ASSERT_FALSE(sent_.empty());
        const send_call call = sent_.back();
        peer_reply event;
        event.call = call.context.call;
        event.attempt = call.context.attempt;
        event.reply.result = result;
        event.reply.response.status = result.kind == outcome_kind::answered ? status : 0;
        event.reply.load.limit = 4;
        event.reply.load.expected_time = millis(50);
        step(event);
    }

    void fail(peer_failure failure)
    {
        const send_call call = sent_.back();
        step(peer_failed{call.context.call, call.context.attempt, failure});
    }

    void step(const node_event& event)
    {
        for (const node_action& action : core_.handle(event, {now_, wall_time(0)})) {
            if (const auto* a = std::get_if<send_call>(&action)) {
                sent_.push_back(*a);
            }
            if (const auto* a = std::get_if<answer_caller>(&action)) {
                answers_.push_back(*a);
            }
        }
    }

    random_source random_{7};
    node_core core_;
    instant now_{100'000};
    std::uint64_t view_version_ = 0;
    std::vector<send_call> sent_;
    std::vector<answer_caller> answers_;
};

TEST_F(routed_call, a_body_that_flows_is_sent_again_only_while_its_first_byte_is_there)
{
    see_targets(3);
    body_writer writer(4U << 20U);
    bring(1, false, 2, writer.make_reader());
    reply(outcome::not_run(outcome_reason::overloaded));
    EXPECT_EQ(sent_.size(), 2U);

    // As much as is kept was read, and more came.
    body_reader& flow = *sent_.back().request->body_stream;
    const std::uint64_t reading = flow.rewind({});
    std::string part(body_stream_capacity_bytes, 'x');
    writer.write(part);
    flow.read(reading, part.data(), part.size());
    writer.write("more");
    ASSERT_FALSE(flow.can_rewind());
    reply(outcome::not_run(outcome_reason::overloaded));
    EXPECT_EQ(sent_.size(), 2U);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].result.kind, outcome_kind::not_run);
}

TEST_F(routed_call, a_failed_answer_that_flows_is_passed_on)
{
    see_targets(2);
    bring(1, true);
    body_writer writer(4U << 20U);
    peer_reply event;
    event.call = sent_.back().context.call;
    event.reply.result = outcome::answered();
    event.reply.response.status = 500;
    event.reply.response.body_stream = writer.make_reader();
    step(event);
    EXPECT_EQ(sent_.size(), 1U);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_NE(answers_[0].answer.body_stream, nullptr);
}

TEST_F(routed_call, goes_to_the_start_of_the_target_that_was_chosen)
{
    see_targets(2);
    bring(1, true);
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_[0].context.target, "i-" + sent_[0].instance.value().substr(1));
    EXPECT_FALSE(sent_[0].context.keyless);
    reply(outcome::answered());
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].answer.status, 200);
}

TEST_F(routed_call, an_idempotent_call_that_a_target_failed_is_sent_once_more)
{
    see_targets(2);
    bring(1, true);
    reply(outcome::answered(), 500);
    ASSERT_EQ(sent_.size(), 2U);
    EXPECT_NE(sent_[0].instance, sent_[1].instance);
    EXPECT_TRUE(answers_.empty());
    reply(outcome::answered(), 200);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].answer.status, 200);
}

TEST_F(routed_call, the_failure_reaches_the_caller_when_nothing_better_comes)
{
    see_targets(2);
    bring(1, true);
    reply(outcome::answered(), 500);
    fail(peer_failure::lost);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].result.kind, outcome_kind::answered);
    EXPECT_EQ(answers_[0].answer.status, 500);
}

TEST_F(routed_call, the_failure_reaches_the_caller_when_there_is_no_other_target)
{
    see_targets(1);
    bring(1, true);
    reply(outcome::answered(), 500);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].answer.status, 500);
}

TEST_F(routed_call, unrepeatable_work_that_may_have_run_goes_to_no_second_target)
{
    see_targets(3);
    bring(1, false);
    EXPECT_TRUE(sent_[0].context.keyless);
    fail(peer_failure::lost);
    EXPECT_EQ(sent_.size(), 1U);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].result.kind, outcome_kind::unknown);
}

TEST_F(routed_call, refusals_by_targets_nodes_do_not_count_as_targets_reached)
{
    see_targets(4);
    bring(1, false, 1);
    reply(outcome::not_run(outcome_reason::draining));
    fail(peer_failure::never_processed);
    reply(outcome::not_run(outcome_reason::overloaded));
    ASSERT_EQ(sent_.size(), 4U);
    reply(outcome::answered());
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].answer.status, 200);
}

TEST_F(routed_call, the_retry_budget_bounds_what_is_sent_again)
{
    see_targets(3);
    constexpr int calls = 200;
    for (int i = 1; i <= calls; ++i) {
        bring(static_cast<std::uint64_t>(i), true);
        fail(peer_failure::lost);
        if (answers_.size() < static_cast<std::size_t>(i)) {
            fail(peer_failure::lost);
        }
        now_ = now_ + millis(100);
    }
    EXPECT_EQ(answers_.size(), static_cast<std::size_t>(calls));
    EXPECT_LE(sent_.size(), static_cast<std::size_t>(calls + 1));
}

/// What may become of an attempt.
enum class fate { answered, failed, refused, shed, lost, unreachable, silent };

RC_GTEST_PROP(keyless_work, goes_to_a_second_target_only_if_the_first_provably_did_not_run, ())
{
    node_settings settings;
    settings.self = instance_id("entry");
    settings.most_saved_retries = 1000;
    random_source random(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    node_core core(settings, random);
    instant now(100'000);
    auto view = std::make_shared<target_view>();
    for (int i = 1; i <= 5; ++i) {
        target_info t;
        t.instance = instance_id("t" + std::to_string(i));
        t.service = service;
        t.identity = "i-" + std::to_string(i);
        t.slots = 4;
        view->services[service].push_back(t);
    }
    std::vector<send_call> sent;
    std::vector<answer_caller> answers;
    const auto step = [&](const node_event& event) {
        for (const node_action& action : core.handle(event, {now, wall_time(0)})) {
            if (const auto* a = std::get_if<send_call>(&action)) {
                sent.push_back(*a);
            }
            if (const auto* a = std::get_if<answer_caller>(&action)) {
                answers.push_back(*a);
            }
        }
    };
    step(targets_in_view{view});
    caller_request event;
    event.exchange = exchange_id(1);
    event.service = service;
    event.request = std::make_shared<http_request>();
    route_terms terms;
    terms.governing.idempotent = false;
    terms.governing.deadline = millis(2000);
    terms.governing.cross_region = true;
    terms.time_left = millis(2000);
    terms.most_targets = *rc::gen::inRange(1, 4);
    event.route = terms;
    step(event);
    bool may_have_run = false;
    std::size_t reached = 0;
    for (std::size_t i = 0; i < sent.size() && i < 20; ++i) {
        RC_ASSERT(!may_have_run);
        const send_call call = sent[i];
        const fate f = *rc::gen::element(fate::answered, fate::failed, fate::refused, fate::shed,
                                         fate::lost, fate::unreachable, fate::silent);
        peer_reply told;
        told.call = call.context.call;
        told.attempt = call.context.attempt;
        told.reply.load.limit = 4;
        switch (f) {
        case fate::answered:
        case fate::failed:
            may_have_run = true;
            told.reply.result = outcome::answered();
            told.reply.response.status = f == fate::answered ? 200 : 500;
            step(told);
            break;
        case fate::refused:
            told.reply.result = outcome::not_run(outcome_reason::draining);
            step(told);
            break;
        case fate::shed:
            ++reached;
            told.reply.result = outcome::not_run(outcome_reason::target_shed);
            step(told);
            break;
        case fate::lost:
            may_have_run = true;
            step(peer_failed{call.context.call, call.context.attempt, peer_failure::lost});
            break;
        case fate::unreachable:
            step(peer_failed{call.context.call, call.context.attempt,
                             peer_failure::never_processed});
            break;
        case fate::silent:
            may_have_run = true;
            now = now + millis(3000);
            step(tick{});
            break;
        }
    }
    RC_ASSERT(reached <= static_cast<std::size_t>(terms.most_targets));
    RC_ASSERT(answers.size() == 1U);
    // "Not run" is said only when no attempt may have run.
    RC_ASSERT(answers[0].result.kind != outcome_kind::not_run || !may_have_run);
}

} // namespace
} // namespace fescuedyke
