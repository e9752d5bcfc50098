#include "limited_mesh.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fescuedyke {
namespace {

constexpr millis window{4000};
/// The calls of a window that a limit allows: one and a half times the limit, and five.
constexpr double allowed_factor = 1.5;
constexpr int allowed_extra = 5;
/// Time after which a first limit must be kept, and after which no caller's request may reach a
/// target that said that it leaves.
constexpr millis stability_time{3000};
constexpr millis drain_time{2500};

constexpr int demand_per_second = 150;

const std::vector<std::string> origins = {"a", "b", "c", "d", "e", "f"};

/// Returns the greatest number of arrivals in a window that begins between \p from and \p to.
int most_in_a_window(const mesh_target& target, instant from, instant to)
{
    int most = 0;
    for (const target_arrival& first : target.arrivals) {
        if (first.at < from || first.at >= to) {
            continue;
        }
        const auto in_window = [&](const target_arrival& a) {
            return a.at >= first.at && a.at < first.at + window;
        };
        most = std::max(most, static_cast<int>(std::count_if(target.arrivals.begin(),
                                                             target.arrivals.end(), in_window)));
    }
    return most;
}

int allowed_calls(double per_second)
{
    const double seconds = static_cast<double>(window.count()) / 1000;
    return static_cast<int>(per_second * seconds * allowed_factor) + allowed_extra;
}

/// Six nodes without a target and three with one.
class target_limit : public testing::TestWithParam<std::uint64_t> {
protected:
    target_limit() : mesh_(GetParam())
    {
        for (const std::string& name : origins) {
            mesh_.start_node(name);
        }
        for (const char* name : {"t1", "t2", "t3"}) {
            mesh_.add_target(name);
        }
        for (const char* name : {"t1", "t2", "t3"}) {
            mesh_.announce(name);
        }
        run(millis(3000));
    }

    void run(millis duration, int per_second = demand_per_second)
    {
        mesh_.run(duration, per_second, origins);
    }

    void limit(const std::string& name, const std::string& per_second)
    {
        mesh_.target(name).notice.rate_limit = parse_call_rate(per_second);
    }

    int arrivals_in(const std::string& name, instant from) const
    {
        const auto& arrivals = const_cast<limited_mesh&>(mesh_).target(name).arrivals;
        return static_cast<int>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [&](const target_arrival& a) { return a.at >= from; }));
    }

    limited_mesh mesh_;
};

INSTANTIATE_TEST_SUITE_P(seeds, target_limit, testing::Values(1, 2, 3));

// Guards against a target that gets more requests than the limit that it named (issue 28, LIMIT).
TEST_P(target_limit, a_target_gets_no_more_calls_than_its_limit_allows)
{
    limit("t1", "20");
    limit("t2", "7.5");
    const instant named = mesh_.now();
    run(millis(20'000));
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), named + stability_time, mesh_.now()),
              allowed_calls(20));
    EXPECT_LE(most_in_a_window(mesh_.target("t2"), named + stability_time, mesh_.now()),
              allowed_calls(7.5));
}

// Guards against calls that exceed the limit because they are sent again on new connections (issue
// 28, LIMIT).
TEST_P(target_limit, a_call_that_is_sent_again_counts_twice)
{
    mesh_.target("t1").breaks_connections = true;
    limit("t1", "20");
    const instant named = mesh_.now();
    run(millis(20'000));
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), named + stability_time, mesh_.now()),
              allowed_calls(20));
    EXPECT_GE(arrivals_in("t1", named + stability_time), 20 * 17 / 2);
}

// Guards against callers that are refused although another target has room, and against most of
// the attempts being refused by limited targets (issue 28, LIMIT).
TEST_P(target_limit, the_surplus_goes_to_targets_with_room)
{
    limit("t1", "20");
    limit("t2", "7.5");
    run(stability_time);
    const int failed_before = mesh_.failed();
    const int refused_before = mesh_.refused_attempts();
    const instant from = mesh_.now();
    constexpr int seconds = 10;
    run(millis(seconds * 1000));
    EXPECT_EQ(mesh_.failed(), failed_before);
    EXPECT_LE(mesh_.refused_attempts() - refused_before, demand_per_second * seconds / 10);
    // A limited target still serves at least half of what it takes.
    EXPECT_GE(arrivals_in("t1", from), 20 * seconds / 2);
    EXPECT_LE(arrivals_in("t1", from), 20 * seconds * 3 / 2);
}

// Guards against a limit that holds on after its target has named a higher one or none.
TEST_P(target_limit, a_limit_that_rises_or_ends_is_followed)
{
    limit("t1", "5");
    run(millis(8000));
    limit("t1", "20");
    run(millis(4000));
    instant from = mesh_.now();
    run(millis(8000));
    EXPECT_GE(arrivals_in("t1", from), 20 * 8 / 2);
    limit("t1", "");
    run(millis(4000));
    from = mesh_.now();
    run(millis(8000));
    EXPECT_GE(arrivals_in("t1", from), demand_per_second * 8 / 6);
}

// Guards against a limit that falls and is not followed (issue 28, LIMIT).
TEST_P(target_limit, a_limit_that_falls_is_followed)
{
    limit("t1", "30");
    run(millis(6000));
    limit("t1", "3");
    const instant named = mesh_.now();
    run(millis(16'000));
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), named + stability_time, mesh_.now()),
              allowed_calls(3));
}

