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
/// Control cores with fake disks and fake links under virtual time. After every step it is checked
/// that no term has two leaders and that no two members applied different entries.

namespace fescuedyke::cluster {

/// How the links treat messages, in shares of a hundred.
struct link_faults {
    int lose = 0;
    int repeat = 0;
    /// Extra delay of up to this, which lets messages overtake each other.
    millis jitter{0};
};

class control_cluster {
public:
    control_cluster(int members, std::uint64_t seed, const control_settings& settings = {});

    /// Takes messages, ticks and timers for as long.
    void run_for(millis time);
    bool run_until(millis limit, const std::function<bool()>& condition);

    /// The one member that leads for certain, or nothing.
    std::optional<std::string> leader() const;
    control_core& core(const std::string& name) { return *members_.at(name).core; }
    bool is_up(const std::string& name) const { return members_.at(name).core != nullptr; }
    fake_disk& disk(const std::string& name) { return members_.at(name).disk; }
    std::vector<std::string> names() const;

    /// Proposes at one member; the answer comes to answers().
    std::uint64_t propose(const std::string& at, const policy_change& change);
    const std::map<std::uint64_t, answer_change>& answers() const { return answers_; }
    void poll(const std::string& at, const node_poll& poll,
              const std::function<void(const poll_reply&)>& done);
    /// A node's account comes in at one member.
    void report(const std::string& at, const account_report& report)
    {
        handle(at, account_report_received{report});
    }

    /// Adds an instance that knows only \p seeds; \p founding tells whether this is the first start
    /// of the whole system.
    absl::Status add(const std::string& name, const std::vector<std::string>& seeds, bool founding);
    /// Starts after this are no first starts.
    void founded();
    void propose_document(const std::string& at, std::uint64_t request,
                          const document_change& change);
    void read_document(const std::string& at, std::uint64_t request);
    const std::map<std::uint64_t, answer_document>& documents() const { return documents_; }

    void crash(const std::string& name);
    /// Fails when the disk cannot be read.
    absl::Status start(const std::string& name);
    /// The member neither sends nor takes anything until it goes on.
    void pause(const std::string& name) { members_.at(name).paused = true; }
    void go_on(const std::string& name) { members_.at(name).paused = false; }
    /// Messages from one to the other are lost, in this direction only.
    void cut(const std::string& from, const std::string& to) { cut_.insert({from, to}); }
    void cut_off(const std::string& name);
    void mend() { cut_.clear(); }
    void set_faults(const link_faults& faults) { faults_ = faults; }

    /// What was found wrong; empty while all is well.
    const std::string& violation() const { return violation_; }
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
        std::uint64_t starts = 0;
        std::size_t bytes_read = 0;
        bool paused = false;
        bool founding = true;
        /// What it is told of the others at its start; empty for all.
        std::vector<std::string> seeds;
    };
    struct parcel {
        std::string from;
        std::string to;
        control_event event;
    };

    void handle(const std::string& name, const control_event& event);
    void carry_out(const std::string& name, const control_actions& actions);
    void post(const std::string& from, const std::string& to, const control_event& event);
    void check(const std::string& name);
    std::string name_at(const endpoint& address) const;
    void step();

    control_settings settings_;
    random_source random_;
    instant now_{1000};
    std::uint64_t epochs_ = 0;
    std::uint64_t next_request_ = 1;
    std::map<std::string, member> members_;
    std::multimap<instant, parcel> on_the_way_;
    std::set<std::pair<std::string, std::string>> cut_;
    link_faults faults_;
    std::map<std::uint64_t, answer_change> answers_;
    std::map<std::uint64_t, answer_document> documents_;
    std::map<std::uint64_t, std::function<void(const poll_reply&)>> polls_;
    std::map<std::uint64_t, std::string> leaders_;
    std::map<std::uint64_t, std::uint64_t> committed_terms_;
    std::string violation_;
};

/// A change of the policy \p name of inkwell with a version of its own in the text.
policy_change make_change(const std::string& id, const std::string& name, std::uint64_t based_on);

} // namespace fescuedyke::cluster

#endif
