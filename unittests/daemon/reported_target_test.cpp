#include "membership/target_reports.h"

#include "fescuedyke/daemon/reported_target.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescuedyke {
namespace {

constexpr wall_time now(5'000);

/// A node whose process can be restarted, with a control group that decides when it is told to.
class reported_target_test : public testing::Test {
protected:
    void SetUp() override { restart(); }

    /// Replaces the process: all that it remembers is lost, and so are its open requests.
    void restart()
    {
        announced_.clear();
        held_ = false;
        undecided_.clear();
        target_ = std::make_unique<reported_target>(reported_target_steps{
            [this](const target_report& r) { announced_ = r.identity; }, [this] { held_ = true; },
            [this] { held_ = false; }, [this] { announced_.clear(); },
            [this](const target_departure& d, std::function<void()> done) {
                undecided_.emplace_back([this, d, done = std::move(done)] {
                    recorded_.push_back(d);
                    done();
                });
            },
            [this](const target_departure& d, const std::function<void(bool)>& done) {
                undecided_.emplace_back([this, d, done] { done(has_departed(d)); });
            }});
    }

    /// Lets the control group decide all open requests.
    void decide()
    {
        const std::vector<std::function<void()>> open = std::exchange(undecided_, {});
        for (const std::function<void()>& decide_one : open) {
            decide_one();
        }
    }

    bool has_departed(const target_departure& departure) const
    {
        return std::any_of(recorded_.begin(), recorded_.end(),
                           [&](const target_departure& d) { return d.covers(departure); });
    }

    /// Returns the target that gets calls; empty if there is none.
    std::string used() const { return held_ ? "" : announced_; }

    void report(const target_report& r)
    {
        target_->on_report(r, [this] { ++acknowledged_; });
    }
    void deregister(const std::string& identity, std::uint64_t started_at_ms)
    {
        target_->on_leave(identity, started_at_ms, now, [this] { ++acknowledged_; });
    }

    std::unique_ptr<reported_target> target_;
    /// Identity of the announced target; empty if there is none.
    std::string announced_;
    /// Whether the calls of the target are held.
    bool held_ = false;
    std::vector<std::function<void()>> undecided_;
    std::vector<target_departure> recorded_;
    int acknowledged_ = 0;
};

TEST_F(reported_target_test, a_target_gets_calls_once_it_is_known_not_to_have_left)
{
    report(make_report("a", 100, 1));
    EXPECT_EQ(acknowledged_, 1);
    EXPECT_EQ(announced_, "a") << "other nodes are told at once";
    EXPECT_EQ(used(), "");
    report(make_report("a", 100, 2));
    EXPECT_EQ(undecided_.size(), 1U);
    decide();
    EXPECT_EQ(used(), "a");
    report(make_report("a", 100, 3));
    EXPECT_EQ(used(), "a");
    EXPECT_TRUE(undecided_.empty());
}

// Guards against a target that has left and is used again: its node was restarted, and a report
// from before the deregistration arrived late (review case 4).
TEST_F(reported_target_test, a_late_report_after_a_restart_does_not_bring_back_a_target_that_left)
{
    report(make_report("a", 100, 1));
    decide();
    deregister("a", 100);
    decide();
    restart();
    report(make_report("a", 100, 2));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");
    report(make_report("a", 200, 1));
    decide();
    EXPECT_EQ(used(), "a");
}

// Guards against the same after a report that the target drains, and for a deregistration without a
// start time.
TEST_F(reported_target_test, every_kind_of_departure_outlives_a_restart)
{
    report(make_report("a", 100, 1));
    decide();
    report(make_report("a", 100, 3, target_state::draining));
    decide();
    restart();
    report(make_report("a", 100, 2));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");

    report(make_report("b", 200, 1));
    decide();
    deregister("b", unknown_start_time);
    decide();
    restart();
    report(make_report("b", 200, 2));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");

    deregister("c", unknown_start_time);
    decide();
    restart();
    report(make_report("c", 300, 1));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");
}

// Guards against an acknowledgement of a departure that a restart would forget.
TEST_F(reported_target_test, a_departure_is_acknowledged_once_it_is_recorded)
{
    report(make_report("a", 100, 1));
    decide();
    acknowledged_ = 0;
    report(make_report("a", 100, 2, target_state::draining));
    EXPECT_EQ(used(), "") << "a departure takes effect at once";
    EXPECT_EQ(acknowledged_, 0);
    decide();
    EXPECT_EQ(acknowledged_, 1);
    report(make_report("a", 100, 3, target_state::draining));
    deregister("a", 100);
    EXPECT_EQ(acknowledged_, 3) << "the departure is recorded";
    deregister("a", 100);
    EXPECT_EQ(acknowledged_, 4);
    deregister("other", 50);
    EXPECT_EQ(acknowledged_, 4) << "this one is not";
}

TEST_F(reported_target_test, a_target_that_returns_and_leaves_again_is_recorded_again)
{
    report(make_report("a", 100, 1));
    decide();
    report(make_report("a", 100, 2, target_state::draining));
    decide();
    report(make_report("a", 100, 3));
    EXPECT_EQ(used(), "a");
    report(make_report("a", 100, 4, target_state::draining));
    decide();
    restart();
    report(make_report("a", 100, 3));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");
}

// Guards against a target that is used because of the answer to a question that no longer matters.
TEST_F(reported_target_test, an_answer_about_a_target_that_left_meanwhile_brings_back_nothing)
{
    report(make_report("a", 100, 1));
    deregister("a", 100);
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");
    report(make_report("b", 200, 1));
    report(make_report("b", 200, 2, target_state::draining));
    decide();
    EXPECT_EQ(used(), "");
    EXPECT_EQ(announced_, "");
}

TEST_F(reported_target_test, only_the_latest_start_gets_calls)
{
    report(make_report("a", 100, 1));
    report(make_report("b", 200, 1));
    decide();
    EXPECT_EQ(used(), "b");
}

} // namespace
} // namespace fescuedyke
