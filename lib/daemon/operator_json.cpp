#include "fescuedyke/daemon/operator_json.h"

#include "fescuedyke/daemon/http_api.h"
#include "fescuedyke/daemon/state_json.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

absl::StatusOr<std::optional<wall_time>> parse_time(const std::map<std::string, std::string>& query,
                                                    const std::string& key)
{
    const auto found = query.find(key);
    if (found == query.end()) {
        return std::optional<wall_time>();
    }
    std::int64_t value = 0;
    const std::string& text = found->second;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0) {
        return absl::InvalidArgumentError(
            key + ": must be an integer number of milliseconds since the Unix epoch");
    }
    return std::optional<wall_time>(wall_time(value));
}

json policy_json(const policy_record& record)
{
    return {{"owner", record.owner.value()}, {"name", record.name},
            {"version", record.version},     {"changed_in", record.changed_in.value()},
            {"private", record.is_private},  {"policy", record.yaml}};
}

std::map<account_key, account_row> rows_for(const account_entry& entry, const account_query& query)
{
    if (!query.from && !query.to) {
        return entry.latest.rows;
    }
    const wall_time from = query.from.value_or(wall_time(0));
    const wall_time to = query.to.value_or(entry.latest.reported_at);
    return account_store::rows_between(entry, from, to);
}

json source_json(const account_entry& entry, const account_query& query)
{
    const account_report& latest = entry.latest;
    json source = {{"instance", latest.instance.value()},
                   {"incarnation", latest.node_incarnation.value()},
                   {"sequence", latest.sequence},
                   {"last_report_ms", latest.reported_at.since_origin()},
                   {"rows", json::array()},
                   {"unknown_keys", json::array()}};
    for (const auto& [key, row] : rows_for(entry, query)) {
        source["rows"].push_back(account_row_json(key, row));
    }
    for (const unknown_outcome& k : latest.unknown_keys) {
        const bool in_range = (!query.from || k.key_created >= *query.from) &&
                              (!query.to || k.key_created <= *query.to);
        if (in_range) {
            source["unknown_keys"].push_back({{"service", k.row_key.service.value()},
                                              {"key", k.key},
                                              {"reason", to_string(k.reason)},
                                              {"created_ms", k.key_created.since_origin()}});
        }
    }
    return source;
}

} // namespace

absl::StatusOr<account_query> parse_account_query(const std::map<std::string, std::string>& query)
{
    const absl::StatusOr<std::optional<wall_time>> from = parse_time(query, "from");
    const absl::StatusOr<std::optional<wall_time>> to = parse_time(query, "to");
    if (!from.ok() || !to.ok()) {
        return from.ok() ? to.status() : from.status();
    }
    const auto owner = query.find("owner");
    return account_query{owner_name(owner == query.end() ? "" : owner->second), *from, *to};
}

json settings_json(const process_settings& settings)
{
    json members = json::array();
    for (const member_address& m : settings.members) {
        members.push_back({{"name", m.name}, {"control", to_string(m.control)}});
    }
    return {{"instance", settings.instance.value()},
            {"owner", settings.owner.value()},
            {"http", to_string(settings.http)},
            {"peer", to_string(settings.peer)},
            {"member", settings.is_member},
            {"memory_bytes", settings.memory_bytes},
            {"region_bytes_per_second", settings.region_bytes_per_second},
            {"subset", settings.subset_size},
            {"drain_ms", settings.drain_timeout.count()},
            {"members", members}};
}

json targets_json(const lease_table& leases)
{
    json targets = json::array();
    for (const auto& [instance, status] : leases.nodes()) {
        const node_record& r = status.record;
        if (!r.target) {
            continue;
        }
        const char* state = r.target->state == target_state::ready ? "ready" : "draining";
        targets.push_back({{"instance", instance.value()},
                           {"service", r.target->service.value()},
                           {"owner", r.owner.value()},
                           {"region", r.location.region.value()},
                           {"zone", r.location.zone.value()},
                           {"node", to_string(r.address)},
                           {"slots", r.target->slots},
                           {"state", status.live ? state : "gone"}});
    }
    return {{"targets", targets}};
}

json policies_json(const control_state& state, const operator_entry& requester)
{
    json policies = json::array();
    for (const auto& [key, record] : state.policies()) {
        const bool readable = !record.is_private || may_act_for(requester, record.owner);
        if (!record.removed && readable) {
            policies.push_back(policy_json(record));
        }
    }
    return {{"version", state.version().value()}, {"policies", policies}};
}

json change_json(const answer_change& answer, const control_core& core)
{
    json body;
    if (answer.leader_api) {
        body["leader"] = to_string(*answer.leader_api);
    }
    if (answer.outcome != change_outcome::committed) {
        body["result"] = answer.outcome == change_outcome::unknown ? "unknown" : "not-leader";
        return body;
    }
    const bool accepted = answer.result.code == change_code::accepted;
    body["result"] = accepted ? "accepted" : "conflict";
    body["policy_version"] = answer.result.policy_version;
    body["version"] = answer.result.version.value();
    body["durable"] = accepted;
    body["progress"] = progress_json(core);
    return body;
}

json progress_json(const control_core& core)
{
    json regions = json::object();
    for (const auto& [region, p] : core.progress()) {
        regions[region.value()] = {
            {"nodes", p.nodes}, {"behind", p.behind}, {"lowest", p.lowest_version.value()}};
    }
    return {{"version", core.state().version().value()}, {"regions", regions}};
}

json accounts_json(const account_store& store, const account_query& query)
{
    json sources = json::array();
    for (const auto& [source, entry] : store.entries()) {
        if (entry.latest.owner == query.owner) {
            sources.push_back(source_json(entry, query));
        }
    }
    return {{"owner", query.owner.value()}, {"sources", sources}};
}

} // namespace fescuedyke
