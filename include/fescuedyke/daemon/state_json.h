#ifndef FESCUEDYKE_DAEMON_STATE_JSON_H
#define FESCUEDYKE_DAEMON_STATE_JSON_H

#include "fescuedyke/control/control_core.h"
#include "fescuedyke/node/node_core.h"
#include "fescuedyke/subscription/config_subscriber.h"

#include <nlohmann/json_fwd.hpp>

/// \file
/// The state of a process as JSON for operators.

namespace fescuedyke {

nlohmann::json node_state_json(const node_core& core, instant now);
nlohmann::json subscriber_state_json(const config_subscriber& subscriber, instant now);
nlohmann::json member_state_json(const control_core& core, instant now);
nlohmann::json account_row_json(const account_key& key, const account_row& row);

} // namespace fescuedyke

#endif
