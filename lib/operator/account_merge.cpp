#include "fescuedyke/operator/account_merge.h"

#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;
using source_key = std::pair<std::string, std::uint64_t>;

void add_reason_counts(json& to, const json& from)
{
    for (const auto& [reason, count] : from.items()) {
        to[reason] = to.value(reason, std::uint64_t{0}) + count.get<std::uint64_t>();
    }
}

std::uint64_t sum_counts(const json& reasons)
{
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : reasons.items()) {
        sum += count.get<std::uint64_t>();
    }
    return sum;
}

void add_row(json& to, const json& row)
{
    if (to.is_null()) {
        to = row;
        return;
    }
    for (const char* field : {"received", "answered", "in_progress"}) {
        to[field] = to[field].get<std::uint64_t>() + row.at(field).get<std::uint64_t>();
    }
    add_reason_counts(to["not_run"], row.at("not_run"));
    add_reason_counts(to["unknown"], row.at("unknown"));
}

std::map<source_key, json> latest_reports(const std::vector<json>& responses)
{
    std::map<source_key, json> sources;
    for (const json& response : responses) {
        for (const json& source : response.at("sources")) {
            json& latest = sources[{source.at("instance"), source.at("incarnation")}];
            if (latest.is_null() || source.at("sequence") > latest.at("sequence")) {
                latest = source;
            }
        }
    }
    return sources;
}

/// Returns whether a later incarnation of the instance has reported. A replaced source does not
/// report again, so the outcomes of the requests that it had in progress are missing from the
/// account.
bool was_replaced(const std::map<source_key, json>& sources, const source_key& key)
{
    const auto later = sources.upper_bound(key);
    return later != sources.end() && later->first.first == key.first;
}

std::string format_reason_counts(const json& reasons)
{
    std::string text;
    for (const auto& [reason, count] : reasons.items()) {
        text +=
            (text.empty() ? "" : ", ") + std::to_string(count.get<std::uint64_t>()) + " " + reason;
    }
    return text;
}

} // namespace

json merge_accounts(const std::vector<json>& responses, std::int64_t now_ms,
                    std::int64_t max_report_age_ms)
{
    const std::map<source_key, json> sources = latest_reports(responses);
    std::map<std::tuple<std::string, std::string, std::string>, json> rows;
    json gaps = json::array();
    json unknown_keys = json::array();
    for (const auto& [key, source] : sources) {
        for (const json& row : source.at("rows")) {
            add_row(rows[{row.at("side"), row.at("service"), row.at("class")}], row);
        }
        for (const json& k : source.at("unknown_keys")) {
            unknown_keys.push_back(k);
        }
        const std::int64_t silent_ms = now_ms - source.at("last_report_ms").get<std::int64_t>();
        if (silent_ms > max_report_age_ms) {
            gaps.push_back({{"instance", key.first},
                            {"incarnation", key.second},
                            {"last_report_ms", source.at("last_report_ms")},
                            {"silent_ms", silent_ms},
                            {"replaced", was_replaced(sources, key)}});
        }
    }
    json merged = {{"rows", json::array()}, {"gaps", gaps}, {"unknown_keys", unknown_keys}};
    bool conserved = true;
    for (const auto& [key, row] : rows) {
        const std::uint64_t parts = row.at("answered").get<std::uint64_t>() +
                                    sum_counts(row.at("not_run")) + sum_counts(row.at("unknown")) +
                                    row.at("in_progress").get<std::uint64_t>();
        conserved = conserved && row.at("received") == parts;
        merged["rows"].push_back(row);
    }
    merged["conserved"] = conserved;
    return merged;
}

std::string explain_account(const json& account)
{
    std::ostringstream text;
    for (const json& row : account.at("rows")) {
        const bool served = row.at("side") == "served";
        text << (served ? "served " : "sent to ") << row.at("service").get<std::string>() << " ("
             << row.at("class").get<std::string>() << "): " << row.at("received") << " received, "
             << row.at("answered") << " answered, " << sum_counts(row.at("not_run")) << " not run, "
             << sum_counts(row.at("unknown")) << " unknown, " << row.at("in_progress")
             << " in progress\n";
        if (!row.at("not_run").empty()) {
            text << "  not run because: " << format_reason_counts(row.at("not_run")) << "\n";
        }
        if (!row.at("unknown").empty()) {
            text << "  outcome unknown because: " << format_reason_counts(row.at("unknown"))
                 << "\n";
        }
    }
    for (const json& key : account.at("unknown_keys")) {
        text << "unknown key: " << key.at("key").get<std::string>() << " of "
             << key.at("service").get<std::string>() << " (" << key.at("reason").get<std::string>()
             << ")\n";
    }
    for (const json& gap : account.at("gaps")) {
        text << "gap: " << gap.at("instance").get<std::string>() << " has not reported for "
             << gap.at("silent_ms").get<std::int64_t>() / 1000 << " s"
             << (gap.at("replaced").get<bool>() ? " (its process was replaced)" : "") << "\n";
    }
    if (account.at("rows").empty()) {
        text << "nothing was received\n";
    }
    return text.str();
}

} // namespace fescuedyke
