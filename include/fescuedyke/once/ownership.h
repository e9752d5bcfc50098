#ifndef FESCUEDYKE_ONCE_OWNERSHIP_H
#define FESCUEDYKE_ONCE_OWNERSHIP_H

#include "fescuedyke/once/idempotency_key.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Which target owns which bucket of keys, and whether this instance may act as an owner now.

namespace fescuedyke {

/// Holder of one bucket as the replicated table has it.
struct bucket_grant {
    /// Empty while the bucket has no owner.
    instance_id owner;
    incarnation owner_incarnation;
    /// Grows with every change of this bucket's owner; the first owner has 1.
    std::uint64_t epoch = 0;
    /// Version of the table that made the grant or took it back.
    std::uint64_t changed_in = 0;
    /// Whom the bucket was taken from while it has no owner.
    instance_id former_owner;
    incarnation former_incarnation;
};

/// All buckets of one service and home.
using bucket_grants = std::array<bucket_grant, buckets_per_home>;

/// Names one set of buckets.
using bucket_home = std::pair<service_name, region_name>;

/// The replicated table of owners.
struct bucket_table {
    std::uint64_t version = 0;
    std::map<bucket_home, bucket_grants> homes;

    /// Returns the grant of the bucket that \p key falls into, or nullptr.
    const bucket_grant* find(const service_name& service, const idempotency_key& key) const;
};

/// What an owner knows of one of its buckets.
struct held_bucket {
    /// Epoch of the grant; a bucket that went away and came back has a later one.
    std::uint64_t epoch = 0;
    /// No one owned the bucket before, or the former owner handed all its records over.
    bool history_complete = false;
    /// When this instance first saw its grant.
    wall_time first_seen;
};

/// Follows the grants and the lease of one instance. A bucket may be served only while the lease
/// held_buckets on the instance's own monotonic clock.
class ownership {
public:
    ownership(instance_id self, incarnation self_incarnation);

    /// Takes over \p table as it is seen at \p seen.
    void on_table(const bucket_table& table, wall_time seen);

    /// The lease was renewed: it ends at \p until unless renewed again. It counts only for a table
    /// of at least \p table_version, so that a lease never goes with an older table.
    void on_lease_renewed(instant until, std::uint64_t table_version);

    /// Gives up all buckets for good, before a graceful leave; only grants to a later incarnation
    /// count again.
    void release_all();

    /// Goes on as another incarnation, after a leave that was taken back.
    void rejoin(incarnation next);

    incarnation self_incarnation() const { return self_incarnation_; }

    /// The former owner's records of a bucket have all been taken over; they complete the history
    /// of the grant with this epoch, whether its table has come or not.
    void on_history_imported(const bucket_home& home, bucket_index bucket, std::uint64_t epoch);

    /// A bucket that this instance held and gave up or lost.
    struct lost_bucket {
        bucket_home home;
        bucket_index bucket;
        held_bucket held;
    };

    /// Returns the buckets lost since this was last asked.
    std::vector<lost_bucket> take_lost_buckets() { return std::exchange(lost_, {}); }

    /// Returns what is known of the bucket of \p key, or nothing when it may not be served now.
    std::optional<held_bucket> find_servable(const service_name& service,
                                             const idempotency_key& key, instant now) const;

    instant lease_until() const { return lease_until_; }
    std::size_t buckets_held() const { return held_buckets_.size(); }

private:
    using bucket_key = std::pair<bucket_home, bucket_index>;

    void lose(const bucket_key& key, const held_bucket& held);

    instance_id self_;
    incarnation self_incarnation_;
    instant lease_until_;
    std::uint64_t table_version_ = 0;
    std::map<bucket_key, held_bucket> held_buckets_;
    /// Epochs whose history was taken over, by bucket.
    std::map<bucket_key, std::uint64_t> imported_epochs_;
    std::vector<lost_bucket> lost_;
    bool released_ = false;
};

} // namespace fescuedyke

#endif
