#ifndef FESCUEDYKE_OPERATOR_ACCOUNT_MERGE_H
#define FESCUEDYKE_OPERATOR_ACCOUNT_MERGE_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// \file
/// Merges the accounts that several members report into one and formats it as JSON or text.

namespace fescuedyke {

/// Merges the members' responses. Only the latest report of each source, that is, of each
/// incarnation of an instance, counts. \p now_ms is the current Unix time; a source whose last
/// report is older than \p max_report_age_ms is listed as a gap.
nlohmann::json merge_accounts(const std::vector<nlohmann::json>& responses, std::int64_t now_ms,
                              std::int64_t max_report_age_ms);

/// Formats a merged account as plain text.
std::string explain_account(const nlohmann::json& account);

} // namespace fescuedyke

#endif
