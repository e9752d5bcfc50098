#include "fescuedyke/daemon/state_json.h"

#include <nlohmann/json.hpp>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

json reasons_json(const std::array<std::uint64_t, outcome_reason_count>& counts)
{
    json reasons = json::object();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0) {
            reasons[to_string(static_cast<outcome_reason>(i))] = counts[i];
        }
    }
    return reasons;
}

json level_json(rank level)
{
    if (level == rank::max()) {
        return "all";
    }
    const std::uint32_t subpriority = level.value() % rank::subpriorities_per_class;
    return {{"class", to_string(level.cls())},
            {"lots", static_cast<double>(subpriority + 1) / rank::subpriorities_per_class}};
}

json admission_json(const admission_queue& admission, instant now)
{
    const load_report load = admission.report(now);
    return {{"limit", load.limit},
            {"slots", admission.limit().slots()},
            {"running", admission.running()},
            {"queued", admission.queued()},
            {"bytes_held", admission.bytes_held()},
            {"service_time_ms", admission.limit().service_time()},
            {"floor_time_ms", admission.limit().min_service_time()},
            {"expected_time_ms", load.expected_time.count()},
            {"level", level_json(load.level)}};
}

json target_json(const target_stats& s, instant now)
{
    json t = {{"in_flight", s.in_flight},
              {"limit", s.limit},
              {"failures", s.consecutive_failures},
              {"ejected", s.ejected},
              {"level", level_json(s.level)},
              {"level_age_ms", (now - s.level_reported_at).count()},
              {"expected_time_ms", s.expected_time.count()}};
    return t;
}

json member_json(const member_entry& m)
{
    return {{"name", m.id.name},
            {"disk", m.id.disk_id},
            {"control", m.address.host + ":" + std::to_string(m.address.port)},
            {"voter", m.voter}};
}

} // namespace

json account_row_json(const account_key& key, const account_row& row)
{
    return {{"side", key.side == account_side::served ? "served" : "sent"},
            {"owner", key.owner.value()},
            {"service", key.service.value()},
            {"class", to_string(key.cls)},
            {"received", row.received},
            {"answered", row.answered},
            {"not_run", reasons_json(row.not_run)},
            {"unknown", reasons_json(row.unknown)},
            {"in_progress", row.in_progress}};
}

json node_state_json(const node_core& core, instant now)
{
    json state;
    state["instance"] = core.settings().self.value();
    state["incarnation"] = core.owned_buckets().self_incarnation().value();
    state["region"] = core.settings().location.region.value();
    state["zone"] = core.settings().location.zone.value();
    state["configured"] = core.configured();
    state["configuration"] = core.policies_version().value();
    const inbound_calls& inbound = core.inbound();
    state["service"] = inbound.service().value();
    state["ready"] = inbound.ready(now);
    state["draining"] = inbound.draining();
    if (inbound.admission()) {
        state["admission"] = admission_json(*inbound.admission(), now);
    }
    state["open"] = {{"inbound", inbound.open_calls()}, {"outbound", core.outbound().open_calls()}};
    state["outbound_bytes"] = core.outbound().bytes_held();
    state["keys"] = {{"records", inbound.registry().size()},
                     {"buckets", core.owned_buckets().buckets_held()},
                     {"lease_ms", (core.owned_buckets().lease_until() - now).count()}};
    for (const auto& [service, budget] : core.outbound().retry_budgets()) {
        state["retry_budgets"][service.value()] = budget.tokens();
    }
    for (const auto& [service, targets] : core.chooser().stats()) {
        for (const auto& [instance, s] : targets) {
            state["targets"][service.value()][instance.value()] = target_json(s, now);
        }
    }
    state["account"] = json::array();
    for (const auto& [key, row] : core.accounts().rows()) {
        state["account"].push_back(account_row_json(key, row));
    }
    return state;
}

json subscriber_state_json(const config_subscriber& subscriber, instant now)
{
    json state;
    state["version"] = subscriber.version().value();
    state["fresh"] = subscriber.is_fresh(now);
    state["leader"] = subscriber.leader();
    state["asks"] = subscriber.selected_members(now);
    for (const auto& [key, record] : subscriber.policy_records()) {
        if (!record.removed) {
            state["policies"][key] = record.version;
        }
    }
    for (const auto& [name, m] : subscriber.members()) {
        state["members"][name] = {
            {"address", m.address.host + ":" + std::to_string(m.address.port)},
            {"avoided", now < m.backoff_until},
            {"beacon_age_ms", m.quorum_confirmation_age.count()},
            {"round_trip_ms", m.round_trip.count()}};
    }
    return state;
}

json member_state_json(const control_core& core, instant now)
{
    const raft_core& raft = core.raft();
    json state;
    state["name"] = raft.self().name;
    state["disk"] = raft.self().disk_id;
    state["disk_status"] =
        core.disk_status().ok() ? "ok" : std::string(core.disk_status().message());
    state["role"] = to_string(raft.role());
    state["term"] = raft.term().value();
    state["leader"] = raft.leader() ? raft.leader()->name : "";
    state["commit"] = raft.commit_index().value();
    state["last"] = raft.log().last_index().value();
    state["snapshot"] = raft.log().base().index.value();
    state["beacon_age_ms"] = core.quorum_confirmation_age(now).count();
    state["configuration"] = core.state().version().value();
    state["owners_version"] = core.state().owners().version;
    state["members"] = json::array();
    for (const member_entry& m : raft.log().members()) {
        state["members"].push_back(member_json(m));
    }
    state["nodes_held"] = core.leases().held_count();
    state["nodes"] = json::object();
    for (const auto& [instance, status] : core.leases().nodes()) {
        state["nodes"][instance.value()] = status.live;
    }
    return state;
}

} // namespace fescuedyke
