#include "world/world.h"

#include "fescuedyke/support/uuid.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

/// \file
/// Benchmarks the decisions on a call: time and memory allocations of complete calls through two
/// node cores under virtual time. The figures include the fake links and targets.

namespace {

using namespace fescuedyke;

std::atomic<std::uint64_t> allocations{0};

constexpr const char* browsing_policy = "policy: browsing\nowner: inkwell\n"
                                        "govern: {class: low, idempotent: true, retries: 2}\n";
constexpr const char* deposits_policy = "policy: deposits\nowner: inkwell\norder: 1\n"
                                        "select: {request: [{label: operation, equals: deposit}]}\n"
                                        "govern: {class: critical, idempotent: false}\n";

void add_sites(world::simulation& sim, int targets)
{
    for (int i = 0; i < targets; ++i) {
        world::site_options s;
        s.name = "t" + std::to_string(i);
        s.service = "s";
        s.slots = 50;
        s.service_time = millis(1);
        sim.add_site(s);
    }
    world::site_options entry;
    entry.name = "entry";
    entry.service = "front";
    sim.add_site(entry);
    sim.set_policies({browsing_policy, deposits_policy});
    sim.activate();
}

void run_calls(benchmark::State& state, bool keyed)
{
    world::simulation sim(1);
    add_sites(sim, static_cast<int>(state.range(0)));
    std::uint64_t answered = 0;
    world::client_request r;
    r.site = "entry";
    r.service = "s";
    r.labels = keyed ? "operation=deposit" : "";
    const std::uint64_t before = allocations;
    for (auto _ : state) {
        r.key = keyed ? make_uuid7(sim.wall(), sim.random()) : "";
        sim.send(r, [&](const outcome& o, const http_response&) {
            answered += o.kind == outcome_kind::answered ? 1 : 0;
        });
        sim.run_for(millis(5));
    }
    if (answered != static_cast<std::uint64_t>(state.iterations())) {
        state.SkipWithError("a call was not answered");
    }
    state.counters["allocations/call"] = benchmark::Counter(
        static_cast<double>(allocations - before), benchmark::Counter::kAvgIterations);
    state.counters["calls/s"] =
        benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}

void idempotent_call(benchmark::State& state)
{
    run_calls(state, false);
}

void keyed_call(benchmark::State& state)
{
    run_calls(state, true);
}

BENCHMARK(idempotent_call)->Arg(2)->Arg(6)->Arg(27);
BENCHMARK(keyed_call)->Arg(2)->Arg(6)->Arg(27);

} // namespace

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    std::abort();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

BENCHMARK_MAIN();
