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
    millis tombstone_retention{60'000};
};

/// Holds the leases of the nodes that report to this member and learns of all others from the
/// other members. A node is there while any member that is heard from holds its lease.
class lease_table {
public:
    /// \p epoch tells this process from former ones of the same member.
    lease_table(const membership_settings& settings, std::uint64_t epoch);

    /// A node reported itself and the configuration it has in force.
    void on_report(const node_record& record, config_version active_config_version, instant now);

    /// Another member told of its nodes. Returns the version to acknowledge.
    std::uint64_t on_member_delta(const std::string& member, const member_delta& delta,
                                  instant now);

    /// Lets leases run out.
    void expire(instant now);

    /// Returns the changes of the held nodes that a member at \p known has not seen.
    member_delta held_changes_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns the changes of all targets that a node at \p known has not seen.
    view_delta view_changes_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns every node that is there.
    std::vector<node_record> live_nodes() const;

    /// Returns every instance that was there of late.
    const std::map<instance_id, node_status>& nodes() const { return merged_; }

    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t version() const { return version_; }
    std::size_t held_count() const { return held_.size(); }
    bool holds_lease(const instance_id& instance) const;

private:
    struct leased_node {
        node_status status;
        instant last_heard;
        std::uint64_t change_version = 0;
    };
    struct remote_member {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
        instant last_heard;
        std::map<instance_id, node_status> nodes;
    };

    void update_merged(const instance_id& instance, instant now);
    void expire_tombstones(instant now);
    node_status latest_status_of(const instance_id& instance) const;

    membership_settings settings_;
    std::uint64_t epoch_;
    std::uint64_t version_ = 1;
    std::uint64_t held_version_ = 1;
    std::map<instance_id, leased_node> held_;
    std::map<std::string, remote_member> remote_members_;
    std::map<instance_id, node_status> merged_;
    std::map<instance_id, std::uint64_t> change_versions_;
    std::map<instance_id, instant> tombstoned_at_;
    /// Deltas from versions before this one cannot be made any more.
    std::uint64_t oldest_delta_base_ = 1;
};

} // namespace fescuedyke

#endif
