#ifndef FESCUEDYKE_CONTROL_CONTROL_CORE_H
#define FESCUEDYKE_CONTROL_CONTROL_CORE_H

#include "fescuedyke/consensus/raft_core.h"
#include "fescuedyke/control/account_copier.h"
#include "fescuedyke/control/account_store.h"
#include "fescuedyke/control/control_state.h"
#include "fescuedyke/control/member_store.h"
#include "fescuedyke/control/messages.h"
#include "fescuedyke/control/ownership_planner.h"
#include "fescuedyke/membership/lease_table.h"
#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Decision logic of a control member. It opens no sockets, starts no threads and reads no clock;
/// it accesses the disk through an interface passed to it.

namespace fescuedyke {

struct control_settings {
    raft_settings raft;
    membership_settings membership;
    ownership_settings ownership;
    account_store_settings accounts;
    account_copier_settings account_copies;
    /// Number of applied log entries after which a snapshot is taken.
    std::size_t entries_per_snapshot = 256;
    millis member_sync_period{250};
    millis account_flush_period{1000};
    /// Interval at which the leader checks for buckets that need another owner.
    millis plan_period{200};
    /// An operator's change that is not committed within this time is answered with
    /// change_outcome::unknown. Also applies to reads of the route document.
    millis change_timeout{5000};
    /// Whether buckets of idempotency keys are assigned to owners.
    bool assigns_keys = true;
    /// Interval between retries of a failed disk write.
    millis disk_retry_period{200};
};

/// Identifies a request that an adapter has not answered yet.
using request_id = strong<struct request_id_tag, std::uint64_t>;

/// A Raft message was received.
struct consensus_received {
    consensus_message message;
};

struct poll_received {
    request_id request;
    node_poll poll;
};

struct member_sync_received {
    request_id request;
    member_sync sync;
};

/// Another member replied to a send_member_sync action.
struct member_sync_reply_received {
    member_sync sync;
};

struct account_report_received {
    account_report report;
};

/// Another member sent copies of account reports.
struct account_copies_received {
    request_id request;
    account_copies copies;
};

/// Another member has stored the copies of a send_account_copies action.
struct account_copies_stored {
    member_id member;
    /// account_copies::number of the message.
    std::uint64_t number = 0;
};

struct policy_change_requested {
    request_id request;
    policy_change change;
};

struct document_change_requested {
    request_id request;
    document_change change;
};

/// A node reports that its target leaves, or asks whether it has left.
struct departure_received {
    request_id request;
    departure_request message;
};

/// An operator reads the active route document. The read is linearizable: it is answered only
/// after a quorum has confirmed that this member leads.
struct document_read_requested {
    request_id request;
};

struct control_tick {};

/// The process is shutting down gracefully.
struct control_stopping {};

using control_event =
    std::variant<consensus_received, poll_received, member_sync_received,
                 member_sync_reply_received, account_report_received, account_copies_received,
                 account_copies_stored, policy_change_requested, document_change_requested,
                 departure_received, document_read_requested, control_tick, control_stopping>;

struct send_consensus {
    endpoint address;
    consensus_message message;
};

struct answer_poll {
    request_id request;
    poll_reply reply;
};

struct send_member_sync {
    endpoint address;
    member_sync sync;
};

struct answer_member_sync {
    request_id request;
    member_sync sync;
};

struct send_account_copies {
    endpoint address;
    member_id member;
    account_copies copies;
};

struct answer_account_copies {
    request_id request;
    account_copies_reply reply;
};

/// How far the configuration has been rolled out to the nodes of one region.
struct region_progress {
    std::uint64_t nodes = 0;
    /// Nodes whose configuration is older than the latest version known to this member.
    std::uint64_t behind = 0;
    /// Lowest configuration version that is active on any of the nodes.
    config_version lowest_version;
};

/// Outcome of an operator's request.
enum class change_outcome : std::uint8_t {
    /// The command is durable on a quorum; every retry gets the same result.
    committed,
    /// This member is not the leader; another member may be.
    not_leader,
    /// The change may or may not have been accepted; it is safe to send it again.
    unknown
};

struct answer_change {
    request_id request;
    change_outcome outcome = change_outcome::unknown;
    change_result result;
    /// Address of the leader's operator API, if the leader is known.
    std::optional<endpoint> leader_api;
};

struct answer_departure {
    request_id request;
    departure_reply reply;
};

/// The active route document, or the reason why it is not returned.
struct answer_document {
    request_id request;
    change_outcome outcome = change_outcome::unknown;
    route_document document;
    std::optional<endpoint> leader_api;
};

using control_action = std::variant<send_consensus, answer_poll, send_member_sync,
                                    answer_member_sync, send_account_copies, answer_account_copies,
                                    answer_departure, answer_change, answer_document>;
using control_actions = std::vector<control_action>;

/// The state machine of a control member: takes events with the time at which they occurred and
/// returns the actions to carry out.
class control_core {
public:
    /// \p stored is what \p store held when it was opened. \p epoch distinguishes this process from
    /// earlier processes of the same member. \p store, \p accounts and \p random must outlive the
    /// core.
    control_core(const control_settings& settings, const member_entry& self,
                 const member_list& initial_members, const stored_member& stored,
                 std::uint64_t epoch, member_store& store, account_store& accounts,
                 random_source& random);

