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
/// Ownership of key buckets: the table of owners, and the buckets that this instance may serve.

namespace fescuedyke {

/// Entry of the replicated table for one bucket.
struct bucket_grant {
    /// Empty while the bucket has no owner.
    instance_id owner;
    incarnation owner_incarnation;
    /// Increases with every change of the owner of this bucket, starting at 1 for the first owner.
    std::uint64_t epoch = 0;
    /// Version of the table in which the grant was made or revoked.
    std::uint64_t changed_in = 0;
    /// The previous owner, set while the bucket has no owner.
    instance_id former_owner;
    incarnation former_incarnation;
};

/// All buckets of one service and home region.
using bucket_grants = std::array<bucket_grant, buckets_per_home>;

/// Identifies the buckets of one service and home region.
using bucket_home = std::pair<service_name, region_name>;

/// The replicated table of bucket owners.
struct bucket_table {
    std::uint64_t version = 0;
    std::map<bucket_home, bucket_grants> homes;

    /// Returns the grant of the bucket that contains \p key, or nullptr.
    const bucket_grant* find(const service_name& service, const idempotency_key& key) const;
};

/// State that an owner keeps for one of its buckets.
struct held_bucket {
    /// Epoch of the grant. A bucket that was lost and acquired again has a later one.
    std::uint64_t epoch = 0;
    /// Whether the bucket had no former owner, or its former owner handed over all records.
    bool history_complete = false;
    /// Time at which this instance first saw its grant.
    wall_time first_seen;
};

/// Tracks the grants and the lease of one instance. A bucket may be served only while the lease is
/// valid by the monotonic clock of the instance.
class ownership {
public:
    ownership(instance_id self, incarnation self_incarnation);

    /// Applies \p table, received at \p received_at. Older versions than the current one are
    /// ignored.
    void on_table(const bucket_table& table, wall_time received_at);

    /// Extends the lease to \p until. The renewal is ignored unless the current table has at least
    /// version \p table_version, so that a lease is never combined with an older table.
    void on_lease_renewed(instant until, std::uint64_t table_version);

    /// Releases all buckets permanently before a graceful leave. Only grants to a later incarnation
    /// are accepted afterwards.
    void release_all();

    /// Continues as incarnation \p next after a leave was revoked.
    void rejoin(incarnation next);

    incarnation self_incarnation() const { return self_incarnation_; }

    /// Marks the records of the former owner of a bucket as completely imported. They complete the
    /// history of the grant with this epoch, whether or not the table with that grant has been
    /// received.
    void on_history_imported(const bucket_home& home, bucket_index bucket, std::uint64_t epoch);

    /// A bucket that this instance released or lost.
    struct lost_bucket {
        bucket_home home;
        bucket_index bucket;
        held_bucket held;
    };

    /// Returns the buckets lost since the last invocation.
    std::vector<lost_bucket> take_lost_buckets() { return std::exchange(lost_, {}); }

    /// Returns the held bucket that contains \p key, or nullopt if it may not be served at \p now.
    std::optional<held_bucket> find_servable(const service_name& service,
                                             const idempotency_key& key, instant now) const;

    instant lease_until() const { return lease_until_; }
    std::size_t buckets_held() const { return held_buckets_.size(); }

private:
    using bucket_key = std::pair<bucket_home, bucket_index>;

    void add_lost(const bucket_key& key, const held_bucket& held);

    instance_id self_;
    incarnation self_incarnation_;
    instant lease_until_;
    std::uint64_t table_version_ = 0;
    std::map<bucket_key, held_bucket> held_buckets_;
    /// Epochs whose history was imported, by bucket.
    std::map<bucket_key, std::uint64_t> imported_epochs_;
    std::vector<lost_bucket> lost_;
    bool released_ = false;
};

} // namespace fescuedyke

#endif
