#ifndef FESCUEDYKE_CONTROL_CONTROL_CORE_H
#define FESCUEDYKE_CONTROL_CONTROL_CORE_H

#include "fescuedyke/consensus/raft_core.h"
#include "fescuedyke/control/account_book.h"
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
/// All decisions of one control member. It opens no socket, starts no thread and reads no clock;
/// its disk is an interface handed to it.

namespace fescuedyke {

struct control_settings {
    raft_settings raft;
    membership_settings membership;
    ownership_settings ownership;
    account_book_settings accounts;
    /// Applied entries after which a snapshot is taken.
    std::size_t snapshot_every = 256;
    millis member_sync_period{250};
    millis account_flush_period{1000};
    /// How often the leader looks for buckets that need another owner.
    millis plan_period{200};
    /// Operators' changes that are neither committed nor lost by then are answered "unknown".
    millis change_timeout{5000};
    /// Whether buckets of keys are given to owners.
    bool assigns_keys = true;
    /// A disk that refused a write is tried again this often.
    millis disk_retry{200};
};

/// Names an open request of an adapter.
using request_id = strong<struct request_id_tag, std::uint64_t>;

/// A message about agreeing on the log came in.
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

/// Another member answered what this one told it.
struct member_sync_answered {
    member_sync sync;
};

struct account_report_received {
    account_report report;
};

struct change_requested {
    request_id request;
    policy_change change;
};

struct document_requested {
    request_id request;
    document_change change;
};

/// The document in force is asked for; it is told only when it is surely the newest.
struct document_read {
    request_id request;
};

struct control_tick {};

/// The process stops as planned.
struct control_stopping {};

using control_event =
    std::variant<consensus_received, poll_received, member_sync_received, member_sync_answered,
                 account_report_received, change_requested, document_requested, document_read,
                 control_tick, control_stopping>;

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

/// How far the nodes of one region have come.
struct region_progress {
    std::uint64_t nodes = 0;
    /// Nodes that have not the latest version the member knows.
    std::uint64_t behind = 0;
    /// Lowest version in force.
    config_version lowest;
};

/// What became of an operator's change.
enum class change_outcome : std::uint8_t {
    /// Durable on a quorum, with the result that every resend will get.
    decided,
    /// This member does not lead; another may.
    not_leader,
    /// May or may not have been accepted; the same change may be sent again.
    unknown
};

struct answer_change {
    request_id request;
    change_outcome outcome = change_outcome::unknown;
    change_result result;
    /// Where the leader answers operators, when it is known.
    std::optional<endpoint> leader_api;
};

/// The document in force, or why it is not told.
struct answer_document {
    request_id request;
    change_outcome outcome = change_outcome::unknown;
    route_document document;
    std::optional<endpoint> leader_api;
};

using control_action = std::variant<send_consensus, answer_poll, send_member_sync,
                                    answer_member_sync, answer_change, answer_document>;
using control_actions = std::vector<control_action>;

/// Takes one event and the time, and returns what is to be done.
class control_core {
public:
    /// \p found is what \p store held when it was opened. \p epoch tells this process from former
    /// ones. The store and the book must outlive the core.
    control_core(const control_settings& settings, const member_entry& self,
                 const member_list& initial_members, const stored_member& found,
                 std::uint64_t epoch, member_store& store, account_book& accounts,
                 random_source& random);

    control_actions handle(const control_event& event, moment at);

    /// Returns why this member's disk can not be relied on. A member takes no part while its disk
    /// refuses writes.
    const absl::Status& disk() const { return disk_; }

    /// Returns why reports of accounts could not be written the last time. They are kept in memory
    /// and tried again; the member takes part all the same.
    const absl::Status& accounts_written() const { return accounts_written_; }

    const raft_core& raft() const { return raft_; }
    const control_state& state() const { return state_; }
    const lease_table& leases() const { return leases_; }
    const account_book& accounts() const { return accounts_; }

    /// Returns how far the nodes of each region have come, by all that members have told.
    std::map<region_name, region_progress> progress() const;

    /// Returns how old the latest confirmation by a quorum is.
    millis beacon_age(instant now) const { return now - raft_.quorum_confirmed_at(); }

    /// Where the leader answers operators, when it is known.
    std::optional<endpoint> leader_api() const;

private:
    struct pending_change {
        request_id request;
        instant since;
    };

    void on(const consensus_received& event, moment at);
    void on(const poll_received& event, moment at);
    void on(const member_sync_received& event, moment at);
    void on(const member_sync_answered& event, moment at);
    void on(const account_report_received& event, moment at);
    void on(const change_requested& event, moment at);
    void on(const document_requested& event, moment at);
    void on(const document_read& event, moment at);
    void on(const control_tick& event, moment at);
    void on(const control_stopping& event, moment at);

    template <class Change>
    void propose_change(request_id request, const Change& change, instant now);
    template <class Change> void apply_change(const Change& change);
    void answer_reads(instant now);
    bool persist(const raft_output& output, instant now);
    void run_raft(instant now);
    void restore(const snapshot& base);
    void apply(const log_entry& entry, instant now);
    void take_snapshot();
    void note_leadership(instant now);
    void plan_owners(instant now);
    void tell_members(instant now);
    void time_out_changes(instant now);
    void fail_pending(change_outcome outcome);
    bool grants_leases(instant now) const;
    poll_reply make_poll_reply(const node_poll& poll, instant now);
    member_sync make_sync(const std::string& to) const;
    void take_over_sync(const member_sync& sync, instant now);
    owner_delta owners_since(std::uint64_t known) const;

    control_settings settings_;
    member_entry self_;
    member_store& store_;
    account_book& accounts_;
    raft_core raft_;
    control_state state_;
    lease_table leases_;
    ownership_planner planner_;
    absl::Status disk_;
    control_actions actions_;
    /// Changes proposed here whose outcome is awaited, by change id.
    std::map<std::string, std::vector<pending_change>> pending_;
    /// Reads that wait until a quorum has confirmed that this member led after they came.
    std::vector<pending_change> reads_;
    /// What the disk refused, to be tried again.
    std::optional<raft_output> unwritten_;
    instant write_again_;
    std::optional<log_index> pending_owner_change_;
    log_index applied_;
    log_index own_first_entry_;
    absl::Status accounts_written_;
    bool led_ = false;
    bool stopping_ = false;
    instant last_sync_;
    instant last_flush_;
    instant last_plan_;
    struct acknowledged {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
    };
    /// What other members know of this one's nodes.
    std::map<std::string, acknowledged> acknowledged_;
    /// What this member knows of the others' nodes.
    std::map<std::string, acknowledged> known_;
};

} // namespace fescuedyke

#endif
