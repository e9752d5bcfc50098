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
/// Measures goodput, wasted work and recovery time of call chains under overload. It runs under
/// virtual time, so the same seed gives the same figures.

namespace {

using namespace fescuedyke;
using world::client_request;
using world::simulation;
using world::site_options;
namespace options = boost::program_options;

constexpr int sites_per_service = 3;
constexpr int bottleneck_slots = 10;
constexpr millis bottleneck_service_time{20};
constexpr int upstream_slots = 400;
constexpr millis upstream_service_time{2};

/// Root requests that the deepest service can answer per second.
constexpr double capacity_per_second = sites_per_service * bottleneck_slots * 1000.0 / 20.0;

constexpr const char* policies[] = {
    "policy: lookups\nowner: inkwell\n"
    "govern: {class: low, idempotent: true, deadline: 1s, retries: 2}\n",
    "policy: bookings\nowner: inkwell\norder: 1\n"
    "select: {request: [{label: operation, equals: booking}]}\n"
    "govern: {class: critical, idempotent: true, deadline: 1s, retries: 2}\n"};

/// An overload control to measure, described by the settings of the nodes and targets.
struct control_variant {
    const char* name;
    bool refuse_early;
    bool preemption;
    bool redraw_subpriority;
    /// Slots that the target announces; 0 for the true number. With unlimited_slots the node
    /// limits no call.
    int announced_slots;
    std::size_t target_queue;
};

constexpr int unlimited_slots = 1'000'000;

constexpr control_variant variants[] = {
    {"fescuedyke", true, true, false, 0, 0},
    {"none", false, false, false, unlimited_slots, 1'000'000},
    {"fixed-fifo", false, false, false, unlimited_slots, 10},
    {"per-hop", false, false, true, 0, 0},
};

/// Adds a chain of \p depth services, each of which calls the next; the last one is the bottleneck.
void add_chain(simulation& sim, const control_variant& variant, int depth)
{
    for (int level = 0; level < depth; ++level) {
        for (int i = 0; i < sites_per_service; ++i) {
            site_options s;
            const bool is_bottleneck = level + 1 == depth;
            s.service = "s" + std::to_string(level);
            s.name = s.service + "-" + std::to_string(i);
            s.slots = is_bottleneck ? bottleneck_slots : upstream_slots;
            s.service_time = is_bottleneck ? bottleneck_service_time : upstream_service_time;
            s.announced_slots = variant.announced_slots;
            s.queue = variant.target_queue;
            if (!is_bottleneck) {
                s.downstream_services = {"s" + std::to_string(level + 1)};
            }
            sim.add_site(s);
        }
    }
    sim.set_policies({std::begin(policies), std::end(policies)});
    sim.activate();
}

std::unique_ptr<simulation> make_simulation(const control_variant& variant, int depth,
                                            std::uint64_t seed)
{
    auto sim = std::make_unique<simulation>(seed, [&variant](node_settings& n) {
        n.refuse_early = variant.refuse_early;
        n.preemption = variant.preemption;
    });
    if (variant.redraw_subpriority) {
        sim->redraw_subpriority();
    }
    add_chain(*sim, variant, depth);
    return sim;
}

/// Statistics of the root requests.
struct root_stats {
    std::vector<std::int64_t> answer_times_ms;
    std::set<std::string> answered_tags;
    std::uint64_t sent = 0;
    std::uint64_t bookings_sent = 0;
    std::uint64_t bookings_answered = 0;
};

/// Sends root requests and repeats each one that fails, up to a number of retries.
class client_load {
public:
    client_load(simulation& sim, int retries) : sim_(sim), retries_(retries) {}

    /// Schedules \p rate root requests per second for \p duration; one in ten is a booking.
    void send_at_rate(double rate, millis duration)
    {
        const auto count =
            static_cast<std::int64_t>(rate * static_cast<double>(duration.count()) / 1000);
        for (std::int64_t i = 0; i < count; ++i) {
            const millis when(duration.count() * i / count);
            sim_.schedule(when, [this] { send_root(next_++, 0); });
        }
    }

    const root_stats& result() const { return stats_; }

private:
    void send_root(std::uint64_t number, int attempt)
    {
        const bool booking = number % 10 == 0;
        client_request r;
        r.site = "s0-" + std::to_string(number % sites_per_service);
        r.service = "s0";
        r.labels = booking ? "operation=booking" : "";
        r.tag = std::to_string(number) + "." + std::to_string(attempt);
        if (attempt == 0) {
            ++stats_.sent;
            stats_.bookings_sent += booking ? 1 : 0;
        }
        sim_.send(r, [this, number, attempt, booking, tag = r.tag](const outcome& o,
                                                                   const http_response& a) {
            if (o.kind == outcome_kind::answered && a.status == 200) {
                stats_.answer_times_ms.push_back(sim_.now().since_origin());
                stats_.answered_tags.insert(tag);
                stats_.bookings_answered += booking ? 1 : 0;
                return;
            }
            if (attempt < retries_) {
                sim_.schedule(millis(1),
                              [this, number, attempt] { send_root(number, attempt + 1); });
            }
        });
    }

