#include "fescuedyke/daemon/control_runtime.h"

#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>

/// \file
/// The log lines and the metrics of the adapter of the control side.

namespace fescuedyke {

namespace {

constexpr millis metrics_period{1000};

} // namespace

void control_runtime::log_subscription_changes()
{
    const instant now = loop_.now().now;
    if (const bool fresh = subscriber_.is_fresh(now); fresh != logged_fresh_) {
        logged_fresh_ = fresh;
        write_log(fresh ? log_level::info : log_level::warning,
                  fresh ? "configuration-fresh" : "configuration-not-fresh",
                  {{"version", subscriber_.version().value()}});
    }
    const std::vector<std::string> polled = subscriber_.selected_members(now);
    if (polled == logged_polled_members_) {
        return;
    }
    logged_polled_members_ = polled;
    nlohmann::json member_statuses = nlohmann::json::object();
    for (const std::string& name : polled) {
        const member_status& m = subscriber_.members().at(name);
        member_statuses[name] = {{"beacon_age_ms", m.quorum_confirmation_age.count()},
                                 {"replied", m.replied},
                                 {"round_trip_ms", m.round_trip.count()}};
    }
    write_log(log_level::info, "members-asked",
              {{"members", member_statuses}, {"version", subscriber_.version().value()}});
}

void control_runtime::log_role_changes()
{
    const raft_core& raft = core_->raft();
    const std::size_t member_count = raft.log().members().size();
    if (raft.role() == logged_role_ && raft.term() == logged_term_ &&
        member_count == logged_member_count_) {
        return;
    }
    logged_role_ = raft.role();
    logged_term_ = raft.term();
    logged_member_count_ = member_count;
    nlohmann::json member_names = nlohmann::json::array();
    for (const member_entry& m : raft.log().members()) {
        member_names.push_back(m.id.name + (m.voter ? "" : " (learner)"));
    }
    write_log(log_level::info, "member-role",
              {{"role", to_string(raft.role())},
               {"term", raft.term().value()},
               {"commit", raft.commit_index().value()},
               {"leader", raft.leader() ? raft.leader()->name : ""},
               {"members", member_names}});
}

void control_runtime::log_waiting_joins()
{
    std::vector<std::string> waiting;
    for (const member_id& id : core_->raft().waiting_to_join(loop_.now().now)) {
        waiting.push_back(id.name);
    }
    if (waiting == logged_waiting_joins_) {
        return;
    }
    logged_waiting_joins_ = waiting;
    const raft_core& raft = core_->raft();
    write_log(log_level::info, "members-wait-to-join",
              {{"instances", waiting},
               {"role", to_string(raft.role())},
               {"commit", raft.commit_index().value()}});
}

void control_runtime::update_metrics()
{
    const instant now = loop_.now().now;
    if (now - metrics_updated_at_ < metrics_period) {
        return;
    }
    metrics_updated_at_ = now;
    metrics_.set({"polls_sent"}, static_cast<double>(polls_sent_));
    metrics_.set({"poll_bytes_sent"}, static_cast<double>(poll_bytes_sent_));
    metrics_.set({"poll_bytes_received"}, static_cast<double>(poll_bytes_received_));
    metrics_.set({"configuration_version"}, static_cast<double>(subscriber_.version().value()));
    metrics_.set({"configuration_fresh"}, subscriber_.is_fresh(now) ? 1 : 0);
    if (!core_) {
        return;
    }
    const raft_core& raft = core_->raft();
    metrics_.set({"leads"}, raft.role() == raft_role::leader ? 1 : 0);
    metrics_.set({"term"}, static_cast<double>(raft.term().value()));
    metrics_.set({"commit_index"}, static_cast<double>(raft.commit_index().value()));
    metrics_.set({"members"}, static_cast<double>(raft.log().members().size()));
    metrics_.set({"document_version"}, static_cast<double>(core_->state().document().version));
    metrics_.set({"disk_ok"}, core_->disk_status().ok() ? 1 : 0);
    metrics_.set({"accounts_written"}, core_->account_flush_status().ok() ? 1 : 0);
}

} // namespace fescuedyke
