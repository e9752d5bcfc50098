#include "replay/replay.h"

#include "world/world.h"

#include "fescuedyke/support/uuid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>

namespace fescuedyke::replay {

namespace {

using json = nlohmann::json;
using world::client_request;
using world::simulation;

/// Outcomes of the requests of one load.
struct load_result {
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<std::int64_t> answer_times_ms;
};

class trace_player {
public:
    absl::StatusOr<std::vector<expectation_result>> run(const std::string& text)
    {
        std::istringstream lines(text);
        int number = 0;
        for (std::string line; std::getline(lines, line);) {
            ++number;
            if (line.empty()) {
                continue;
            }
            try {
                apply_line(json::parse(line));
            }
            catch (const std::exception& error) {
                return absl::InvalidArgumentError("line " + std::to_string(number) + ": " +
                                                  error.what());
            }
        }
        return results_;
    }

private:
    void apply_line(const json& line)
    {
        if (line.contains("seed")) {
            sim_ = std::make_unique<simulation>(line["seed"].get<std::uint64_t>());
            return;
        }
        if (line.contains("site")) {
            add_site(line["site"]);
            return;
        }
        if (line.contains("policy")) {
            policies_.push_back(line["policy"]);
            return;
        }
        if (line.contains("run_ms")) {
            activate();
            sim_->run_for(millis(line["run_ms"].get<std::int64_t>()));
            return;
        }
        if (line.contains("expect")) {
            check_expectation(line["expect"]);
            return;
        }
        activate();
        sim_->schedule(millis(line.at("at_ms").get<std::int64_t>()),
                       [this, event = json(line)] { apply_event(event); });
    }

    void add_site(const json& s)
    {
        world::site_options o;
        o.name = s.at("name");
        o.service = s.at("service");
        o.owner = s.at("owner");
        o.slots = s.at("slots");
        o.service_time = millis(s.at("time_ms").get<std::int64_t>());
        o.region = s.value("region", "r1");
        o.zone = s.value("zone", "a");
        o.downstream_services = s.value("calls_on", std::vector<std::string>());
        sim_->add_site(o);
    }

    void activate()
    {
        if (!activated_) {
            activated_ = true;
            sim_->set_policies(policies_);
            sim_->activate();
            start_ = sim_->now();
        }
    }

    void apply_event(const json& e)
    {
        if (e.contains("load")) {
            schedule_load(e["load"]);
        }
        if (e.contains("slow")) {
            sim_->set_service_time(e["slow"]["service"],
                                   millis(e["slow"]["time_ms"].get<std::int64_t>()));
        }
        if (e.contains("crash")) {
            sim_->crash(e["crash"]);
        }
        if (e.contains("drain")) {
            sim_->handle(e["drain"], target_draining{});
        }
        if (e.contains("cut")) {
            sim_->block_link(e["cut"][0], e["cut"][1]);
        }
        if (e.contains("mend")) {
            sim_->unblock_link(e["mend"][0], e["mend"][1]);
        }
    }

    void schedule_load(const json& load)
    {
        const std::string name = load.at("name");
        const auto duration_ms = load.at("for_ms").get<std::int64_t>();
        const auto count = static_cast<std::int64_t>(load.at("rate").get<double>() *
                                                     static_cast<double>(duration_ms) / 1000);
        for (std::int64_t i = 0; i < count; ++i) {
            sim_->schedule(millis(duration_ms * i / count), [this, load, name, i] {
                client_request r;
                const json& sites = load["sites"];
                r.site = sites[static_cast<std::size_t>(i) % sites.size()];
                r.service = load["service"];
                r.method = load.value("method", "GET");
                r.labels = load.value("labels", "");
                r.body_bytes = load.value("body_bytes", std::size_t{0});
                r.key = load.value("keys", false) ? make_uuid7(sim_->wall(), sim_->random()) : "";
                ++load_results_[name].sent;
                send(name, r, load.value("tries", 1));
            });
        }
    }

    void send(const std::string& name, const client_request& request, int attempts_left)
    {
        sim_->send(request, [this, name, request, attempts_left](const outcome& o,
                                                                 const http_response& a) {
            load_result& result = load_results_[name];
            const bool succeeded = o.kind == outcome_kind::answered && a.status == 200;
            if (!succeeded && attempts_left > 1) {
                client_request retry = request;
                ++retry.attempt;
                sim_->schedule(millis(1), [this, name, retry, attempts_left] {
                    send(name, retry, attempts_left - 1);
                });
                return;
            }
            const bool failed_downstream = o.kind == outcome_kind::answered && !succeeded;
            const std::string outcome_name = failed_downstream ? "failed" : to_string(o.kind);
            ++result.outcomes[outcome_name];
            outcomes_by_key_[request.key].push_back(o.kind);
            if (succeeded) {
                result.answer_times_ms.push_back((sim_->now() - start_).count());
            }
        });
    }

    void add_result(const json& expectation, double observed, bool holds)
    {
        results_.push_back({expectation.dump(), std::to_string(observed), holds});
    }

    void check_expectation(const json& e)
    {
        if (e.contains("share")) {
            const load_result& r = load_results_[e["share"]];
            const auto entry = r.outcomes.find(e.at("outcome"));
            const double count = entry == r.outcomes.end() ? 0 : static_cast<double>(entry->second);
            check_range(e, count / static_cast<double>(std::max<std::uint64_t>(r.sent, 1)));
        }
        if (e.contains("rate")) {
            const load_result& r = load_results_[e["rate"]];
            const auto from = e.at("from_ms").get<std::int64_t>();
            const auto to = e.at("to_ms").get<std::int64_t>();
            const auto count =
                std::count_if(r.answer_times_ms.begin(), r.answer_times_ms.end(),
                              [&](std::int64_t at) { return at >= from && at < to; });
            check_range(e, static_cast<double>(count) * 1000 / static_cast<double>(to - from));
        }
        if (e.contains("promises")) {
            check_guarantees(e);
        }
    }

    void check_range(const json& e, double observed)
    {
        const double at_least = e.value("at_least", -1.0);
        const double at_most = e.value("at_most", 1e18);
        add_result(e, observed, observed >= at_least && observed <= at_most);
    }

    /// Checks that no key ran twice, that no request with the outcome "not run" had run, and that
    /// the accounts are conserved.
    void check_guarantees(const json& e)
    {
        std::map<std::string, int> runs;
        for (const world::run_entry& run : sim_->runs()) {
            ++runs[run.key];
        }
        runs.erase("");
        int violations = 0;
        for (const auto& [key, count] : runs) {
            violations += count > 1 ? 1 : 0;
        }
        for (const auto& [key, outcomes] : outcomes_by_key_) {
            const bool not_run = outcomes.back() == outcome_kind::not_run;
            violations += !key.empty() && not_run && runs.count(key) != 0 ? 1 : 0;
        }
        for (const account_side side : {account_side::served, account_side::sent}) {
            violations += sim_->total(side).is_conserved() ? 0 : 1;
        }
        add_result(e, violations, violations == 0);
    }

    std::unique_ptr<simulation> sim_ = std::make_unique<simulation>(1);
    bool activated_ = false;
    instant start_;
    std::vector<std::string> policies_;
    std::map<std::string, load_result> load_results_;
    std::map<std::string, std::vector<outcome_kind>> outcomes_by_key_;
    std::vector<expectation_result> results_;
};

} // namespace

absl::StatusOr<std::vector<expectation_result>> replay_trace(const std::string& text)
{
    return trace_player().run(text);
}

} // namespace fescuedyke::replay
