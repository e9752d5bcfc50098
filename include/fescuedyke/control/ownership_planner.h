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
/// The leader's plan of which target owns which keys.

namespace fescuedyke {

struct ownership_settings {
    /// Length of an owner's lease, on the owner's clock from the time it asked.
    millis lease{3000};
    /// Waited beyond a lease before its end is relied on; covers clocks of unequal pace.
    millis clock_margin{500};
    /// Most buckets of one home that are taken from live owners at a time, to even out their
    /// numbers.
    std::size_t max_moves = 8;
};

/// Grants a bucket to a new owner only when the former one can no longer serve it: its lease has
/// ended for certain, it said that it leaves, or it confirmed a table without the bucket. A new
/// leader does not know which leases the former one granted, so it waits for the longest.
class ownership_planner {
public:
    explicit ownership_planner(const ownership_settings& settings);

    /// This member became the leader.
    void on_elected(instant now);

    /// A node asked for its lease, with the table of \p table_version in force. Returns the lease.
    millis grant_lease(const instance_id& instance, incarnation node_incarnation,
                       std::uint64_t table_version, instant now);

    /// Returns the next change to propose, or nothing when all is as it should be. At most one home
    /// is changed at a time.
    std::optional<owner_change> plan(const bucket_table& table,
                                     const std::vector<node_record>& live, instant now) const;

private:
    using lease_holder = std::pair<instance_id, incarnation>;
    struct lease_state {
        instant ends_at;
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
    void rebalance(const bucket_grants& grants, candidate_list& all, owner_change& change) const;

    ownership_settings settings_;
    instant unknown_leases_end_;
    std::map<lease_holder, lease_state> leases_;
};

} // namespace fescuedyke

#endif
