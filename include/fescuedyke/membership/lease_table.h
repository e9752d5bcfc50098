#ifndef FESCUEDYKE_MEMBERSHIP_LEASE_TABLE_H
#define FESCUEDYKE_MEMBERSHIP_LEASE_TABLE_H

#include "fescuedyke/membership/node_record.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// Tracks all nodes as soft state that is kept alive by leases.

namespace fescuedyke {

struct membership_settings {
    /// Duration of a node's lease, counted from its latest report.
    millis node_lease{2000};
    /// The state received from another member is discarded after this long without contact.
    millis member_lease{3000};
    /// How long the tombstone of an expired node is kept, so that readers that poll late still
    /// learn that the node has expired.
    millis tombstone_retention{60'000};
};

/// Holds the leases of the nodes that report to this member, and merges them with the leases that
/// other members hold. A node is live while this member, or any member that it is in contact with,
/// holds a lease for it.
class lease_table {
public:
    /// \p epoch distinguishes this process from earlier processes of the same member.
    lease_table(const membership_settings& settings, std::uint64_t epoch);

    /// Handles a report of a node with its record and its active configuration version.
    void on_report(const node_record& record, config_version active_config_version, instant now);

    /// Applies the changes that another member sent. Returns the version to acknowledge; 0 requests
    /// the full state.
    std::uint64_t on_member_delta(const std::string& member, const member_delta& delta,
                                  instant now);

    /// Expires leases and tombstones.
    void expire(instant now);

    /// Returns the delta to send to another member: the changes to the nodes whose leases this
    /// member holds since version \p known of \p epoch.
    member_delta held_changes_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns the delta to send to a node: the changes to all targets since version \p known of
    /// \p epoch.
    view_delta view_changes_since(std::uint64_t epoch, std::uint64_t known) const;

    /// Returns the records of all live nodes.
    std::vector<node_record> live_nodes() const;

    /// Returns the status of all instances that are live or have a tombstone.
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
    /// Oldest version from which a delta can still be computed.
    std::uint64_t oldest_delta_base_ = 1;
};

} // namespace fescuedyke

#endif
