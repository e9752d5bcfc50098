#ifndef FESCUEDYKE_MEMBERSHIP_LEASE_TABLE_H
#define FESCUEDYKE_MEMBERSHIP_LEASE_TABLE_H

#include "fescuedyke/membership/node_record.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// One member's knowledge of all nodes: soft state, kept alive by leases.

namespace fescuedyke {

struct membership_settings {
    /// A node that has not been heard from for this long is taken to be gone.
    millis node_lease{2000};
    /// What another member told is dropped when it has been silent for this long.
    millis member_lease{3000};
    /// How long a node that is gone is remembered for those who learn of changes late.
    millis gone_memory{60'000};
};

/// Holds the leases of the nodes that report to this member and learns of all others from the
/// other members. A node is there while any member that is heard from holds its lease.
class lease_table {
public:
    /// \p epoch tells this process from former ones of the same member.
    lease_table(const membership_settings& settings, std::uint64_t epoch);

    /// A node reported itself and the configuration it has in force.
    void on_report(const node_record& record, config_version in_force, instant now);

    /// Another member told of its nodes. Returns the version to acknowledge.
    std::uint64_t on_member_delta(const std::string& member, const member_delta& delta,
                                  instant now);

    /// Lets leases run out.
    void expire(instant now);

    /// Returns the changes of the held nodes that a member at \p known has not seen.
    member_delta held_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns the changes of all targets that a node at \p known has not seen.
    view_delta view_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns every node that is there.
    std::vector<node_record> live_nodes() const;

    /// Returns every instance that was there of late.
    const std::map<instance_id, node_status>& nodes() const { return effective_; }

    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t version() const { return version_; }
    std::size_t held() const { return held_.size(); }
    bool holds(const instance_id& instance) const;

private:
    struct held_node {
        node_status status;
        instant last_heard;
        std::uint64_t changed = 0;
    };
    struct learned_member {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
        instant last_heard;
        std::map<instance_id, node_status> nodes;
    };

    void refresh(const instance_id& instance, instant now);
    void forget(instant now);
    node_status best_of(const instance_id& instance) const;

    membership_settings settings_;
    std::uint64_t epoch_;
    std::uint64_t version_ = 1;
    std::uint64_t held_version_ = 1;
    std::map<instance_id, held_node> held_;
    std::map<std::string, learned_member> learned_;
    std::map<instance_id, node_status> effective_;
    std::map<instance_id, std::uint64_t> changed_;
    std::map<instance_id, instant> gone_since_;
    /// Deltas from versions before this one cannot be made any more.
    std::uint64_t oldest_delta_ = 1;
};

} // namespace fescuedyke

#endif
