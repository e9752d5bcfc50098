#ifndef FESCUEDYKE_DAEMON_CONTROL_RUNTIME_H
#define FESCUEDYKE_DAEMON_CONTROL_RUNTIME_H

#include "fescuedyke/control/control_core.h"
#include "fescuedyke/logging/dependency_log.h"
#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/storage/posix_file_system.h"
#include "fescuedyke/subscription/config_subscriber.h"
#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/peer_client.h"
#include "fescuedyke/transport/peer_server.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// \file
/// Runs a process's control decisions on the control thread: the node's subscription, and the
/// member's part if the process is one.

namespace fescuedyke {

/// All functions belong to the control thread.
class control_runtime {
public:
    using change_callback = std::function<void(const answer_change&)>;
    using document_callback = std::function<void(const answer_document&)>;

    /// \p send_to_node hands events to the traffic thread.
    control_runtime(const process_settings& settings, event_loop& loop, random_source& random,
                    std::uint64_t epoch, metric_registry& metrics,
                    std::function<void(node_event)> send_to_node,
                    std::function<void(const route_document&)> on_document = {});
    ~control_runtime();

    /// Opens the disk if the process is a member, and starts. Fails when the disk is damaged or an
    /// address is taken.
    absl::Status start();

    void on_record(const node_record& record, bool wants_lease);
    void on_account_report(const account_report& report);

    /// Proposes a change; \p done is called once with what became of it.
    void propose_change(const policy_change& change, change_callback done);

    /// Proposes another document of routes; \p done is called once.
    void propose_change(const document_change& change, change_callback done);
    /// Asks for the document in force; \p done is called once, with the newest or with none.
    void read_document(document_callback done);
    /// Whether some member's word is fresh.
    bool is_fresh() const { return subscriber_.is_fresh(loop_.now().now); }

    /// Tells the members the last account, hands over the lead, and then calls \p done.
    void stop(std::function<void()> done);

    /// The member's decisions, or nullptr when the process is no member.
    const control_core* member_core() const { return core_.get(); }

    nlohmann::json state() const;

private:
    void on_subscriber_tick();
    void on_member_tick();
    void execute(const subscriber_output& output);
    void log_subscription_changes();
    void log_role_changes();
    void update_metrics();
    void send_account_report(const account_report& report, const std::string& member,
                             std::function<void()> done);
    void handle(const control_event& event);
    void execute(const send_consensus& action);
    void execute(const answer_poll& action);
    void execute(const send_member_sync& action);
    void execute(const answer_member_sync& action);
    void execute(const answer_change& action);
    void execute(const answer_document& action);
    void on_request(peer_stream_id stream, const std::string& path, const std::string& body);
    absl::Status start_member();

    const process_settings& settings_;
    event_loop& loop_;
    random_source& random_;
    std::uint64_t epoch_;
    std::function<void(node_event)> send_to_node_;
    std::function<void(const route_document&)> on_document_;
    config_subscriber subscriber_;
    peer_client peers_;
    std::unique_ptr<peer_server> server_;
    std::unique_ptr<posix_file_system> file_system_;
    std::unique_ptr<member_store> store_;
    std::unique_ptr<account_store> accounts_;
    std::unique_ptr<control_core> core_;
    std::map<request_id, change_callback> pending_changes_;
    std::map<request_id, document_callback> pending_reads_;
    std::uint64_t next_request_ = 1;
    account_report last_report_;
    stored_member loaded_;
    gauge_family metrics_;
    instant metrics_updated_at_;
    dependency_log disk_status_log_{"member-disk"};
    dependency_log account_flush_status_log_{"account-book"};
    /// What the log was last told of.
    std::vector<std::string> logged_polled_members_;
    bool logged_fresh_ = false;
    raft_role logged_role_ = raft_role::follower;
    std::size_t logged_member_count_ = 0;
    log_term logged_term_;
    std::uint64_t polls_sent_ = 0;
    std::uint64_t poll_bytes_sent_ = 0;
    std::uint64_t poll_bytes_received_ = 0;
};

} // namespace fescuedyke

#endif
