#include "fescuedyke/command_line/parse.h"
#include "world/world.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <set>

/// \file
/// Measures goodput, wasted work and recovery of chains of calls under overload, under virtual
/// time: the same seed gives the same figures.

namespace {

using namespace fescuedyke;
using world::client_request;
using world::simulation;
using world::site_options;
namespace options = boost::program_options;

constexpr int sites_per_service = 3;
constexpr int deep_slots = 10;
constexpr millis deep_time{20};
constexpr int middle_slots = 400;
constexpr millis middle_time{2};

/// Roots that the deepest service can answer in a second.
constexpr double capacity = sites_per_service * deep_slots * 1000.0 / 20.0;

constexpr const char* policies[] = {
    "policy: lookups\nowner: inkwell\n"
    "govern: {class: low, idempotent: true, deadline: 1s, retries: 2}\n",
    "policy: bookings\nowner: inkwell\norder: 1\n"
    "select: {request: [{label: operation, equals: booking}]}\n"
    "govern: {class: critical, idempotent: true, deadline: 1s, retries: 2}\n"};

struct control_way {
    const char* name;
    bool refuse_early;
    bool preemption;
    bool redraw_lots;
    /// Slots announced in place of the true ones: the node limits nothing.
    int announced_slots;
    std::size_t target_queue;
};

constexpr int no_limit = 1'000'000;

constexpr control_way ways[] = {
    {"fescuedyke", true, true, false, 0, 0},
    {"none", false, false, false, no_limit, 1'000'000},
    {"fixed-fifo", false, false, false, no_limit, 10},
    {"per-hop", false, false, true, 0, 0},
};

/// A chain of \p depth services below the entry; the last one is the bottleneck.
void build(simulation& sim, const control_way& way, int depth)
{
    for (int level = 0; level < depth; ++level) {
        for (int i = 0; i < sites_per_service; ++i) {
            site_options s;
            const bool last = level + 1 == depth;
            s.service = "s" + std::to_string(level);
            s.name = s.service + "-" + std::to_string(i);
            s.slots = last ? deep_slots : middle_slots;
            s.service_time = last ? deep_time : middle_time;
            s.announced_slots = way.announced_slots;
            s.queue = way.target_queue;
            if (!last) {
                s.calls_on = {"s" + std::to_string(level + 1)};
            }
            sim.add_site(s);
        }
    }
    sim.set_policies({std::begin(policies), std::end(policies)});
    sim.open();
}

std::unique_ptr<simulation> make_world(const control_way& way, int depth, std::uint64_t seed)
{
    auto sim = std::make_unique<simulation>(seed, [&way](node_settings& n) {
        n.refuse_early = way.refuse_early;
        n.preemption = way.preemption;
    });
    if (way.redraw_lots) {
        sim->redraw_lots();
    }
    build(*sim, way, depth);
    return sim;
}

/// Counts roots by when they were answered.
struct tally {
    std::vector<std::int64_t> answered_at;
    std::set<std::string> good_tags;
    std::uint64_t asked = 0;
    std::uint64_t bookings_asked = 0;
    std::uint64_t bookings_answered = 0;
};

class clients {
public:
    clients(simulation& sim, int retries) : sim_(sim), retries_(retries) {}

    /// Asks \p rate roots a second for as long; one in ten is a booking.
    void ask(double rate, millis length)
    {
        const auto count =
            static_cast<std::int64_t>(rate * static_cast<double>(length.count()) / 1000);
        for (std::int64_t i = 0; i < count; ++i) {
            const millis when(length.count() * i / count);
            sim_.at(when, [this] { ask_once(next_++, 0); });
        }
    }

    const tally& result() const { return tally_; }

private:
    void ask_once(std::uint64_t number, int tries)
    {
        const bool booking = number % 10 == 0;
        client_request r;
        r.site = "s0-" + std::to_string(number % sites_per_service);
        r.service = "s0";
        r.labels = booking ? "operation=booking" : "";
        r.tag = std::to_string(number) + "." + std::to_string(tries);
        if (tries == 0) {
            ++tally_.asked;
            tally_.bookings_asked += booking ? 1 : 0;
        }
        sim_.send(r, [this, number, tries, booking, tag = r.tag](const outcome& o,
                                                                 const http_response& a) {
            if (o.kind == outcome_kind::answered && a.status == 200) {
                tally_.answered_at.push_back(sim_.now().since_origin());
                tally_.good_tags.insert(tag);
                tally_.bookings_answered += booking ? 1 : 0;
                return;
            }
            if (tries < retries_) {
                sim_.at(millis(1), [this, number, tries] { ask_once(number, tries + 1); });
            }
        });
    }

