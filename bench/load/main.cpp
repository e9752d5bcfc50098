#include "fescuedyke/command_line/parse.h"
#include "fescuedyke/node/caller_headers.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/support/clock.h"
#include "fescuedyke/support/uuid.h"
#include "fescuedyke/transport/target_client.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using namespace fescuedyke;
using json = nlohmann::json;

struct load_options {
    std::vector<endpoint> nodes;
    std::string path;
    std::string method = "GET";
    std::string labels;
    /// Home region that prefixes each key; "-" for keys without a home, empty for no keys.
    std::string keys;
    double rate = 50;
    std::int64_t duration_ms = 1000;
    int client_retries = 0;
    std::size_t body_bytes = 0;
    std::string outcomes;
    std::uint64_t seed = 1;
};

std::int64_t now_us()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

/// Open-loop load generator: sends requests at a constant rate, regardless of the outcomes of
/// earlier requests, and counts the outcomes.
class load_generator {
public:
    explicit load_generator(const load_options& settings)
        : settings_(settings), random_(settings.seed), loop_(clock_), client_(loop_),
          body_(std::make_shared<const std::string>(make_body(settings))),
          outcome_log_(settings.outcomes)
    {
    }

    json run()
    {
        start_us_ = now_us();
        loop_.post([this] { send_due_requests(); });
        loop_.run();
        std::sort(latencies_us_.begin(), latencies_us_.end());
        json result = {{"sent", sent_}, {"outcomes", outcomes_}, {"seed", settings_.seed}};
        if (!latencies_us_.empty()) {
            result["p50_us"] = latencies_us_[latencies_us_.size() / 2];
            result["p99_us"] = latencies_us_[latencies_us_.size() * 99 / 100];
        }
        return result;
    }

private:
    static std::string make_body(const load_options& settings)
    {
        random_source random(settings.seed);
        std::string body(settings.body_bytes, '\0');
        std::generate(body.begin(), body.end(), [&] { return static_cast<char>(random()); });
        return body;
    }

    struct request_state {
        std::string key;
        int attempt = 0;
        std::int64_t sent_at_us = 0;
    };

    void send_due_requests()
    {
        const double elapsed_s = static_cast<double>(now_us() - start_us_) / 1e6;
        const bool finished = elapsed_s * 1000 >= static_cast<double>(settings_.duration_ms);
        const auto due_count = static_cast<std::uint64_t>(elapsed_s * settings_.rate);
        while (!finished && sent_ < due_count) {
            ++sent_;
            request_state state;
            if (!settings_.keys.empty()) {
                const std::string uuid = make_uuid7(clock_.read().wall, random_);
                state.key = settings_.keys == "-" ? uuid : settings_.keys + ":" + uuid;
            }
            send(state);
        }
        if (finished && open_requests_ == 0) {
            loop_.stop();
            return;
        }
        loop_.run_after(millis(1), [this] { send_due_requests(); });
    }

    void send(request_state state)
    {
        ++open_requests_;
        auto request = std::make_shared<http_request>();
        request->method = settings_.method;
        request->path = settings_.path;
        request->body = body_;
        if (!settings_.labels.empty()) {
            request->headers.push_back({labels_header, settings_.labels});
        }
        if (!state.key.empty()) {
            request->headers.push_back({key_header, state.key});
            request->headers.push_back({"x-run-key", state.key});
            request->headers.push_back({attempt_header, std::to_string(state.attempt)});
        }
        state.sent_at_us = now_us();
        const endpoint& node = settings_.nodes[send_count_ % settings_.nodes.size()];
        client_.send(++send_count_, {node, request, {}, true},
                     [this, state](const target_result& result) { on_result(state, result); });
    }

    /// Returns whether the body hash in the answer of the stand-in target matches the sent body.
    bool body_arrived_intact(const http_response& response) const
    {
        const json reported = json::parse(*response.body, nullptr, false);
        return reported.is_object() && reported.contains("body_hash") &&
               reported["body_hash"] == std::hash<std::string>{}(*body_);
    }

    void on_result(request_state state, const target_result& result)
    {
        --open_requests_;
        std::string outcome = "lost";
        if (const auto* response = std::get_if<http_response>(&result)) {
            const std::string* reported = find_header(response->headers, "fescue-outcome");
            const std::string* reason = find_header(response->headers, "fescue-reason");
            outcome = reported != nullptr ? *reported : std::to_string(response->status);
            outcome += reason != nullptr ? " " + *reason : "";
            if (reported != nullptr && *reported == "answered" && response->status != 200) {
                outcome += " " + std::to_string(response->status);
            }
            if (outcome == "answered" && !body_arrived_intact(*response)) {
                outcome = "corrupted";
            }
        }
        if (outcome == "answered" || outcome == "200") {
            latencies_us_.push_back(now_us() - state.sent_at_us);
        }
        else if (state.attempt < settings_.client_retries) {
            ++state.attempt;
            send(state);
            return;
        }
        ++outcomes_[outcome];
        if (outcome_log_.is_open()) {
            outcome_log_ << json({{"key", state.key}, {"outcome", outcome}}).dump() << "\n";
        }
    }

    load_options settings_;
    system_clock clock_;
    random_source random_;
    event_loop loop_;
    target_client client_;
    payload body_;
    std::ofstream outcome_log_;
    std::int64_t start_us_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t send_count_ = 0;
    int open_requests_ = 0;
    std::map<std::string, std::uint64_t> outcomes_;
    std::vector<std::int64_t> latencies_us_;
};

} // namespace

int main(int argc, char** argv)
{
    load_options settings;
    std::vector<std::string> nodes;
    options::options_description description("load_driver");
    auto add = description.add_options();
    add("node", options::value(&nodes)->required()->multitoken(), "IP:port of each node");
    add("path", options::value(&settings.path)->required(), "path, such as /call/gallery/x");
    add("method", options::value(&settings.method), "HTTP method");
    add("labels", options::value(&settings.labels), "request labels");
    add("keys", options::value(&settings.keys),
        "give each request a key with this home region, or - for none");
    add("rate", options::value(&settings.rate), "requests per second");
    add("duration", options::value(&settings.duration_ms), "duration of the load in milliseconds");
    add("client-retries", options::value(&settings.client_retries),
        "immediate retries per request");
    add("body-bytes", options::value(&settings.body_bytes), "size of each request body in bytes");
    add("outcomes", options::value(&settings.outcomes),
        "file for the outcomes, one JSON line per request");
    add("seed", options::value(&settings.seed), "seed of the keys and of the body");
    if (!fescuedyke::parse_command_line(argc, argv, description)) {
        return fescuedyke::usage_exit_code;
    }
    for (const std::string& node : nodes) {
        const auto parsed = parse_endpoint(node);
        if (!parsed.ok()) {
            std::cerr << "node: " << parsed.status().message() << "\n";
            return 2;
        }
        settings.nodes.push_back(*parsed);
    }
    std::cout << load_generator(settings).run().dump() << "\n";
    return 0;
}
