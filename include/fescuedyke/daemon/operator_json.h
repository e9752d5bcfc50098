#ifndef FESCUEDYKE_DAEMON_OPERATOR_JSON_H
#define FESCUEDYKE_DAEMON_OPERATOR_JSON_H

#include "fescuedyke/control/control_core.h"
#include "fescuedyke/settings/process_settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// JSON bodies of the responses to operators.

namespace fescuedyke {

/// Owner and time range of a request for an account.
struct account_query {
    owner_name owner;
    std::optional<wall_time> from;
    std::optional<wall_time> to;
};

/// Parses `owner`, and `from` and `to` in milliseconds since the Unix epoch. Fails with
/// kInvalidArgument; the message names the key.
absl::StatusOr<account_query> parse_account_query(const std::map<std::string, std::string>& query);

nlohmann::json settings_json(const process_settings& settings);
nlohmann::json targets_json(const lease_table& leases);
/// Omits the private policies of owners for which \p requester is not authorized.
nlohmann::json policies_json(const control_state& state, const operator_entry& requester);
nlohmann::json change_json(const answer_change& answer, const control_core& core);
nlohmann::json progress_json(const control_core& core);
nlohmann::json accounts_json(const account_store& store, const account_query& query);

} // namespace fescuedyke

#endif
