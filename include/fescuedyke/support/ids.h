#ifndef FESCUEDYKE_SUPPORT_IDS_H
#define FESCUEDYKE_SUPPORT_IDS_H

#include "fescuedyke/support/strong.h"

#include <cstdint>
#include <string>

/// \file
/// The ids that the libraries share.

namespace fescuedyke {

/// Name of an instance; stable over restarts of the process in its slot.
using instance_id = strong<struct instance_id_tag, std::string>;

/// Counts the starts of a process on one instance; a later start has the greater number.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/// Name of a service.
using service_name = strong<struct service_name_tag, std::string>;

/// Name of an owner of services.
using owner_name = strong<struct owner_name_tag, std::string>;

/// Name of a region.
using region_name = strong<struct region_name_tag, std::string>;

/// Name of an availability zone.
using zone_name = strong<struct zone_name_tag, std::string>;

/// One call on one hop.
using call_id = strong<struct call_id_tag, std::uint64_t>;

/// The request at the root of a tree of calls.
using root_id = strong<struct root_id_tag, std::uint64_t>;

/// A caller's open request, or a peer's open stream, as an adapter knows it.
using exchange_id = strong<struct exchange_id_tag, std::uint64_t>;

/// Version of the whole configuration; grows by one with every accepted change.
using config_version = strong<struct config_version_tag, std::uint64_t>;

/// Groups the roots that enter through one service under one policy.
using flow_id = strong<struct flow_id_tag, std::uint64_t>;

} // namespace fescuedyke

#endif
