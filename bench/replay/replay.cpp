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

/// What became of the requests of one load.
struct load_result {
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<std::int64_t> answered_at;
};

class player {
public:
    absl::StatusOr<std::vector<finding>> play(const std::string& text)
    {
        std::istringstream lines(text);
        int number = 0;
        for (std::string line; std::getline(lines, line);) {
            ++number;
            if (line.empty()) {
                continue;
            }
            try {
                take(json::parse(line));
            }
            catch (const std::exception& error) {
                return absl::InvalidArgumentError("line " + std::to_string(number) + ": " +
                                                  error.what());
            }
        }
        return findings_;
    }

private:
    void take(const json& line)
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
            open();
            sim_->run_for(millis(line["run_ms"].get<std::int64_t>()));
            return;
        }
        if (line.contains("expect")) {
            expect(line["expect"]);
            return;
        }
        open();
        sim_->at(millis(line.at("at_ms").get<std::int64_t>()),
                 [this, event = json(line)] { act(event); });
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
        o.calls_on = s.value("calls_on", std::vector<std::string>());
        sim_->add_site(o);
    }

    void open()
    {
        if (!opened_) {
            opened_ = true;
            sim_->set_policies(policies_);
            sim_->open();
            began_ = sim_->now();
        }
    }

    void act(const json& e)
    {
        if (e.contains("load")) {
            start_load(e["load"]);
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
            sim_->cut(e["cut"][0], e["cut"][1]);
        }
        if (e.contains("mend")) {
            sim_->mend(e["mend"][0], e["mend"][1]);
        }
    }

    void start_load(const json& load)
    {
        const std::string name = load.at("name");
        const auto length = load.at("for_ms").get<std::int64_t>();
        const auto count = static_cast<std::int64_t>(load.at("rate").get<double>() *
                                                     static_cast<double>(length) / 1000);
        for (std::int64_t i = 0; i < count; ++i) {
            sim_->at(millis(length * i / count), [this, load, name, i] {
                client_request r;
                const json& sites = load["sites"];
                r.site = sites[static_cast<std::size_t>(i) % sites.size()];
                r.service = load["service"];
                r.method = load.value("method", "GET");
                r.labels = load.value("labels", "");
                r.body_bytes = load.value("body_bytes", std::size_t{0});
                r.key = load.value("keys", false) ? make_uuid7(sim_->wall(), sim_->random()) : "";
                ++results_[name].sent;
                send(name, r, load.value("tries", 1));
            });
        }
    }

    void send(const std::string& name, const client_request& request, int tries)
    {
        sim_->send(request, [this, name, request, tries](const outcome& o, const http_response& a) {
            load_result& result = results_[name];
            const bool good = o.kind == outcome_kind::answered && a.status == 200;
            if (!good && tries > 1) {
                client_request again = request;
                ++again.attempt;
                sim_->at(millis(1), [this, name, again, tries] { send(name, again, tries - 1); });
                return;
            }
            const bool failed_below = o.kind == outcome_kind::answered && !good;
            const std::string what = failed_below ? "failed" : to_string(o.kind);
            ++result.outcomes[what];
            told_[request.key].push_back(o.kind);
            if (good) {
                result.answered_at.push_back((sim_->now() - began_).count());
            }
        });
    }

    void note(const json& stated, double seen, bool holds)
    {
        findings_.push_back({stated.dump(), std::to_string(seen), holds});
    }

    void expect(const json& e)
    {
        if (e.contains("share")) {
            const load_result& r = results_[e["share"]];
            const auto found = r.outcomes.find(e.at("outcome"));
            const double count = found == r.outcomes.end() ? 0 : static_cast<double>(found->second);
            check_range(e, count / static_cast<double>(std::max<std::uint64_t>(r.sent, 1)));
        }
        if (e.contains("rate")) {
            const load_result& r = results_[e["rate"]];
            const auto from = e.at("from_ms").get<std::int64_t>();
            const auto to = e.at("to_ms").get<std::int64_t>();
            const auto count =
                std::count_if(r.answered_at.begin(), r.answered_at.end(),
                              [&](std::int64_t at) { return at >= from && at < to; });
            check_range(e, static_cast<double>(count) * 1000 / static_cast<double>(to - from));
        }
        if (e.contains("promises")) {
            check_promises(e);
        }
    }

    void check_range(const json& e, double seen)
    {
        const double least = e.value("at_least", -1.0);
        const double most = e.value("at_most", 1e18);
        note(e, seen, seen >= least && seen <= most);
    }

    /// No key ran twice, nothing told "not run" had run, and the accounts are conserved.
    void check_promises(const json& e)
    {
        std::map<std::string, int> runs;
        for (const world::run_entry& run : sim_->runs()) {
            ++runs[run.key];
        }
        runs.erase("");
        int broken = 0;
        for (const auto& [key, count] : runs) {
            broken += count > 1 ? 1 : 0;
        }
        for (const auto& [key, kinds] : told_) {
            const bool not_run = kinds.back() == outcome_kind::not_run;
            broken += !key.empty() && not_run && runs.count(key) != 0 ? 1 : 0;
        }
        for (const account_side side : {account_side::served, account_side::sent}) {
            broken += sim_->total(side).is_conserved() ? 0 : 1;
        }
        note(e, broken, broken == 0);
    }

    std::unique_ptr<simulation> sim_ = std::make_unique<simulation>(1);
    bool opened_ = false;
    instant began_;
    std::vector<std::string> policies_;
    std::map<std::string, load_result> results_;
    std::map<std::string, std::vector<outcome_kind>> told_;
    std::vector<finding> findings_;
};

} // namespace

absl::StatusOr<std::vector<finding>> replay_trace(const std::string& text)
{
    return player().play(text);
}

} // namespace fescuedyke::replay
