#ifndef FESCUEDYKE_CONTROL_OWNERSHIP_PLANNER_H
#define FESCUEDYKE_CONTROL_OWNERSHIP_PLANNER_H

#include "fescuedyke/control/control_state.h"
#include "fescuedyke/membership/node_record.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

/// \file
/// Decides on the leader which target owns which buckets of idempotency keys.

namespace fescuedyke {

struct ownership_settings {
    /// Duration of an owner's lease, measured on the owner's clock from the time at which it sent
    /// the request.
    millis lease{3000};
    /// Time that the leader waits after the end of a lease before it considers the lease expired;
    /// allows for clock drift between the owner and the leader.
    millis clock_margin{500};
    /// Maximum number of buckets of one home that a single change revokes from live owners to
    /// rebalance them.
    std::size_t max_moved_buckets = 8;
};

/// Plans the changes to the bucket table. It grants a bucket to a new owner only when the former
/// owner can no longer serve it: the former owner's lease has certainly expired, the former owner
/// is draining, or it confirmed a table version in which it no longer owns the bucket. A new leader
/// does not know which leases its predecessor granted, so it waits for the longest possible lease.
class ownership_planner {
public:
    explicit ownership_planner(const ownership_settings& settings);

    /// Must be called when this member becomes the leader. Discards all known leases.
    void on_elected(instant now);

    /// Grants or renews the lease of a node that uses \p table_version of the bucket table. Returns
    /// the duration of the lease.
    millis grant_lease(const instance_id& instance, incarnation node_incarnation,
                       std::uint64_t table_version, instant now);

    /// Returns the next change to propose, or nothing if none is needed. A change affects only one
    /// home.
    std::optional<owner_change> plan(const bucket_table& table,
                                     const std::vector<node_record>& live, instant now) const;

private:
    using lease_holder = std::pair<instance_id, incarnation>;
    struct lease_state {
        /// Includes the clock margin.
        instant expires_at;
        /// Latest version of the bucket table that the node has reported using.
        std::uint64_t confirmed_table_version = 0;
    };
    struct candidate {
        instance_id instance;
        incarnation node_incarnation;
        std::size_t buckets = 0;
    };
    using candidate_list = std::vector<candidate>;

    bool lease_has_ended(const lease_holder& h, const std::vector<node_record>& live,
                         instant now) const;
    bool may_assign(const bucket_grant& g, const std::vector<node_record>& live, instant now) const;
    candidate_list candidates(const bucket_home& home, const std::vector<node_record>& live,
                              instant now) const;
    std::optional<owner_change> plan_home(const bucket_home& home, const bucket_grants& grants,
                                          const std::vector<node_record>& live, instant now) const;
    void rebalance(const bucket_grants& grants, candidate_list& all_candidates,
                   owner_change& change) const;

    ownership_settings settings_;
    /// By this time every lease granted by former leaders has expired.
    instant unknown_leases_expire_at_;
    std::map<lease_holder, lease_state> leases_;
};

} // namespace fescuedyke

#endif
