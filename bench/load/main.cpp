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
    /// Name of the home region put before each key; "-" for keys without a home.
    std::string keys;
    double rate = 50;
    std::int64_t duration_ms = 1000;
    int client_retries = 0;
    std::size_t body_bytes = 0;
    std::string outcomes;
    std::uint64_t seed = 1;
};

std::int64_t micros()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

/// Sends requests at an even rate whatever becomes of earlier ones, and counts the outcomes.
class load {
public:
    explicit load(const load_options& settings)
        : settings_(settings), random_(settings.seed), loop_(clock_), client_(loop_),
          body_(std::make_shared<const std::string>(make_body(settings))), log_(settings.outcomes)
    {
    }

    json run()
    {
        began_ = micros();
        loop_.post([this] { step(); });
        loop_.run();
        std::sort(latencies_.begin(), latencies_.end());
        json result = {{"sent", sent_}, {"outcomes", outcomes_}, {"seed", settings_.seed}};
        if (!latencies_.empty()) {
            result["p50_us"] = latencies_[latencies_.size() / 2];
            result["p99_us"] = latencies_[latencies_.size() * 99 / 100];
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
        std::int64_t sent_at = 0;
    };

    void step()
    {
        const double elapsed = static_cast<double>(micros() - began_) / 1e6;
        const bool over = elapsed * 1000 >= static_cast<double>(settings_.duration_ms);
        const auto due = static_cast<std::uint64_t>(elapsed * settings_.rate);
        while (!over && sent_ < due) {
            ++sent_;
            request_state state;
            if (!settings_.keys.empty()) {
                const std::string uuid = make_uuid7(clock_.read().wall, random_);
                state.key = settings_.keys == "-" ? uuid : settings_.keys + ":" + uuid;
            }
            send(state);
        }
        if (over && open_ == 0) {
            loop_.stop();
            return;
        }
        loop_.run_after(millis(1), [this] { step(); });
    }

    void send(request_state state)
    {
        ++open_;
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
        state.sent_at = micros();
        const endpoint& node = settings_.nodes[next_ % settings_.nodes.size()];
        client_.send(++next_, {node, request, {}, true},
                     [this, state](const target_result& result) { on_result(state, result); });
    }

    /// The stand-in tells the hash of the body that reached it.
    bool arrived_whole(const http_response& answer) const
    {
        const json told = json::parse(*answer.body, nullptr, false);
        return told.is_object() && told.contains("body_hash") &&
               told["body_hash"] == std::hash<std::string>{}(*body_);
    }

    void on_result(request_state state, const target_result& result)
    {
        --open_;
        std::string outcome = "lost";
        if (const auto* answer = std::get_if<http_response>(&result)) {
            const std::string* told = find_header(answer->headers, "fescue-outcome");
            const std::string* reason = find_header(answer->headers, "fescue-reason");
            outcome = told != nullptr ? *told : std::to_string(answer->status);
            outcome += reason != nullptr ? " " + *reason : "";
            if (told != nullptr && *told == "answered" && answer->status != 200) {
                outcome += " " + std::to_string(answer->status);
            }
            if (outcome == "answered" && !arrived_whole(*answer)) {
                outcome = "corrupted";
            }
        }
        if (outcome == "answered" || outcome == "200") {
            latencies_.push_back(micros() - state.sent_at);
        }
        else if (state.attempt < settings_.client_retries) {
            ++state.attempt;
            send(state);
            return;
        }
        ++outcomes_[outcome];
        if (log_.is_open()) {
            log_ << json({{"key", state.key}, {"outcome", outcome}}).dump() << "\n";
        }
    }

    load_options settings_;
    system_clock clock_;
    random_source random_;
    event_loop loop_;
    target_client client_;
    payload body_;
    std::ofstream log_;
    std::int64_t began_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t next_ = 0;
    int open_ = 0;
    std::map<std::string, std::uint64_t> outcomes_;
    std::vector<std::int64_t> latencies_;
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
    add("keys", options::value(&settings.keys), "give each request a key with this home, or -");
    add("rate", options::value(&settings.rate), "requests a second");
    add("duration", options::value(&settings.duration_ms), "milliseconds");
    add("client-retries", options::value(&settings.client_retries), "tries again at once");
    add("body-bytes", options::value(&settings.body_bytes), "size of the body");
    add("outcomes", options::value(&settings.outcomes), "file of JSON lines, one a request");
    add("seed", options::value(&settings.seed), "seed of the keys");
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
    std::cout << load(settings).run().dump() << "\n";
    return 0;
}
