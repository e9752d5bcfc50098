#include "cluster/fake_disk.h"

#include "fescuedyke/control/member_store.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fescuedyke {
namespace {

using cluster::fake_disk;

std::vector<log_entry> make_entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    std::vector<log_entry> entries;
    for (std::uint64_t i = first; i <= last; ++i) {
        log_entry entry;
        entry.index = log_index(i);
        entry.term = log_term(term);
        entry.data = "entry " + std::to_string(i);
        entries.push_back(entry);
    }
    return entries;
}

raft_output make_append(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    raft_output output;
    output.hard = hard_state{log_term(term), {}};
    output.append = make_entries(first, last, term);
    return output;
}

/// A snapshot from the leader that covers all entries up to index 100.
raft_output make_installation()
{
    raft_output output;
    output.hard = hard_state{log_term(3), {}};
    output.snapshot_to_install = snapshot{log_index(100), log_term(2), {}, "state"};
    return output;
}

// Guards against a member that no longer starts after a kill while it installed a snapshot.
TEST(member_store, a_member_killed_at_any_step_of_an_installation_keeps_the_later_entries)
{
    for (std::size_t writes = 0; writes < 4; ++writes) {
        for (const std::uint64_t stored_entries : {50U, 150U}) {
            fake_disk disk;
            member_store before(disk);
            ASSERT_TRUE(before.open("m1", 7).ok());
            ASSERT_TRUE(before.persist(make_append(1, stored_entries, 1)).ok());
            disk.fail_write_after(writes);
            const bool installed = before.persist(make_installation()).ok();
            disk.repair();

            member_store killed(disk);
            const absl::StatusOr<stored_member> recovered = killed.open("m1", 7);
            ASSERT_TRUE(recovered.ok()) << recovered.status();
            if (recovered->state.base.index == log_index(0)) {
                ASSERT_FALSE(installed);
                ASSERT_TRUE(killed.persist(make_installation()).ok());
            }
            ASSERT_TRUE(killed.persist(make_append(101, 101, 3)).ok());
            ASSERT_TRUE(killed.persist(make_append(102, 102, 3)).ok());

            member_store restarted(disk);
            const absl::StatusOr<stored_member> stored = restarted.open("m1", 7);
            ASSERT_TRUE(stored.ok()) << "killed at write " << writes << ", log of "
                                     << stored_entries << " entries: " << stored.status();
            EXPECT_EQ(stored->state.base.index, log_index(100));
            EXPECT_EQ(stored->state.hard.term, log_term(3));
            ASSERT_EQ(stored->state.entries.size(), 2U);
            EXPECT_EQ(stored->state.entries[1].index, log_index(102));
        }
    }
}

/// Returns whether the next start of the member, after a loss of power, holds what this start held.
bool survives_power_loss(fake_disk& disk, std::uint64_t seed)
{
    member_store killed(disk);
    const absl::StatusOr<stored_member> recovered = killed.open("m1", 8);
    random_source random(seed);
    disk.lose_power(random);
    member_store restarted(disk);
    const absl::StatusOr<stored_member> stored = restarted.open("m1", 9);
    return recovered.ok() && stored.ok() && stored->id == recovered->id &&
           stored->state.hard.term == recovered->state.hard.term &&
           stored->state.base.index == recovered->state.base.index &&
           stored->state.entries.size() == recovered->state.entries.size();
}

// Guards against a member that confirms what a kill during a sync left not durable.
TEST(member_store, what_a_start_finds_survives_a_loss_of_power)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        fake_disk identity_disk;
        identity_disk.interrupt_next_sync();
        EXPECT_FALSE(member_store(identity_disk).open("m1", 7).ok());
        EXPECT_TRUE(survives_power_loss(identity_disk, seed)) << "identity, seed " << seed;

        for (const bool installs : {false, true}) {
            fake_disk disk;
            member_store store(disk);
            ASSERT_TRUE(store.open("m1", 7).ok());
            ASSERT_TRUE(store.persist(make_append(1, 5, 1)).ok());
            disk.interrupt_next_sync();
            const snapshot s{log_index(5), log_term(1), {}, "state"};
            const bool written = installs ? store.persist_snapshot(s, {log_term(1), {}}, {}).ok()
                                          : store.persist(make_append(6, 7, 2)).ok();
            EXPECT_FALSE(written);
            EXPECT_TRUE(survives_power_loss(disk, seed))
                << (installs ? "snapshot" : "log") << ", seed " << seed;
        }
    }
}

} // namespace
} // namespace fescuedyke
