#ifndef FESCUEDYKE_SUPPORT_IDS_H
#define FESCUEDYKE_SUPPORT_IDS_H

#include "fescuedyke/support/strong.h"

#include <cstdint>
#include <string>

/// \file
/// Identifiers that are shared by the libraries.

namespace fescuedyke {

/// Name of an instance. It is stable across restarts of the process in the same deployment slot.
using instance_id = strong<struct instance_id_tag, std::string>;

/// Number of a process start on one instance. Later starts have greater numbers.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

using service_name = strong<struct service_name_tag, std::string>;

/// Name of an owner of services and policies.
using owner_name = strong<struct owner_name_tag, std::string>;

using region_name = strong<struct region_name_tag, std::string>;

/// Name of an availability zone.
using zone_name = strong<struct zone_name_tag, std::string>;

/// Identifies a call on one hop of a call tree.
using call_id = strong<struct call_id_tag, std::uint64_t>;

/// Identifies the request at the root of a call tree.
using root_id = strong<struct root_id_tag, std::uint64_t>;

/// Identifies an open request of a caller or an open stream of a peer within an adapter.
using exchange_id = strong<struct exchange_id_tag, std::uint64_t>;

/// Version of the whole configuration. Every accepted change increments it by one.
using config_version = strong<struct config_version_tag, std::uint64_t>;

/// Identifies a flow: the root requests that enter through one service under one policy.
using flow_id = strong<struct flow_id_tag, std::uint64_t>;

} // namespace fescuedyke

#endif
