#include "fescuedyke/admission/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace fescuedyke {
namespace {

admission_entry entry(std::uint64_t id, priority_class cls, std::uint16_t subpriority,
                      instant deadline)
{
    admission_entry e;
    e.id = inbound_id(id);
    e.priority_rank = rank(cls, subpriority);
    e.idempotent = cls >= priority_class::normal;
    e.deadline = deadline;
    return e;
}

admission_settings with_slots(int slots)
{
    admission_settings settings;
    settings.slots = slots;
    return settings;
}

constexpr instant start(1'000'000);
constexpr instant far_deadline = start + millis(60'000);

TEST(admission_queue, dispatches_up_to_the_slots_and_queues_by_rank)
{
    admission_queue queue(with_slots(2));
    EXPECT_EQ(queue.offer(entry(1, priority_class::low, 5, far_deadline), start).dispatched.size(),
              1U);
    EXPECT_EQ(queue.offer(entry(2, priority_class::low, 5, far_deadline), start).dispatched.size(),
              1U);
    EXPECT_TRUE(
        queue.offer(entry(3, priority_class::low, 9, far_deadline), start).dispatched.empty());
    EXPECT_TRUE(
        queue.offer(entry(4, priority_class::low, 1, far_deadline), start).dispatched.empty());
    const admission_result next = queue.finish(inbound_id(1), true, millis(5), start);
    ASSERT_EQ(next.dispatched.size(), 1U);
    EXPECT_EQ(next.dispatched[0], inbound_id(4));
}

TEST(admission_queue, full_queue_evicts_the_greatest_rank)
{
    admission_settings settings = with_slots(2);
    settings.preemption = false;
    admission_queue queue(settings);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        queue.offer(entry(id, priority_class::low, static_cast<std::uint16_t>(id), far_deadline),
                    start);
    }
    const admission_result result =
        queue.offer(entry(5, priority_class::critical, 0, far_deadline), start);
    ASSERT_EQ(result.shed.size(), 1U);
    EXPECT_EQ(result.shed[0].id, inbound_id(4));
    EXPECT_LT(queue.report(start).level, rank::max());
}

TEST(admission_queue, higher_priority_class_preempts_running_idempotent_calls)
{
    admission_queue queue(with_slots(1));
    queue.offer(entry(1, priority_class::low, 0, far_deadline), start);
    queue.offer(entry(2, priority_class::critical, 1, far_deadline), start);
    queue.offer(entry(3, priority_class::critical, 2, far_deadline), start);
    const admission_result result =
        queue.offer(entry(4, priority_class::critical, 3, far_deadline), start);
    EXPECT_EQ(result.preempted, std::vector<inbound_id>{inbound_id(1)});
    EXPECT_EQ(result.dispatched, std::vector<inbound_id>{inbound_id(2)});
    EXPECT_TRUE(result.shed.empty());
}

TEST(admission_queue, call_that_cannot_meet_its_deadline_is_refused_on_arrival)
{
    admission_queue queue(with_slots(1));
    queue.offer(entry(1, priority_class::low, 0, far_deadline), start);
    queue.finish(inbound_id(1), true, millis(100), start);
    const admission_result result =
        queue.offer(entry(2, priority_class::low, 0, start + millis(50)), start);
    ASSERT_EQ(result.shed.size(), 1U);
    EXPECT_EQ(result.shed[0].reason, outcome_reason::doomed);
}

TEST(admission_queue, expired_calls_are_removed_from_the_queue)
{
    admission_queue queue(with_slots(1));
    queue.offer(entry(1, priority_class::low, 0, far_deadline), start);
    queue.offer(entry(2, priority_class::low, 0, start + millis(30)), start);
    const admission_result result = queue.expire(start + millis(31));
    ASSERT_EQ(result.shed.size(), 1U);
    EXPECT_EQ(queue.queued(), 0);
}

TEST(admission_queue, total_body_size_is_bounded)
{
    admission_settings settings = with_slots(10);
    settings.memory_bytes = 100;
    admission_queue queue(settings);
    admission_entry big = entry(1, priority_class::critical, 0, far_deadline);
    big.bytes = 80;
    EXPECT_EQ(queue.offer(big, start).dispatched.size(), 1U);
    big.id = inbound_id(2);
    EXPECT_EQ(queue.offer(big, start).shed.at(0).reason, outcome_reason::memory_full);
    queue.finish(inbound_id(1), true, millis(1), start);
    EXPECT_EQ(queue.offer(big, start).dispatched.size(), 1U);
}

/// The test's model of the calls that the queue holds.
struct held_calls {
    std::map<inbound_id, admission_entry> queued;
    std::map<inbound_id, admission_entry> running;