    simulation& sim_;
    int retries_;
    std::uint64_t next_ = 0;
    root_stats stats_;
};

/// Returns the root requests answered per second between \p from and \p to.
double goodput(const root_stats& stats, instant from, instant to)
{
    const auto count = std::count_if(
        stats.answer_times_ms.begin(), stats.answer_times_ms.end(),
        [&](std::int64_t at) { return at >= from.since_origin() && at < to.since_origin(); });
    return static_cast<double>(count) * 1000.0 / static_cast<double>((to - from).count());
}

/// Returns the share of slot time that was spent on root requests that failed.
double wasted_share(const simulation& sim, const root_stats& stats)
{
    double total = 0;
    double wasted = 0;
    for (const world::run_entry& run : sim.runs()) {
        const auto time = static_cast<double>((run.ended - run.began).count());
        total += time;
        wasted += stats.answered_tags.count(run.tag) == 0 ? time : 0;
    }
    return total == 0 ? 0 : wasted / total;
}

void measure_load(const control_variant& variant, int depth, double load_factor, int retries,
                  std::uint64_t seed)
{
    const auto sim = make_simulation(variant, depth, seed);
    client_load load(*sim, retries);
    const instant begin = sim->now();
    load.send_at_rate(capacity_per_second * load_factor, millis(8000));
    sim->run_for(millis(12'000));
    const root_stats& stats = load.result();
    const double answer_rate = goodput(stats, begin + millis(2000), begin + millis(8000));
    const double max_rate = capacity_per_second * std::min(1.0, load_factor);
    std::printf(
        "%-11s depth %2d demand %.1fx retries %2d: goodput %6.1f/s (%5.1f%%) wasted %5.1f%% "
        "bookings %5.1f%% calls/root %.2f\n",
        variant.name, depth, load_factor, retries, answer_rate, 100 * answer_rate / max_rate,
        100 * wasted_share(*sim, stats),
        100.0 * static_cast<double>(stats.bookings_answered) /
            static_cast<double>(std::max<std::uint64_t>(stats.bookings_sent, 1)),
        static_cast<double>(sim->dispatch_count()) / static_cast<double>(stats.sent * depth));
}

/// Makes the deepest service five times slower for 20 s while demand triples and clients retry up
/// to ten times at once. Measures the time until goodput is back at 95 % of its level before.
void measure_recovery(const control_variant& variant, int depth, std::uint64_t seed)
{
    constexpr double baseline_factor = 0.7;
    const millis baseline_duration(5000);
    const millis overload_duration(20'000);
    const millis recovery_duration(20'000);
    const auto sim = make_simulation(variant, depth, seed);
    client_load load(*sim, 10);
    const instant begin = sim->now();
    load.send_at_rate(capacity_per_second * baseline_factor, baseline_duration);
    sim->run_for(baseline_duration);
    const std::string bottleneck = "s" + std::to_string(depth - 1);
    sim->set_service_time(bottleneck, bottleneck_service_time * 5);
    load.send_at_rate(capacity_per_second * baseline_factor * 3, overload_duration);
    sim->run_for(overload_duration);
    sim->set_service_time(bottleneck, bottleneck_service_time);
    load.send_at_rate(capacity_per_second * baseline_factor, recovery_duration);
    sim->run_for(recovery_duration);
    const root_stats& stats = load.result();
    const double baseline_rate = goodput(stats, begin + millis(1000), begin + baseline_duration);
    const double overload_rate = goodput(stats, begin + baseline_duration + millis(1000),
                                         begin + baseline_duration + overload_duration);
    const instant overload_end = begin + baseline_duration + overload_duration;
    millis recovery_time = recovery_duration;
    for (millis m(0); m < recovery_duration - millis(1000); m += millis(100)) {
        if (goodput(stats, overload_end + m, overload_end + m + millis(500)) >=
            0.95 * baseline_rate) {
            recovery_time = m;
            break;
        }
    }
    std::printf(
        "%-11s depth %2d: before %6.1f/s, during %6.1f/s (%5.1f%% of %.0f), recovered after "
        "%lld ms, bookings %5.1f%%\n",
        variant.name, depth, baseline_rate, overload_rate,
        100 * overload_rate / (capacity_per_second / 5), capacity_per_second / 5,
        static_cast<long long>(recovery_time.count()),
        100.0 * static_cast<double>(stats.bookings_answered) /
            static_cast<double>(stats.bookings_sent));
}

} // namespace

int main(int argc, char** argv)
{
    std::string scenario = "load";
    std::string variant_name;
    std::vector<int> depths = {1, 4, 10, 19};
    std::vector<double> load_factors = {1, 2, 4};
    int retries = 0;
    std::uint64_t seed = 1;
    options::options_description description("overload_bench");
    auto add = description.add_options();
    add("what", options::value(&scenario), "load or recovery");
    add("way", options::value(&variant_name), "only the overload control of this name");
    add("depth", options::value(&depths)->multitoken(), "depths of the chain");
    add("demand", options::value(&load_factors)->multitoken(), "demand as a multiple of capacity");
    add("client-retries", options::value(&retries), "immediate retries per request");
    add("seed", options::value(&seed), "seed of the random numbers");
    if (!fescuedyke::parse_command_line(argc, argv, description)) {
        return fescuedyke::usage_exit_code;
    }
    std::printf("seed %llu, capacity %.0f roots/s\n", static_cast<unsigned long long>(seed),
                capacity_per_second);
    for (const int depth : depths) {
        for (const control_variant& variant : variants) {
            if (!variant_name.empty() && variant_name != variant.name) {
                continue;
            }
            if (scenario == "recovery") {
                measure_recovery(variant, depth, seed);
                continue;
            }
            for (const double load_factor : load_factors) {
                measure_load(variant, depth, load_factor, retries, seed);
            }
        }
    }
    return 0;
}