    simulation& sim_;
    int retries_;
    std::uint64_t next_ = 0;
    tally tally_;
};

double goodput(const tally& t, instant from, instant to)
{
    const auto count =
        std::count_if(t.answered_at.begin(), t.answered_at.end(), [&](std::int64_t at) {
            return at >= from.since_origin() && at < to.since_origin();
        });
    return static_cast<double>(count) * 1000.0 / static_cast<double>((to - from).count());
}

/// Share of slot time that was spent on roots that failed.
double wasted(const simulation& sim, const tally& t)
{
    double all = 0;
    double bad = 0;
    for (const world::run_entry& run : sim.runs()) {
        const auto time = static_cast<double>((run.ended - run.began).count());
        all += time;
        bad += t.good_tags.count(run.tag) == 0 ? time : 0;
    }
    return all == 0 ? 0 : bad / all;
}

void measure_load(const control_way& way, int depth, double demand, int retries, std::uint64_t seed)
{
    const auto sim = make_world(way, depth, seed);
    clients c(*sim, retries);
    const instant begin = sim->now();
    c.ask(capacity * demand, millis(8000));
    sim->run_for(millis(12'000));
    const tally& t = c.result();
    const double good = goodput(t, begin + millis(2000), begin + millis(8000));
    const double possible = capacity * std::min(1.0, demand);
    std::printf(
        "%-11s depth %2d demand %.1fx retries %2d: goodput %6.1f/s (%5.1f%%) wasted %5.1f%% "
        "bookings %5.1f%% calls/root %.2f\n",
        way.name, depth, demand, retries, good, 100 * good / possible, 100 * wasted(*sim, t),
        100.0 * static_cast<double>(t.bookings_answered) /
            static_cast<double>(std::max<std::uint64_t>(t.bookings_asked, 1)),
        static_cast<double>(sim->dispatched()) / static_cast<double>(t.asked * depth));
}

/// Deep service five times slower for 20 s while demand is three times what it was and clients try
/// again up to ten times at once.
void measure_recovery(const control_way& way, int depth, std::uint64_t seed)
{
    constexpr double before_rate = 0.7;
    const millis calm(5000);
    const millis trouble(20'000);
    const millis after(20'000);
    const auto sim = make_world(way, depth, seed);
    clients c(*sim, 10);
    const instant begin = sim->now();
    c.ask(capacity * before_rate, calm);
    sim->run_for(calm);
    const std::string deep = "s" + std::to_string(depth - 1);
    sim->set_service_time(deep, deep_time * 5);
    c.ask(capacity * before_rate * 3, trouble);
    sim->run_for(trouble);
    sim->set_service_time(deep, deep_time);
    c.ask(capacity * before_rate, after);
    sim->run_for(after);
    const tally& t = c.result();
    const double level = goodput(t, begin + millis(1000), begin + calm);
    const double during = goodput(t, begin + calm + millis(1000), begin + calm + trouble);
    const instant gone = begin + calm + trouble;
    millis recovery = after;
    for (millis m(0); m < after - millis(1000); m += millis(100)) {
        if (goodput(t, gone + m, gone + m + millis(500)) >= 0.95 * level) {
            recovery = m;
            break;
        }
    }
    std::printf(
        "%-11s depth %2d: before %6.1f/s, during %6.1f/s (%5.1f%% of %.0f), recovered after "
        "%lld ms, bookings %5.1f%%\n",
        way.name, depth, level, during, 100 * during / (capacity / 5), capacity / 5,
        static_cast<long long>(recovery.count()),
        100.0 * static_cast<double>(t.bookings_answered) / static_cast<double>(t.bookings_asked));
}

} // namespace

int main(int argc, char** argv)
{
    std::string what = "load";
    std::string only;
    std::vector<int> depths = {1, 4, 10, 19};
    std::vector<double> demands = {1, 2, 4};
    int retries = 0;
    std::uint64_t seed = 1;
    options::options_description description("overload_bench");
    auto add = description.add_options();
    add("what", options::value(&what), "load or recovery");
    add("way", options::value(&only), "only this way of control");
    add("depth", options::value(&depths)->multitoken(), "depths of the chain");
    add("demand", options::value(&demands)->multitoken(), "demand over capacity");
    add("client-retries", options::value(&retries), "tries again of each client, at once");
    add("seed", options::value(&seed), "seed");
    if (!fescuedyke::parse_command_line(argc, argv, description)) {
        return fescuedyke::usage_exit_code;
    }
    std::printf("seed %llu, capacity %.0f roots/s\n", static_cast<unsigned long long>(seed),
                capacity);
    for (const int depth : depths) {
        for (const control_way& way : ways) {
            if (!only.empty() && only != way.name) {
                continue;
            }
            if (what == "recovery") {
                measure_recovery(way, depth, seed);
                continue;
            }
            for (const double demand : demands) {
                measure_load(way, depth, demand, retries, seed);
            }
        }
    }
    return 0;
}
