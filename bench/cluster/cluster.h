#ifndef FESCUEDYKE_BENCH_CLUSTER_H
#define FESCUEDYKE_BENCH_CLUSTER_H

#include "cluster/fake_disk.h"

#include "fescuedyke/control/control_core.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Simulates a control group: control cores with fake disks and fake links under virtual time.
/// After every event it checks that no term has two leaders and that no log index has two
/// different committed entries.

namespace fescuedyke::cluster {

/// Faults of the links between members; each probability is a percentage of the messages.
struct link_faults {
    int loss_percent = 0;
    int duplicate_percent = 0;
    /// Upper bound of the random extra delay of a message; it reorders messages.
    millis max_jitter{0};
};

class control_cluster {
public:
    control_cluster(int members, std::uint64_t seed, const control_settings& settings = {});

    /// Delivers messages and ticks for \p time of virtual time.
    void run_for(millis time);
    /// Runs until \p condition holds. Returns false if it does not hold within \p timeout.
    bool run_until(millis timeout, const std::function<bool()>& condition);

    /// Returns the member that holds the leader lease, or std::nullopt.
    std::optional<std::string> leader() const;
    control_core& core(const std::string& name) { return *members_.at(name).core; }
    bool is_up(const std::string& name) const { return members_.at(name).core != nullptr; }
    fake_disk& disk(const std::string& name) { return members_.at(name).disk; }
    std::vector<std::string> names() const;

    /// Proposes \p change at the member \p at and returns the request number, the key under which
    /// the answer appears in answers().
    std::uint64_t propose(const std::string& at, const policy_change& change);
    const std::map<std::uint64_t, answer_change>& answers() const { return answers_; }
    /// Sends a node's poll to the member \p at; calls \p done with the reply.
    void poll(const std::string& at, const node_poll& poll,
              const std::function<void(const poll_reply&)>& done);
    /// Delivers a node's account report to the member \p at.
    void deliver_report(const std::string& at, const account_report& report)
    {
        handle(at, account_report_received{report});
    }

    /// Adds and starts an instance that knows only the members \p seeds. \p may_bootstrap tells
    /// whether this is the first start of the whole group. Fails like start().
    absl::Status add_member(const std::string& name, const std::vector<std::string>& seeds,
                            bool may_bootstrap);
    /// Ends the first start of the group: members that start later may not bootstrap it.
    void end_bootstrap();
    /// Sends a request about a departure to the member \p at; the answer appears in
    /// departure_replies() under \p request.
    void send_departure(const std::string& at, std::uint64_t request,
                        const departure_request& message);
    const std::map<std::uint64_t, departure_reply>& departure_replies() const
    {
        return departure_replies_;
    }
    /// Proposes a document change at the member \p at; the answer appears in documents() under
    /// \p request.
    void propose_document(const std::string& at, std::uint64_t request,
                          const document_change& change);
    /// Reads the document at the member \p at; the answer appears in documents() under \p request.
    void read_document(const std::string& at, std::uint64_t request);
    const std::map<std::uint64_t, answer_document>& documents() const { return documents_; }

    /// Ends a step at once when the change \p request is answered, so that a fault can follow
    /// before any other event; std::nullopt lets the steps go on.
    void stop_at_answer(std::optional<std::uint64_t> request) { stop_at_answer_ = request; }
    /// Ends the member's process; its disk is kept.
    void crash(const std::string& name);
    /// Starts the member from its disk. Fails if the disk cannot be read.
    absl::Status start(const std::string& name);
    /// Stops the member from sending and receiving until resume() is called.
    void pause(const std::string& name) { members_.at(name).paused = true; }
    void resume(const std::string& name) { members_.at(name).paused = false; }
    /// Drops all messages from one member to the other, in this direction only.
    void block_link(const std::string& from, const std::string& to)
    {
        blocked_links_.insert({from, to});
    }
    /// Drops all messages between the member and the others.
    void isolate(const std::string& name);
    void unblock_links() { blocked_links_.clear(); }
    void set_faults(const link_faults& faults) { faults_ = faults; }
    /// Lets members run on whose disk refuses a write, as their processes do. By default such a
    /// write counts as a crash.
    void keep_members_with_failed_disks() { keeps_members_with_failed_disks_ = true; }

    /// Describes the last invariant violation; empty if none was found.
    const std::string& violation() const { return violation_; }
    /// Bytes that the member read from its disk at its last start.
    std::size_t bytes_read(const std::string& name) const { return members_.at(name).bytes_read; }
    instant now() const { return now_; }
    random_source& random() { return random_; }

private:
    struct member {
        fake_disk disk;
        std::unique_ptr<member_store> store;
        std::unique_ptr<account_store> accounts;
        std::unique_ptr<control_core> core;
        std::unique_ptr<random_source> random;
        std::uint64_t start_count = 0;
        std::size_t bytes_read = 0;
        bool paused = false;
        bool may_bootstrap = true;
        /// Members that it knows at its start; empty means all members.
        std::vector<std::string> seeds;
    };
    /// Copies of account reports on their way to \p to.
    struct sent_copies {
        std::string from;
        member_id to;
        std::uint64_t number = 0;
    };
    struct queued_message {
        std::string from;
        std::string to;
        control_event event;
    };

    void handle(const std::string& name, const control_event& event);
    void carry_out(const std::string& name, const control_actions& actions);
    void send(const std::string& from, const std::string& to, const control_event& event);
    void check_invariants(const std::string& name);
    std::string member_at(const endpoint& address) const;
    void step();
    bool stops() const { return stop_at_answer_ && answers_.count(*stop_at_answer_) != 0; }

    control_settings settings_;
    random_source random_;
    instant now_{1000};
    std::uint64_t last_epoch_ = 0;
    std::uint64_t next_request_ = 1;
    std::map<std::string, member> members_;
    std::multimap<instant, queued_message> in_flight_;
    std::set<std::pair<std::string, std::string>> blocked_links_;
    link_faults faults_;
    bool keeps_members_with_failed_disks_ = false;
    std::map<std::uint64_t, answer_change> answers_;
    std::optional<std::uint64_t> stop_at_answer_;
    std::map<std::uint64_t, answer_document> documents_;
    std::map<std::uint64_t, departure_reply> departure_replies_;
    std::map<std::uint64_t, std::function<void(const poll_reply&)>> polls_;
    std::map<std::uint64_t, sent_copies> sent_copies_;
    std::map<std::uint64_t, std::string> leader_by_term_;
    std::map<std::uint64_t, std::uint64_t> committed_term_by_index_;
    std::string violation_;
};

/// Returns a change of the policy \p name of the owner inkwell; the policy text contains \p id, so
/// that every change has a different text.
policy_change make_change(const std::string& id, const std::string& name, std::uint64_t based_on);

} // namespace fescuedyke::cluster

#endif
