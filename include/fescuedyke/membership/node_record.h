#ifndef FESCUEDYKE_MEMBERSHIP_NODE_RECORD_H
#define FESCUEDYKE_MEMBERSHIP_NODE_RECORD_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Defines the records that nodes report and the deltas that members exchange about nodes.

namespace fescuedyke {

/// The local target of a node, as the target announced itself.
struct target_announcement {
    service_name service;
    /// Identifies this process start of the target; empty if the target did not provide it.
    std::string identity;
    /// Distinguishes the starts of the target that have the same identity.
    std::uint64_t target_incarnation = 0;
    label_set labels;
    int slots = 0;
    target_state state = target_state::ready;

    friend bool operator==(const target_announcement& a, const target_announcement& b)
    {
        return a.service == b.service && a.identity == b.identity &&
               a.target_incarnation == b.target_incarnation && a.labels == b.labels &&
               a.slots == b.slots && a.state == b.state;
    }
};

/// State of one node. Records of the same instance are ordered by incarnation, then by sequence.
struct node_record {
    instance_id instance;
    incarnation node_incarnation;
    /// Increases with every change of the record within one incarnation.
    std::uint64_t sequence = 0;
    endpoint address;
    locality location;
    owner_name owner;
    /// Empty until a target has announced itself.
    std::optional<target_announcement> target;
};

/// Returns whether \p a is later than \p b.
bool is_later(const node_record& a, const node_record& b);

/// The record of a node together with its liveness.
struct node_status {
    node_record record;
    bool live = false;
    /// Latest configuration version that is known to be active on the node.
    config_version active_config_version;
};

/// Changes to the nodes for which one member holds leases.
struct member_delta {
    /// Differs for every process of the member.
    std::uint64_t epoch = 0;
    /// Version to which the changes apply; 0 if they contain the full state.
    std::uint64_t from_version = 0;
    /// Version of the state after the changes.
    std::uint64_t version = 0;
    std::vector<node_status> changes;
};

/// Changes to all targets since the version that the requesting node has.
struct view_delta {
    /// Differs for every process of the member.
    std::uint64_t epoch = 0;
    /// Version to which the changes apply; 0 if they replace all earlier state.
    std::uint64_t from_version = 0;
    /// Version of the state after the changes.
    std::uint64_t version = 0;
    /// A target that is no longer available is included with live set to false.
    std::vector<node_status> changes;
};

} // namespace fescuedyke

#endif