    control_actions handle(const control_event& event, moment at);

    /// Returns OK, or the error that keeps this member from taking part in consensus: a failed disk
    /// write, which is retried, or a snapshot or command that cannot be decoded.
    const absl::Status& disk_status() const { return disk_status_; }

    /// Returns the status of the last attempt to write account reports. Reports that could not be
    /// written are kept in memory and retried; the member keeps taking part in consensus.
    const absl::Status& account_flush_status() const { return account_flush_status_; }

    const raft_core& raft() const { return raft_; }
    const control_state& state() const { return state_; }
    const lease_table& leases() const { return leases_; }
    const account_store& accounts() const { return accounts_; }

    /// Returns the rollout progress of each region, based on the live nodes that this member knows.
    std::map<region_name, region_progress> progress() const;

    /// Returns the time since a quorum last confirmed the leader, as far as this member knows. A
    /// large value means that the state of this member may be stale.
    millis quorum_confirmation_age(instant now) const { return now - raft_.quorum_confirmed_at(); }

    /// Returns the address of the leader's operator API, if the leader is known.
    std::optional<endpoint> leader_api() const;

private:
    struct pending_request {
        request_id request;
        instant received_at;
    };

    void on(const consensus_received& event, moment at);
    void on(const poll_received& event, moment at);
    void on(const member_sync_received& event, moment at);
    void on(const member_sync_reply_received& event, moment at);
    void on(const account_report_received& event, moment at);
    void on(const account_copies_received& event, moment at);
    void on(const account_copies_stored& event, moment at);
    void on(const policy_change_requested& event, moment at);
    void on(const document_change_requested& event, moment at);
    void on(const departure_received& event, moment at);
    void on(const document_read_requested& event, moment at);
    void on(const control_tick& event, moment at);
    void on(const control_stopping& event, moment at);

    template <class Change>
    void propose_change(request_id request, const Change& change, instant now);
    template <class Change> void apply_change(const Change& change);
    void answer_pending_reads(instant now);
    /// Returns whether this member leads and has applied all that any leader has committed.
    bool knows_all_commits(instant now) const;
    departure_reply make_departure_reply(bool decided, bool departed) const;
    void answer_recorded_departures();
    void time_out_departures(instant now);
    bool persist(const raft_output& output, instant now);
    void run_raft(instant now);
    void restore(const snapshot& base);
    void apply(const log_entry& entry, instant now);
    void take_snapshot();
    void update_leadership(instant now);
    void plan_owners(instant now);
    void sync_members(instant now);
    void time_out_changes(instant now);
    void fail_pending_changes(change_outcome outcome);
    bool grants_leases(instant now) const;
    poll_reply make_poll_reply(const node_poll& poll, instant now);
    member_sync make_sync(const std::string& to) const;
    void apply_sync(const member_sync& sync, instant now);
    owner_delta owners_since(std::uint64_t known) const;

    control_settings settings_;
    member_entry self_;
    member_store& store_;
    account_store& accounts_;
    account_copier account_copier_;
    raft_core raft_;
    control_state state_;
    lease_table leases_;
    ownership_planner planner_;
    absl::Status disk_status_;
    control_actions actions_;
    /// Requests waiting for a change that this member proposed, by change id.
    std::map<std::string, std::vector<pending_request>> pending_changes_;
    /// Reads waiting for a quorum to confirm that this member was still the leader after the read
    /// was received.
    std::vector<pending_request> pending_reads_;
    struct pending_departure {
        pending_request request;
        target_departure departure;
    };
    /// Departures that this member proposed and that are not recorded yet.
    std::vector<pending_departure> pending_departures_;
    /// Output that could not be written to disk and will be retried.
    std::optional<raft_output> unpersisted_output_;
    instant persist_retry_at_;
    /// Log index of a proposed owner change that is not applied yet.
    std::optional<log_index> pending_owner_change_;
    log_index applied_;
    /// Index of the entry that this member appended when it last became the leader.
    log_index first_own_entry_;
    absl::Status account_flush_status_;
    bool was_leader_ = false;
    bool stopping_ = false;
    instant last_sync_at_;
    instant last_flush_at_;
    instant last_plan_at_;
    /// Version of one member's node records, within one process (epoch) of that member.
    struct sync_position {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
    };
    /// The position up to which each other member has this member's node records.
    std::map<std::string, sync_position> acknowledged_by_;
    /// The position up to which this member has the node records of each other member.
    std::map<std::string, sync_position> received_from_;
};

} // namespace fescuedyke

#endif
