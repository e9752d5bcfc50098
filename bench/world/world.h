#ifndef FESCUEDYKE_BENCH_WORLD_H
#define FESCUEDYKE_BENCH_WORLD_H

#include "fescuedyke/node/node_core.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// \file
/// Simulates node cores with fake targets and fake links under virtual time. There is no control
/// group: the simulation passes membership and ownership to the nodes.

namespace fescuedyke::world {

/// Options of a site, which is a target together with its node.
struct site_options {
    std::string name;
    std::string service;
    int slots = 4;
    /// Slots that the target announces to its node; 0 for the true number.
    int announced_slots = 0;
    /// Length of the target's FIFO queue for calls beyond its slots; it sheds further calls.
    std::size_t queue = 0;
    /// Service time of one call, without the calls it makes.
    millis service_time{10};
    /// Services that every run calls, one after the other.
    std::vector<std::string> downstream_services;
    std::string region = "r1";
    std::string zone = "a";
    std::string owner = "inkwell";
};

struct client_request {
    std::string site;
    std::string service;
    std::string method = "GET";
    std::string labels;
    std::string key;
    int attempt = 0;
    millis timeout{0};
    std::size_t body_bytes = 0;
    /// Identifies the root request; all calls of its call tree carry it, and their runs record it.
    std::string tag;
};

/// One execution of a call at a target.
struct run_entry {
    std::string service;
    std::string key;
    std::string tag;
    instant began;
    instant ended;
    bool completed = false;
};

class simulation {
public:
    using outcome_callback = std::function<void(const outcome&, const http_response&)>;
    using settings_adjuster = std::function<void(node_settings&)>;

    /// \p adjust_settings changes the settings of each node before it starts.
    explicit simulation(std::uint64_t seed, settings_adjuster adjust_settings = {});
    ~simulation();

    void add_site(const site_options& options);
    /// Sets the policies that publish() puts in force in all nodes. Throws std::invalid_argument
    /// if a text is not a valid policy.
    void set_policies(const std::vector<std::string>& yaml);
    /// Distributes the buckets of each service round-robin over its sites, calls publish(), and
    /// grants every node a lease that does not expire.
    void activate();

    /// Sends \p request to the node of its site; calls \p done once with the outcome, or never if
    /// that node crashes first.
    void send(const client_request& request, outcome_callback done);
    /// Runs all work that is due within \p time of virtual time.
    void run_for(millis time);
    /// Runs \p work after \p delay of virtual time.
    void schedule(millis delay, std::function<void()> work);

    instant now() const { return now_; }
    wall_time wall() const { return wall_time(wall_clock_start_ms + now_.since_origin()); }
    random_source& random() { return random_; }
    node_core& core(const std::string& site);

    /// From now on, calls draw a new subpriority at every hop.
    void redraw_subpriority() { redraw_subpriority_ = true; }
    void set_service_time(const std::string& service, millis time);
    void handle(const std::string& site, const node_event& event);
    /// Drops every message that the two sites send to each other from now on; neither is notified.
    void block_link(const std::string& a, const std::string& b)
    {
        blocked_links_.insert(ordered_pair(a, b));
    }
    void unblock_link(const std::string& a, const std::string& b)
    {
        blocked_links_.erase(ordered_pair(a, b));
    }
    /// Sets the offset of the wall clock of a site's node.
    void set_clock_skew(const std::string& name, millis skew) { sites_.at(name).clock_skew = skew; }
    /// Delivers \p percent of the calls between nodes twice; the duplicate arrives within
    /// \p max_delay, whether or not the link is blocked.
    void set_duplication(int percent, millis max_delay)
    {
        duplicate_percent_ = percent;
        max_duplicate_delay_ = max_delay;
    }
    /// Ends the process of a node, which loses all its state; open streams to it break.
    void crash(const std::string& site);
    /// Restarts the node of a site as the next incarnation.
    void restart(const std::string& site);
    /// Stops the process of a node for \p length; it handles what arrives meanwhile afterwards. Its
    /// target, and the clocks, go on.
    void pause(const std::string& site, millis length);
    /// Passes the policies, the running sites and the owners() table to every node, and announces
    /// its target to it.
    void publish();
    bucket_table& owners() { return owners_; }
    /// Grants a site's node a lease of \p length.
    void grant_lease(const std::string& site, millis length);