    void apply(const admission_result& result)
    {
        for (const inbound_id id : result.preempted) {
            running.erase(id);
        }
        for (const inbound_id id : result.dispatched) {
            const auto found = queued.find(id);
            RC_ASSERT(found != queued.end());
            running.insert(*found);
            queued.erase(found);
        }
    }
};

/// Checks that when a call is shed for overload, no call of a lower priority class stays queued and
/// no idempotent call of a lower priority class keeps running.
void check_shedding_order(const held_calls& held, const admission_entry& shed)
{
    for (const auto& [id, kept] : held.queued) {
        RC_ASSERT(kept.priority_rank.cls() <= shed.priority_rank.cls());
    }
    for (const auto& [id, kept] : held.running) {
        RC_ASSERT(!kept.idempotent || kept.priority_rank.cls() <= shed.priority_rank.cls());
    }
}

void apply_result(held_calls& held, const admission_result& result, bool check_order)
{
    std::vector<admission_entry> shed;
    for (const shed_call& s : result.shed) {
        shed.push_back(held.queued.at(s.id));
        held.queued.erase(s.id);
    }
    held.apply(result);
    for (const admission_entry& s : shed) {
        if (check_order) {
            check_shedding_order(held, s);
        }
    }
}

RC_GTEST_PROP(admission_queue, no_call_is_shed_while_a_lower_priority_call_is_kept, ())
{
    const int slots = *rc::gen::inRange(1, 6);
    admission_queue queue(with_slots(slots));
    held_calls held;
    instant now = start;
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        now = now + millis(*rc::gen::inRange(0, 20));
        const int action = *rc::gen::inRange(0, 4);
        if (action == 0 && !held.running.empty()) {
            const inbound_id id = held.running.begin()->first;
            held.running.erase(id);
            apply_result(held, queue.finish(id, true, millis(*rc::gen::inRange(1, 40)), now),
                         false);
            continue;
        }
        const auto cls = static_cast<priority_class>(*rc::gen::inRange(0, 4));
        const admission_entry e =
            entry(static_cast<std::uint64_t>(i) + 1, cls,
                  static_cast<std::uint16_t>(*rc::gen::inRange(0, 65'536)), now + millis(5000));
        held.queued[e.id] = e;
        apply_result(held, queue.offer(e, now), true);
        RC_ASSERT(queue.running() == static_cast<int>(held.running.size()));
        RC_ASSERT(queue.queued() == static_cast<int>(held.queued.size()));
        RC_ASSERT(queue.running() <= slots);
    }
}

TEST(concurrency_limit, decreases_when_the_target_sheds_and_recovers)
{
    concurrency_limit limit(20);
    limit.on_target_shed(start, 20);
    EXPECT_EQ(limit.current(), 18);
    instant now = start;
    for (int i = 0; i < 2000; ++i) {
        now = now + millis(10);
        limit.on_completed(now, millis(10), 5);
    }
    EXPECT_EQ(limit.current(), 20);
}

TEST(concurrency_limit, slow_target_keeps_its_slots)
{
    // The service time is 5 times the minimum at any concurrency, so a lower limit loses goodput.
    concurrency_limit limit(10);
    instant now = start;
    limit.on_completed(now, millis(10), 1);
    double sum = 0;
    int samples = 0;
    for (int i = 0; i < 6000; ++i) {
        now = now + millis(50 / limit.current());
        limit.on_completed(now, millis(50), limit.current());
        sum += limit.current();
        ++samples;
    }
    EXPECT_GE(sum / samples, 9.0);
}

TEST(level, admits_all_ranks_after_about_a_second)
{
    const rank tight(priority_class::critical, 0);
    EXPECT_EQ(relaxed_level(tight, millis(50)), tight);
    EXPECT_GT(relaxed_level(tight, millis(400)), tight);
    EXPECT_EQ(relaxed_level(tight, millis(1200)), rank::max());
}

RC_GTEST_PROP(level, never_tightens_with_age, (std::uint32_t value))
{
    const rank level = rank::from_value(value % (rank::subpriorities_per_class * 4));
    rank before = level;
    for (int age = 0; age < 2500; age += 7) {
        const rank now = relaxed_level(level, millis(age));
        RC_ASSERT(now >= before);
        before = now;
    }
}

TEST(admission_queue, non_adaptive_limit_stays_at_the_slots_after_refusals)
{
    admission_settings settings;
    settings.slots = 16;
    settings.adaptive = false;
    admission_queue queue(settings);
    instant now(1000);
    for (std::uint64_t i = 1; i <= 200; ++i) {
        admission_entry entry;
        entry.id = inbound_id(i);
        entry.priority_rank = rank(priority_class::normal, 1);
        entry.deadline = now + millis(5000);
        ASSERT_EQ(queue.offer(entry, now).dispatched.size(), 1U);
        now = now + millis(20);
        // The target refuses every fourth call although it is nearly idle.
        i % 4 == 0 ? queue.finish_refused(entry.id, now)
                   : queue.finish(entry.id, true, millis(20), now);
    }
    EXPECT_EQ(queue.effective_limit(), 16);
}

} // namespace
} // namespace fescuedyke
