#ifndef FESCUEDYKE_OPERATOR_ACCOUNT_MERGE_H
#define FESCUEDYKE_OPERATOR_ACCOUNT_MERGE_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// \file
/// One account out of what several members tell, in words and as JSON.

namespace fescuedyke {

/// Merges the members' responses: of each incarnation of an instance the latest report counts,
/// once. \p now_ms is the wall clock; a source silent for longer than \p max_report_age_ms is a
/// gap.
nlohmann::json merge_accounts(const std::vector<nlohmann::json>& responses, std::int64_t now_ms,
                              std::int64_t max_report_age_ms);

/// Explains a merged account in words.
std::string explain_account(const nlohmann::json& account);

} // namespace fescuedyke

#endif