    const std::vector<run_entry>& runs() const { return runs_; }
    std::uint64_t dispatch_count() const { return dispatch_count_; }
    /// Returns the slot time used by all runs that have ended.
    millis slot_time() const { return slot_time_; }
    account_row total(account_side side) const;

    static constexpr std::int64_t wall_clock_start_ms = 1'800'000'000'000;

private:
    struct target_run {
        /// Index of its entry in runs_.
        std::uint64_t run_index = 0;
        std::size_t next_call = 0;
        std::string token;
    };
    struct site {
        site_options options;
        std::uint64_t start_count = 0;
        millis clock_skew;
        std::unique_ptr<random_source> random;
        std::unique_ptr<node_core> core;
        std::map<inbound_id, target_run> running;
        std::vector<dispatch_call> queued;
        std::map<exchange_id, outcome_callback> pending_callers;
        bool paused = false;
        /// Events that arrived while the process is paused, in their order.
        std::vector<node_event> waiting_events;
    };
    /// The stream that carries one attempt of a call between two nodes.
    struct stream {
        std::string from;
        std::string to;
        call_id call;
        int attempt = 0;
    };
    struct scheduled_work {
        instant when;
        std::uint64_t sequence = 0;
        std::function<void()> work;
        bool operator<(const scheduled_work& o) const
        {
            return o.when != when ? o.when < when : o.sequence < sequence;
        }
    };

    static std::pair<std::string, std::string> ordered_pair(const std::string& a,
                                                            const std::string& b)
    {
        return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
    }
    millis link_delay(const std::string& a, const std::string& b) const;
    bool is_blocked(const std::string& a, const std::string& b) const;
    void deliver(const std::string& from, const std::string& to, std::function<void()> work);
    void start_core(site& s);
    void resume(site& s);
    void tick_all();
    void carry_out(site& s, const node_actions& actions);
    void carry_out(site& s, const answer_caller& a);
    void carry_out(site& s, const send_call& a);
    void carry_out(site& s, const cancel_call& a);
    void carry_out(site& s, const dispatch_call& a);
    void carry_out(site& s, const cancel_dispatch& a);
    void carry_out(site& s, const reply_call& a);
    void carry_out(site& s, const hand_over_records& a);
    void start_run(site& s, const dispatch_call& a);
    void call_next_service(const std::string& name, inbound_id call);
    /// Releases the slot of the run and answers the node with \p status.
    void complete_run(site& s, inbound_id call, int status);
    /// Records the end of the run, releases its slot and starts the next queued call.
    void release_slot(site& s, inbound_id call, bool completed);

    settings_adjuster adjust_settings_;
    random_source random_;
    instant now_{1000};
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_exchange_ = 1;
    std::uint64_t dispatch_count_ = 0;
    millis slot_time_;
    std::priority_queue<scheduled_work> scheduled_;
    std::map<std::string, site> sites_;
    std::map<std::uint64_t, stream> streams_;
    std::map<std::pair<std::uint64_t, int>, std::uint64_t> stream_ids_;
    std::set<std::pair<std::string, std::string>> blocked_links_;
    std::vector<run_entry> runs_;
    bucket_table owners_;
    std::shared_ptr<const policy_set> policies_;
    std::uint64_t view_version_ = 0;
    bool redraw_subpriority_ = false;
    int duplicate_percent_ = 0;
    millis max_duplicate_delay_;
};

} // namespace fescuedyke::world

#endif
