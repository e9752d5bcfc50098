#include "cluster/cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

namespace fescuedyke {
namespace {

using cluster::control_cluster;
using cluster::make_change;

constexpr int members = 5;
constexpr millis full_time{3000};
constexpr millis pause_time{500};
/// Time within which a change must be answered.
constexpr millis answer_limit{4000};

/// Seeds, with the number of log entries after which a snapshot is taken.
class full_disk : public testing::TestWithParam<std::tuple<std::uint64_t, std::size_t>> {
protected:
    full_disk() : cluster_(members, std::get<0>(GetParam()), make_settings())
    {
        cluster_.keep_members_with_failed_disks();
    }

    static control_settings make_settings()
    {
        control_settings settings;
        settings.entries_per_snapshot = std::get<1>(GetParam());
        return settings;
    }

    /// Proposes a change at the leader, if there is one.
    std::optional<std::uint64_t> propose()
    {
        const std::optional<std::string> leader = cluster_.leader();
        if (!leader) {
            return std::nullopt;
        }
        const std::string id = "change-" + std::to_string(++changes_);
        return cluster_.propose(*leader, make_change(id, id, 0));
    }

    /// Proposes a change until one is committed.
    bool commit_within(millis limit)
    {
        std::vector<std::uint64_t> requests;
        instant next = cluster_.now();
        return cluster_.run_until(limit, [&] {
            if (cluster_.now() >= next) {
                next = cluster_.now() + pause_time;
                if (const std::optional<std::uint64_t> request = propose()) {
                    requests.push_back(*request);
                }
            }
            return std::any_of(requests.begin(), requests.end(), [&](std::uint64_t request) {
                const auto found = cluster_.answers().find(request);
                return found != cluster_.answers().end() &&
                       found->second.outcome == change_outcome::committed;
            });
        });
    }

    control_cluster cluster_;
    int changes_ = 0;
};

INSTANTIATE_TEST_SUITE_P(seeds, full_disk,
                         testing::Combine(testing::Range<std::uint64_t>(1, 11),
                                          testing::Values(4, 256)));

// Guards against changes that are refused or not answered long after the last of several disks,
// which were full one after the other, has room again (issue 28, report 3).
TEST_P(full_disk, changes_are_accepted_after_disks_were_full_in_turn)
{
    ASSERT_TRUE(commit_within(millis(20'000)));
    for (const std::string& name : cluster_.names()) {
        cluster_.disk(name).fill_up();
        for (millis passed; passed < full_time; passed += pause_time) {
            propose();
            cluster_.run_for(pause_time);
        }
        cluster_.disk(name).repair();
        cluster_.run_for(pause_time);
    }
    cluster_.run_for(full_time);
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(commit_within(answer_limit)) << "change " << i << " after the last full disk";
    }
    for (const std::string& name : cluster_.names()) {
        EXPECT_TRUE(cluster_.core(name).disk_status().ok()) << name;
    }
    EXPECT_EQ(cluster_.violation(), "");
}

// Guards against a disk that is full while its member leads, again and again.
TEST_P(full_disk, changes_are_accepted_after_the_disks_of_leaders_were_full)
{
    ASSERT_TRUE(commit_within(millis(20'000)));
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(
            cluster_.run_until(millis(20'000), [&] { return cluster_.leader().has_value(); }));
        const std::string leader = *cluster_.leader();
        cluster_.disk(leader).fill_up();
        propose();
        cluster_.run_for(full_time);
        cluster_.disk(leader).repair();
        cluster_.run_for(pause_time);
    }
    cluster_.run_for(full_time);
    EXPECT_TRUE(commit_within(answer_limit));
    EXPECT_EQ(cluster_.violation(), "");
}

} // namespace
} // namespace fescuedyke
