#ifndef FESCUEDYKE_DAEMON_CONTROL_RUNTIME_H
#define FESCUEDYKE_DAEMON_CONTROL_RUNTIME_H

#include "fescuedyke/control/control_core.h"
#include "fescuedyke/logging/dependency_log.h"
#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/storage/posix_file_system.h"
#include "fescuedyke/subscription/config_subscriber.h"
#include "fescuedyke/subscription/departure_client.h"
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
/// The adapter of the control side. It connects the decision logic to the network and the disk: the
/// node's subscription to the configuration and, if the process is a control member, the member.

namespace fescuedyke {

/// All functions must be called on the control thread, or before it is started.
class control_runtime {
public:
    using change_callback = std::function<void(const answer_change&)>;
    using document_callback = std::function<void(const answer_document&)>;

    /// \p epoch distinguishes this process from earlier processes of the same member.
    /// \p send_to_node is called with events for the node, \p on_document with every later version
    /// of the route document. \p settings, \p loop, \p random and \p metrics must outlive the
    /// runtime.
    control_runtime(const process_settings& settings, event_loop& loop, random_source& random,
                    std::uint64_t epoch, metric_registry& metrics,
                    std::function<void(node_event)> send_to_node,
                    std::function<void(const route_document&)> on_document = {});
    ~control_runtime();

    /// Starts the periodic work. If the process is a member, first opens its files and listens on
    /// its address. Fails if a file cannot be opened or is damaged, or if the address is in use.
    absl::Status start();

    /// Sets the node's record, which is sent with every poll.
    void on_record(const node_record& record, bool wants_lease);

    /// Sends \p report to the selected members and keeps it, since stop() sends the last report
    /// again.
    void on_account_report(const account_report& report);

    /// Has the members record that a target leaves; \p done is called once, when the departure is
    /// durable on a quorum. Repeats the request until then.
    void record_departure(const target_departure& departure, std::function<void()> done);

    /// Asks the members whether a departure is recorded that covers \p departure; \p done is called
    /// once with the answer. Repeats the request until then. A later call replaces one that is not
    /// answered yet, whose \p done is not called.
    void check_departure(const target_departure& departure, std::function<void(bool)> done);

    /// Proposes a policy change; \p done is called once with the outcome. The process must be a
    /// member.
    void propose_change(const policy_change& change, change_callback done);

    /// Proposes a new route document; \p done is called once with the outcome. The process must be
    /// a member.
    void propose_change(const document_change& change, change_callback done);

    /// Reads the route document in force; \p done is called once, with the latest document or the
    /// reason why it could not be read. The process must be a member.
    void read_document(document_callback done);

    /// Returns whether some member replied recently enough with a quorum confirmation age within
    /// the limit. The quorum confirmation age is the time since raft_core::quorum_confirmed_at() on
    /// that member.
    bool is_fresh() const { return subscriber_.is_fresh(loop_.now().now); }

    /// Sends the last account report to the selected members, hands over leadership if this member
    /// leads, and then calls \p done.
    void stop(std::function<void()> done);

    /// Returns the decision logic of the member, or nullptr if the process is not a member.
    const control_core* member_core() const { return core_.get(); }

    /// Returns the state of the subscription and of the member for operators.
    nlohmann::json state() const;

private:
    void on_subscriber_tick();
    void on_member_tick();
    void execute(const subscriber_output& output);
    /// Sends the requests about departures that are due.
    void send_departures();
    void log_subscription_changes();
    void log_role_changes();
    void log_waiting_joins();
    void update_metrics();
    void send_account_report(const account_report& report, const std::string& member,
                             std::function<void()> done);
    void handle(const control_event& event);
    void execute(const send_consensus& action);
    void execute(const answer_poll& action);
    void execute(const send_member_sync& action);
    void execute(const answer_member_sync& action);
    void execute(const send_account_copies& action);
    void execute(const answer_account_copies& action);
    void execute(const answer_departure& action);
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
    departure_client departures_;
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
    stored_member stored_member_;
    gauge_family metrics_;
    instant metrics_updated_at_;
    dependency_log disk_status_log_{"member-disk"};
    dependency_log account_flush_status_log_{"account-book"};
    // Values in the last log line of each kind; a new line is written when one of them changes.
    std::vector<std::string> logged_polled_members_;
    bool logged_fresh_ = false;
    raft_role logged_role_ = raft_role::follower;
    std::size_t logged_member_count_ = 0;
    log_term logged_term_;
    std::vector<std::string> logged_waiting_joins_;
    std::uint64_t polls_sent_ = 0;
    std::uint64_t poll_bytes_sent_ = 0;
    std::uint64_t poll_bytes_received_ = 0;
};

} // namespace fescuedyke

#endif
