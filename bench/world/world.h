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
/// Node cores with fake targets and fake links under virtual time. Membership and ownership are
/// handed to the nodes as they are; nothing here decides anything.

namespace fescuedyke::world {

/// A target and its node.
struct site_options {
    std::string name;
    std::string service;
    int slots = 4;
    /// Slots that the target tells its node; 0 for the true number.
    int announced_slots = 0;
    /// Calls over its slots that the target keeps waiting, first come first served, before it
    /// sheds.
    std::size_t queue = 0;
    /// Service time of one call, without the calls it makes.
    millis service_time{10};
    /// Services that every run calls on to, one after the other.
    std::vector<std::string> downstream_services;
    std::string region = "r1";
    std::string zone = "a";
    std::string owner = "inkwell";
};

/// What a client asks.
struct client_request {
    std::string site;
    std::string service;
    std::string method = "GET";
    std::string labels;
    std::string key;
    int attempt = 0;
    millis timeout{0};
    std::size_t body_bytes = 0;
    /// Goes down the whole tree of calls and stands in its runs.
    std::string tag;
};

/// One run at a target.
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
    using node_tuning = std::function<void(node_settings&)>;

    explicit simulation(std::uint64_t seed, node_tuning tune = {});
    ~simulation();

    void add_site(const site_options& options);
    /// Puts policies in force in all nodes.
    void set_policies(const std::vector<std::string>& yaml);
    /// Announces all targets, shows every node the whole view, and grants all buckets in turn to
    /// the targets of each service under leases without end.
    void activate();

    void send(const client_request& request, outcome_callback done);
    void run_for(millis time);
    void schedule(millis delay, std::function<void()> work);

    instant now() const { return now_; }
    wall_time wall() const { return wall_time(wall_start + now_.since_origin()); }
    random_source& random() { return random_; }
    node_core& core(const std::string& site);

    /// Calls draw a lot of their own at every hop from now on.
    void redraw_subpriority() { redraw_subpriority_ = true; }
    void set_service_time(const std::string& service, millis time);
    void handle(const std::string& site, const node_event& event);
    /// The link loses every message between the two sites from now on, silently.
    void block_link(const std::string& a, const std::string& b)
    {
        blocked_links_.insert(ordered_pair(a, b));
    }
    void unblock_link(const std::string& a, const std::string& b)
    {
        blocked_links_.erase(ordered_pair(a, b));
    }
    /// The wall clock of a site's node is off by this.
    void set_clock_skew(const std::string& name, millis skew) { sites_.at(name).clock_skew = skew; }
    /// Calls between nodes arrive twice for this share of a hundred, the second time late.
    void set_duplication(int percent, millis max_delay)
    {
        duplicate_percent_ = percent;
        max_duplicate_delay_ = max_delay;
    }
    /// Ends the process of a node with all it knew; open streams to it break.
    void crash(const std::string& site);
    /// Starts the node of a site again as the next incarnation.
    void restart(const std::string& site);
    /// Shows every node the sites that are there, and puts \p table in force.
    void publish();
    bucket_table& owners() { return owners_; }
    /// Hands a lease of this length to a site's node.
    void grant_lease(const std::string& site, millis length);

    const std::vector<run_entry>& runs() const { return runs_; }
    std::uint64_t dispatch_count() const { return dispatch_count_; }
    /// Slot time spent at all targets so far.
    millis slot_time() const { return slot_time_; }
    account_row total(account_side side) const;

    static constexpr std::int64_t wall_start = 1'800'000'000'000;

private:
    struct target_run {
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
    };
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
    millis delay(const std::string& a, const std::string& b) const;
    bool is_blocked(const std::string& a, const std::string& b) const;
    void deliver(const std::string& from, const std::string& to, std::function<void()> work);
    void start_core(site& s);
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
    void complete_run(site& s, inbound_id call, int status);
    void release_slot(site& s, inbound_id call, bool completed);

    node_tuning tune_;
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
