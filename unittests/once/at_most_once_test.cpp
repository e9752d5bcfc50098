#include "fescuedyke/control/control_state.h"
#include "fescuedyke/control/ownership_planner.h"
#include "world/world.h"

#include "fescuedyke/support/uuid.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace fescuedyke {
namespace {

using world::client_request;
using world::simulation;
using world::site_options;

constexpr const char* fees_policy =
    "policy: fees\nowner: chenab\n"
    "govern: {class: critical, idempotent: false, deadline: 800ms}\n";
constexpr int site_count = 4;
/// The fault of scenario::inject_fault() that ends partitions.
constexpr int heal_fault = 9;

/// A leader without a replicated log. It uses the real ownership planner, and sends the table and
/// the leases to each reachable node after a random delay.
class fake_leader {
public:
    explicit fake_leader(simulation& sim) : sim_(sim), planner_(ownership_settings{})
    {
        planner_.on_elected(sim.now() - millis(10'000));
        sim_.schedule(millis(100), [this] { run_round(); });
    }

    std::set<std::string> unreachable;
    std::set<std::string> draining;
    /// Maximum delay until a node receives its table and lease.
    millis max_delay{5};

    void node_started(const std::string& name, incarnation i) { incarnations_[name] = i; }
    void node_stopped(const std::string& name) { incarnations_.erase(name); }
    /// Replaces the leader. The new one does not know the leases that the former one granted.
    void fail_over()
    {
        planner_.on_elected(sim_.now());
        inactive_until_ = sim_.now() + millis(1000);
    }

private:
    void run_round()
    {
        sim_.schedule(millis(100), [this] { run_round(); });
        if (sim_.now() < inactive_until_) {
            return;
        }
        std::vector<node_record> live;
        for (const auto& [name, i] : incarnations_) {
            if (unreachable.count(name) == 0) {
                live.push_back(record_of(name, i));
                poll_node(name, i);
            }
        }
        if (const auto change = planner_.plan(state_.owners(), live, sim_.now())) {
            state_.apply(*change);
        }
    }

    node_record record_of(const std::string& name, incarnation i) const
    {
        node_record r;
        r.instance = instance_id(name);
        r.node_incarnation = i;
        r.location = {region_name("r1"), zone_name("a")};
        const bool leaving = draining.count(name) != 0;
        r.target = target_announcement{service_name("fees"),
                                       "",
                                       0,
                                       {},
                                       2,
                                       leaving ? target_state::draining : target_state::ready};
        return r;
    }

    /// Polls one node. The lease starts at the time of the poll.
    void poll_node(const std::string& name, incarnation i)
    {
        if (draining.count(name) != 0) {
            return;
        }
        const instant polled_at = sim_.now();
        const auto confirmed = confirmed_.find({name, i.value()});
        const millis lease = planner_.grant_lease(
            instance_id(name), i, confirmed == confirmed_.end() ? 0 : confirmed->second, polled_at);
        const auto table = std::make_shared<bucket_table>(state_.owners());
        const auto bound = static_cast<std::uint64_t>(max_delay.count()) + 1;
        const millis delay(static_cast<std::int64_t>(draw_below(sim_.random(), bound)));
        sim_.schedule(delay, [=] {
            const auto running = incarnations_.find(name);
            if (running == incarnations_.end() || running->second != i) {
                return;
            }
            sim_.handle(name, owners_updated{table});
            sim_.handle(name, lease_renewed{polled_at + lease, table->version});
            confirmed_[{name, i.value()}] = std::max(confirmed_[{name, i.value()}], table->version);
        });
    }

    simulation& sim_;
    control_state state_;
    ownership_planner planner_;
    instant inactive_until_;
    std::map<std::string, incarnation> incarnations_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> confirmed_;
};

std::string site_name(int i)
{
    return "f" + std::to_string(i);
}

/// Outcomes reported to the clients, by key, each with the number of the attempt.
struct client_results {
    std::map<std::string, std::vector<std::pair<int, outcome>>> outcomes;
    std::string mismatched_key;
};

class scenario {
public:
    explicit scenario(std::uint64_t seed) : sim_(seed), leader_(sim_)
    {
        for (int i = 0; i < site_count; ++i) {
            site_options s;
            s.name = site_name(i);
            s.service = "fees";
            s.slots = 2;
            s.service_time = millis(40);
            s.owner = "chenab";
            sim_.add_site(s);
            // Any two clocks differ by at most the maximum clock skew.
            sim_.set_clock_skew(
                s.name, millis(static_cast<std::int64_t>(draw_below(sim_.random(), 501)) - 250));
            leader_.node_started(s.name, incarnation(1));
        }
        sim_.set_policies({fees_policy});
        sim_.publish();
        sim_.run_for(millis(1000));
    }

    void inject_fault(int fault, int site_index, int magnitude)
    {
        const std::string name = site_name(site_index % site_count);
        const std::string other = site_name((site_index + 1 + magnitude) % site_count);
        switch (fault) {
        case 0:
            if (is_up(name)) {
                sim_.crash(name);
                leader_.node_stopped(name);
                down_.insert(name);
            }
            return;
        case 1:
            restart(name);
            return;
        case 2:
            leader_.unreachable.insert(name);
            leader_.unreachable.insert(other);
            return;
        case 3:
            if (name != other) {
                sim_.block_link(name, other);
            }
            return;
        case 4:
            leader_.fail_over();
            return;
        case 5:
            leader_.max_delay = millis(magnitude * 40);
            return;
        case 6:
            if (is_up(name)) {
                sim_.handle(name, target_draining{});
                leader_.draining.insert(name);
            }
            return;
        case 7:
            sim_.set_duplication(magnitude * 5, millis(1 + magnitude * 300));
            return;
        case 8:
            sim_.pause(name, millis(magnitude * 500));
            return;
        default:
            leader_.unreachable.clear();
            for (int i = 0; i < site_count; ++i) {
                for (int j = i + 1; j < site_count; ++j) {
                    sim_.unblock_link(site_name(i), site_name(j));
                }
            }
        }
    }

    /// Sends a request with a new key through one node, or resends an earlier key.
    void send(int site_index, bool resend, int key_age_ms)
    {
        const std::string name = site_name(site_index % site_count);
        if (!is_up(name)) {
            return;
        }
        const bool resends_key = resend && !keys_.empty();
        const wall_time created = sim_.wall() - millis(key_age_ms);
        const std::string key = resends_key ? keys_[draw_below(sim_.random(), keys_.size())]
                                            : make_uuid7(created, sim_.random());
        if (!resends_key) {
            keys_.push_back(key);
        }
        client_request r;
        r.site = name;
        r.service = "fees";
        r.method = "POST";
        r.key = key;
        r.attempt = attempt_counts_[key]++;
        sim_.send(r, [this, key, attempt = r.attempt](const outcome& o, const http_response& a) {
            results_.outcomes[key].emplace_back(attempt, o);
            if (o.kind == outcome_kind::answered && (!a.body || *a.body != key)) {
                results_.mismatched_key = key;
            }
        });
    }

    void run_for(int ms) { sim_.run_for(millis(ms)); }

    void check() const
    {
        std::map<std::string, int> runs;
        for (const world::run_entry& run : sim_.runs()) {
            ++runs[run.key];
        }
        for (const auto& [key, count] : runs) {
            RC_ASSERT(count <= 1);
        }
        RC_ASSERT(results_.mismatched_key.empty());
        for (const auto& [key, outcomes] : results_.outcomes) {
            for (const auto& [attempt, o] : outcomes) {
                RC_ASSERT(o.kind != outcome_kind::answered || runs.count(key) != 0);
                check_not_run(key, attempt, o, runs.count(key) != 0);
            }
        }
        RC_ASSERT(sim_.total(account_side::served).is_conserved());
    }

private:
    /// A "not run" report for an attempt is false if the key ran, unless a later attempt may have
    /// run it.
    void check_not_run(const std::string& key, int attempt, const outcome& o, bool ran) const
    {
        const int last_attempt = attempt_counts_.at(key) - 1;
        RC_ASSERT(o.kind != outcome_kind::not_run || !ran || attempt < last_attempt);
    }

    bool is_up(const std::string& name) const { return down_.count(name) == 0; }

    void restart(const std::string& name)
    {
        if (is_up(name)) {
            sim_.crash(name);
        }
        sim_.restart(name);
        down_.erase(name);
        leader_.draining.erase(name);
        leader_.node_started(name, sim_.core(name).settings().self_incarnation);
        sim_.owners() = {};
        sim_.publish();
    }

    simulation sim_;
    fake_leader leader_;
    std::set<std::string> down_;
    std::vector<std::string> keys_;
    std::map<std::string, int> attempt_counts_;
    client_results results_;
};

RC_GTEST_PROP(at_most_once, no_key_runs_twice_and_not_run_is_never_false_under_faults, ())
{
    scenario s(*rc::gen::arbitrary<std::uint32_t>());
    const int steps = *rc::gen::inRange(1, 25);
    for (int i = 0; i < steps; ++i) {
        if (*rc::gen::inRange(0, 3) == 0) {
            s.inject_fault(*rc::gen::inRange(0, 11), *rc::gen::inRange(0, site_count),
                           *rc::gen::inRange(0, 10));
        }
        const int sends = *rc::gen::inRange(1, 6);
        for (int j = 0; j < sends; ++j) {
            s.send(*rc::gen::inRange(0, site_count), *rc::gen::inRange(0, 2) == 0,
                   *rc::gen::inRange(-250, 250));
        }
        s.run_for(*rc::gen::element(1, 10, 45, 100, 700, 1100, 4000));
    }
    s.inject_fault(heal_fault, 0, 0);
    s.run_for(5000);
    s.check();
}

} // namespace
} // namespace fescuedyke
