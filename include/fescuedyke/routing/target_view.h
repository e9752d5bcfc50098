#ifndef FESCUEDYKE_ROUTING_TARGET_VIEW_H
#define FESCUEDYKE_ROUTING_TARGET_VIEW_H

#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// The targets that a node may route to, according to its latest membership data.

namespace fescuedyke {

/// Network address of a process.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.host == b.host && a.port == b.port;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) { return !(a == b); }
};

/// Returns `IP:port`.
std::string to_string(const endpoint& address);

/// Region and availability zone of a process.
struct locality {
    region_name region;
    zone_name zone;
};

/// Whether a target accepts new calls.
enum class target_state : std::uint8_t { ready, draining };

/// A target and its node.
struct target_info {
    instance_id instance;
    incarnation node_incarnation;
    endpoint node_address;
    locality location;
    service_name service;
    owner_name owner;
    /// Distinguishes this process of the target from earlier and later ones; empty if not
    /// announced.
    std::string identity;
    /// Distinguishes the starts of the target that have the same identity.
    std::uint64_t target_incarnation = 0;
    label_set labels;
    int slots = 0;
    target_state state = target_state::ready;
};

/// The targets of all services that a node calls, by service.
struct target_view {
    std::uint64_t version = 0;
    std::map<service_name, std::vector<target_info>> services;
};

} // namespace fescuedyke

#endif
