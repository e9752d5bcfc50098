#include "fescuedyke/daemon/graceful_shutdown.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fescuedyke {
namespace {

/// A process whose open requests the test sets. It records the steps of its shutdown.
class graceful_shutdown_test : public testing::Test {
protected:
    void begin(const shutdown_limits& limits) { shutdown_.begin(limits, instant(0)); }
    void advance_to(std::int64_t ms) { shutdown_.advance(instant(ms)); }

    static shutdown_limits node_limits()
    {
        shutdown_limits limits;
        limits.serving_time = millis(2500);
        limits.drain_limit = millis(5300);
        limits.final_time = millis(300);
        return limits;
    }

    bool has_open_requests_ = false;
    bool may_end_ = true;
    std::vector<std::string> steps_;
    graceful_shutdown shutdown_{
        {[this] { steps_.emplace_back("refuse"); }, [this] { return has_open_requests_; },
         [this] { steps_.emplace_back("begin-end"); }, [this] { return may_end_; },
         [this] { steps_.emplace_back("end"); }}};
};

using steps = std::vector<std::string>;

// Guards against a process that ends before its callers could learn that it is shutting down.
TEST_F(graceful_shutdown_test, idle_process_serves_for_the_whole_serving_time)
{
    begin(node_limits());
    advance_to(2499);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::serving);
    advance_to(2500);
    EXPECT_EQ(steps_, (steps{"refuse", "begin-end"}));
    advance_to(2510);
    EXPECT_EQ(steps_, (steps{"refuse", "begin-end", "end"}));
}

// Guards against requests that are taken up to the end of the shutdown and cut by it.
TEST_F(graceful_shutdown_test, new_requests_are_refused_while_open_ones_end)
{
    has_open_requests_ = true;
    begin(node_limits());
    advance_to(2500);
    EXPECT_EQ(steps_, steps{"refuse"});
    advance_to(5299);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::refusing);
    has_open_requests_ = false;
    advance_to(5299);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::ending);
}

// Guards against a process that waits for its open requests until it is killed.
TEST_F(graceful_shutdown_test, open_requests_are_waited_for_up_to_the_limit)
{
    has_open_requests_ = true;
    may_end_ = false;
    begin(node_limits());
    advance_to(2500);
    advance_to(5300);
    EXPECT_EQ(steps_, (steps{"refuse", "begin-end"}));
    advance_to(5599);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::ending);
    advance_to(5600);
    EXPECT_EQ(steps_, (steps{"refuse", "begin-end", "end"}));
}

// Guards against last responses that are still to be sent when the process ends.
TEST_F(graceful_shutdown_test, process_ends_only_once_the_last_responses_are_sent)
{
    may_end_ = false;
    begin(node_limits());
    advance_to(2500);
    advance_to(2600);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::ending);
    may_end_ = true;
    advance_to(2610);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::ended);
}

// Guards against a short grace period in which all of the time is used to take new requests.
TEST_F(graceful_shutdown_test, half_of_a_short_limit_remains_for_open_requests)
{
    has_open_requests_ = true;
    shutdown_limits limits = node_limits();
    limits.drain_limit = millis(1000);
    begin(limits);
    advance_to(499);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::serving);
    advance_to(500);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::refusing);
}

// Guards against a second signal that starts the shutdown, and its time limits, once more.
TEST_F(graceful_shutdown_test, second_start_changes_nothing)
{
    has_open_requests_ = true;
    begin(node_limits());
    advance_to(2500);
    shutdown_.begin(node_limits(), instant(2500));
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::refusing);
    advance_to(5300);
    EXPECT_EQ(shutdown_.phase(), shutdown_phase::ending);
}

} // namespace
} // namespace fescuedyke
