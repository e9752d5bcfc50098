#ifndef FESCUEDYKE_MEMBERSHIP_NODE_RECORD_H
#define FESCUEDYKE_MEMBERSHIP_NODE_RECORD_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What a node tells of itself, and what members tell each other of nodes.

namespace fescuedyke {

/// The target beside a node, as it announced itself.
struct target_announcement {
    service_name service;
    /// Tells this start of the target from every other; empty if it told none.
    std::string identity;
    label_set labels;
    int slots = 0;
    target_state state = target_state::ready;

    friend bool operator==(const target_announcement& a, const target_announcement& b)
    {
        return a.service == b.service && a.identity == b.identity && a.labels == b.labels &&
               a.slots == b.slots && a.state == b.state;
    }
};

/// One node. Of two records of an instance the one with the greater incarnation, then the greater
/// sequence, is the later.
struct node_record {
    instance_id instance;
    incarnation node_incarnation;
    /// Grows with every change of the record within one incarnation.
    std::uint64_t sequence = 0;
    endpoint address;
    locality place;
    owner_name owner;
    /// Nothing while no target has announced itself.
    std::optional<target_announcement> target;
};

/// Returns whether \p a is later than \p b.
bool is_later(const node_record& a, const node_record& b);

/// A record with whether its node is there.
struct node_status {
    node_record record;
    bool live = false;
    /// Latest configuration that the node is known to have in force.
    config_version active_config_version;
};

/// Changes among the nodes that one member holds leases of.
struct member_delta {
    /// Changes whenever the member's process does.
    std::uint64_t epoch = 0;
    /// The changes lead from this version, or from nothing when it is 0 …
    std::uint64_t from_version = 0;
    /// … to this one.
    std::uint64_t version = 0;
    std::vector<node_status> changes;
};

/// Changes of the targets that one node asks for.
struct view_delta {
    std::uint64_t epoch = 0;
    /// When 0, what was known before is dropped.
    std::uint64_t from_version = 0;
    std::uint64_t version = 0;
    /// A target that is gone comes with live set to false.
    std::vector<node_status> changes;
};

} // namespace fescuedyke

#endif