// Guards against a limit of zero that is not kept, or that holds for ever (issue 28, LIMIT).
TEST_P(target_limit, a_limit_of_zero_is_kept_until_it_ends)
{
    limit("t1", "0");
    const instant named = mesh_.now();
    run(millis(20'000));
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), named + stability_time, mesh_.now()),
              allowed_calls(0));
    limit("t1", "");
    run(millis(25'000));
    const instant from = mesh_.now();
    run(millis(4000));
    EXPECT_GE(arrivals_in("t1", from), demand_per_second * 4 / 6);
}

// Guards against a malformed limit that ends the one in force (issue 28, LIMIT).
TEST_P(target_limit, a_malformed_limit_changes_nothing)
{
    limit("t1", "10");
    run(millis(4000));
    mesh_.target("t1").notice = {std::nullopt, true, false};
    const instant from = mesh_.now();
    run(millis(12'000));
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), from, mesh_.now()), allowed_calls(10));
}

// Guards against an enormous limit that stops all calls.
TEST_P(target_limit, an_enormous_limit_admits_every_call)
{
    limit("t1", "99999999999999999999");
    run(millis(3000));
    const instant from = mesh_.now();
    run(millis(8000));
    EXPECT_GE(arrivals_in("t1", from), demand_per_second * 8 / 6);
}

// Guards against important calls that are refused while a limited target serves others.
TEST_P(target_limit, important_calls_get_the_calls_that_limits_allow)
{
    for (const char* name : {"t1", "t2", "t3"}) {
        limit(name, "20");
    }
    run(millis(4000));
    const int answered_before = mesh_.answered_of(priority_class::critical);
    constexpr int seconds = 10;
    constexpr int important_per_second = 20;
    for (int i = 0; i < seconds * important_per_second; ++i) {
        mesh_.request(origins[static_cast<std::size_t>(i) % origins.size()],
                      priority_class::critical);
        run(millis(1000 / important_per_second), demand_per_second);
    }
    run(millis(2000));
    const int answered = mesh_.answered_of(priority_class::critical) - answered_before;
    EXPECT_GE(answered, seconds * important_per_second * 9 / 10);
}

// Guards against a limit that is forgotten with the node of its target (issue 28, LIMIT).
TEST_P(target_limit, a_limit_holds_on_after_a_restart_of_its_node)
{
    limit("t1", "10");
    run(millis(6000));
    // The target names its limit again only with its first answer, and the others have no room.
    mesh_.target("t1").service_time = millis(1800);
    mesh_.target("t2").service_time = millis(1800);
    mesh_.target("t3").service_time = millis(1800);
    mesh_.start_node("t1");
    mesh_.announce("t1");
    const instant from = mesh_.now();
    constexpr int high_demand_per_second = 500;
    run(millis(8000), high_demand_per_second);
    EXPECT_LE(most_in_a_window(mesh_.target("t1"), from, mesh_.now()), allowed_calls(10));
}

// Guards against a target that starts again, has named nothing, and is still held to a limit.
TEST_P(target_limit, a_restarted_target_has_no_limit)
{
    limit("t1", "2");
    run(millis(6000));
    limit("t1", "");
    mesh_.target("t1").started_at_ms = 2;
    mesh_.announce("t1");
    run(millis(3000));
    const instant from = mesh_.now();
    run(millis(4000));
    EXPECT_GE(arrivals_in("t1", from), demand_per_second * 4 / 6);
}

// Guards against requests that reach a target long after it said that it leaves (issue 28, DRAIN).
TEST_P(target_limit, a_target_that_leaves_gets_no_late_requests)
{
    mesh_.target("t1").notice.leaving = true;
    const instant said = mesh_.now() + mesh_.target("t1").service_time;
    run(millis(8000));
    const auto& arrivals = mesh_.target("t1").arrivals;
    const auto late = std::count_if(arrivals.begin(), arrivals.end(), [&](const target_arrival& a) {
        return a.requested_at > said + drain_time;
    });
    EXPECT_EQ(late, 0);
}

// Guards against the same after a restart of the node beside the target, which a report that was
// sent before it left reaches late (issue 28, DRAIN).
TEST_P(target_limit, a_target_that_leaves_gets_no_late_requests_after_a_restart_of_its_node)
{
    mesh_.target("t1").notice.leaving = true;
    run(millis(3000));
    const instant restarted = mesh_.now();
    mesh_.start_node("t1");
    mesh_.announce("t1");
    run(millis(8000));
    EXPECT_EQ(arrivals_in("t1", restarted), 0);
}

// Guards against a target that is in use again, because a report that it sent before it left
// arrives late at its node.
TEST_P(target_limit, a_late_report_does_not_bring_back_a_target_that_leaves)
{
    mesh_.target("t1").notice.leaving = true;
    run(millis(3000));
    const instant from = mesh_.now();
    mesh_.announce("t1");
    run(millis(3000));
    EXPECT_EQ(arrivals_in("t1", from), 0);
}

// Guards against a target that starts again under its identity and gets no calls.
TEST_P(target_limit, a_target_that_left_and_started_again_is_in_use)
{
    mesh_.target("t1").notice.leaving = true;
    run(millis(3000));
    mesh_.target("t1").notice.leaving = false;
    mesh_.target("t1").started_at_ms = 2;
    mesh_.announce("t1");
    run(millis(3000));
    const instant from = mesh_.now();
    run(millis(4000));
    EXPECT_GE(arrivals_in("t1", from), demand_per_second * 4 / 6);
}

} // namespace
} // namespace fescuedyke
