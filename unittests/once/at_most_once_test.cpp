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

constexpr const char* fees = "policy: fees\nowner: chenab\n"
                             "govern: {class: critical, idempotent: false, deadline: 800ms}\n";
constexpr int site_count = 4;

/// A leader without a log: it plans by the real planner and hands the table and the leases to the
/// nodes that it can reach, each after a delay of its own.
class keeper {
public:
    explicit keeper(simulation& sim) : sim_(sim), planner_(ownership_settings{})
    {
        planner_.on_elected(sim.now() - millis(10'000));
        sim_.schedule(millis(100), [this] { round(); });
    }

    std::set<std::string> unreachable;
    std::set<std::string> draining;
    /// Told to the nodes late, by up to this.
    millis most_delay{5};

    void node_started(const std::string& name, incarnation i) { incarnations_[name] = i; }
    void node_gone(const std::string& name) { incarnations_.erase(name); }
    /// A former leader's leases are not known to the next.
    void fail_over()
    {
        planner_.on_elected(sim_.now());
        silent_until_ = sim_.now() + millis(1000);
    }

private:
    void round()
    {
        sim_.schedule(millis(100), [this] { round(); });
        if (sim_.now() < silent_until_) {
            return;
        }
        std::vector<node_record> live;
        for (const auto& [name, i] : incarnations_) {
            if (unreachable.count(name) == 0) {
                live.push_back(record_of(name, i));
                visit(name, i);
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
        r.place = {region_name("r1"), zone_name("a")};
        const bool leaving = draining.count(name) != 0;
        r.target = target_announcement{service_name("fees"),
                                       "",
                                       {},
                                       2,
                                       leaving ? target_state::draining : target_state::ready};
        return r;
    }

    /// One poll of a node: the lease counts from when the node asked.
    void visit(const std::string& name, incarnation i)
    {
        if (draining.count(name) != 0) {
            return;
        }
        const instant asked = sim_.now();
        const auto confirmed = confirmed_.find({name, i.value()});
        const millis lease = planner_.grant_lease(
            instance_id(name), i, confirmed == confirmed_.end() ? 0 : confirmed->second, asked);
        const auto table = std::make_shared<bucket_table>(state_.owners());
        const auto most = static_cast<std::uint64_t>(most_delay.count()) + 1;
        const millis delay(static_cast<std::int64_t>(draw_below(sim_.random(), most)));
        sim_.schedule(delay, [=] {
            const auto now_running = incarnations_.find(name);
            if (now_running == incarnations_.end() || now_running->second != i) {
                return;
            }
            sim_.handle(name, owners_in_force{table});
            sim_.handle(name, lease_renewed{asked + lease, table->version});
            confirmed_[{name, i.value()}] = std::max(confirmed_[{name, i.value()}], table->version);
        });
    }

    simulation& sim_;
    control_state state_;
    ownership_planner planner_;
    instant silent_until_;
    std::map<std::string, incarnation> incarnations_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> confirmed_;
};

std::string site_name(int i)
{
    return "f" + std::to_string(i);
}

/// What the clients were told, by key, each with the try it was about.
struct told {
    std::map<std::string, std::vector<std::pair<int, outcome>>> outcomes;
    std::string mixed;
};

class scenario {
public:
    explicit scenario(std::uint64_t seed) : sim_(seed), keeper_(sim_)
    {
        for (int i = 0; i < site_count; ++i) {
            site_options s;
            s.name = site_name(i);
            s.service = "fees";
            s.slots = 2;
            s.service_time = millis(40);
            s.owner = "chenab";
            sim_.add_site(s);
            // Any two clocks differ by at most the clock error.
            sim_.set_clock_skew(
                s.name, millis(static_cast<std::int64_t>(draw_below(sim_.random(), 501)) - 250));
            keeper_.node_started(s.name, incarnation(1));
        }
        sim_.set_policies({fees});
        sim_.publish();
        sim_.run_for(millis(1000));
    }

    void disturb(int what, int which, int length)
    {
        const std::string name = site_name(which % site_count);
        const std::string other = site_name((which + 1 + length) % site_count);
        switch (what) {
        case 0:
            if (up(name)) {
                sim_.crash(name);
                keeper_.node_gone(name);
                down_.insert(name);
            }
            return;
        case 1:
            restart(name);
            return;
        case 2:
            keeper_.unreachable.insert(name);
            keeper_.unreachable.insert(other);
            return;
        case 3:
            if (name != other) {
                sim_.block_link(name, other);
            }
            return;
        case 4:
            keeper_.fail_over();
            return;
        case 5:
            keeper_.most_delay = millis(length * 40);
            return;
        case 6:
            if (up(name)) {
                sim_.handle(name, target_draining{});
                keeper_.draining.insert(name);
            }
            return;
        case 7:
            sim_.set_duplication(length * 5, millis(1 + length * 300));
            return;
        default:
            keeper_.unreachable.clear();
            for (int i = 0; i < site_count; ++i) {
                for (int j = i + 1; j < site_count; ++j) {
                    sim_.unblock_link(site_name(i), site_name(j));
                }
            }
        }
    }

    /// A client sends a key through one node, or sends an earlier key again through another.
    void send(int which, bool resend, int lag_ms)
    {
        const std::string name = site_name(which % site_count);
        if (!up(name)) {
            return;
        }
        const bool again = resend && !keys_.empty();
        const wall_time created = sim_.wall() - millis(lag_ms);
        const std::string key = again ? keys_[draw_below(sim_.random(), keys_.size())]
                                      : make_uuid7(created, sim_.random());
        if (!again) {
            keys_.push_back(key);
        }
        client_request r;
        r.site = name;
        r.service = "fees";
        r.method = "POST";
        r.key = key;
        r.attempt = tries_[key]++;
        sim_.send(r, [this, key, attempt = r.attempt](const outcome& o, const http_response& a) {
            told_.outcomes[key].emplace_back(attempt, o);
            if (o.kind == outcome_kind::answered && (!a.body || *a.body != key)) {
                told_.mixed = key;
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
        RC_ASSERT(told_.mixed.empty());
        for (const auto& [key, outcomes] : told_.outcomes) {
            for (const auto& [attempt, o] : outcomes) {
                RC_ASSERT(o.kind != outcome_kind::answered || runs.count(key) != 0);
                check_not_run(key, attempt, o, runs.count(key) != 0);
            }
        }
        RC_ASSERT(sim_.total(account_side::served).is_conserved());
    }

private:
    /// "Not run" about a try is false when the key ran, unless a later try of the client ran it.
    void check_not_run(const std::string& key, int attempt, const outcome& o, bool ran) const
    {
        const int last_try = tries_.at(key) - 1;
        RC_ASSERT(o.kind != outcome_kind::not_run || !ran || attempt < last_try);
    }

    bool up(const std::string& name) const { return down_.count(name) == 0; }

    void restart(const std::string& name)
    {
        if (up(name)) {
            sim_.crash(name);
        }
        sim_.restart(name);
        down_.erase(name);
        keeper_.draining.erase(name);
        keeper_.node_started(name, sim_.core(name).settings().self_incarnation);
        sim_.owners() = {};
        sim_.publish();
    }

    simulation sim_;
    keeper keeper_;
    std::set<std::string> down_;
    std::vector<std::string> keys_;
    std::map<std::string, int> tries_;
    told told_;
};

RC_GTEST_PROP(at_most_once, no_key_runs_twice_and_not_run_is_true_whatever_fails, ())
{
    scenario s(*rc::gen::arbitrary<std::uint32_t>());
    const int steps = *rc::gen::inRange(1, 25);
    for (int i = 0; i < steps; ++i) {
        if (*rc::gen::inRange(0, 3) == 0) {
            s.disturb(*rc::gen::inRange(0, 10), *rc::gen::inRange(0, site_count),
                      *rc::gen::inRange(0, 10));
        }
        const int sends = *rc::gen::inRange(1, 6);
        for (int j = 0; j < sends; ++j) {
            s.send(*rc::gen::inRange(0, site_count), *rc::gen::inRange(0, 2) == 0,
                   *rc::gen::inRange(-250, 250));
        }
        s.run_for(*rc::gen::element(1, 10, 45, 100, 700, 1100, 4000));
    }
    s.disturb(8, 0, 0);
    s.run_for(5000);
    s.check();
}

} // namespace
} // namespace fescuedyke
