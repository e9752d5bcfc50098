#include "fescuedyke/command_line/parse.h"
#include "fescuedyke/node/caller_headers.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/support/clock.h"
#include "fescuedyke/transport/http_server.h"
#include "fescuedyke/transport/target_client.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <pthread.h>
#include <thread>

namespace {

namespace options = boost::program_options;
using namespace fescuedyke;
using json = nlohmann::json;

constexpr millis announce_period{500};
constexpr int unavailable_status = 503;

struct standin_settings {
    std::string service;
    endpoint address;
    /// Where the node is told to send calls.
    endpoint announced;
    endpoint node;
    int slots = 4;
    millis service_time{5};
    millis cold_start{0};
    label_set labels;
    /// Services that every run calls on to, one after the other.
    std::vector<std::string> calls_on;
    std::string run_log;
};

/// A target with slots and a service time. It logs every run, so that anyone can count what truly
/// ran, and sheds what comes over its slots as "not run".
class standin {
public:
    explicit standin(const standin_settings& settings)
        : settings_(settings), loop_(clock_), client_(loop_),
          http_(loop_, {},
                {[this](exchange_id e, const http_request& r) { on_request(e, r); },
                 [this](exchange_id e) { on_gone(e); }}),
          log_(settings.run_log, std::ios::app), started_(clock_.read())
    {
    }

    int run()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        if (const absl::Status started = http_.listen(settings_.address); !started.ok()) {
            std::cerr << started.message() << "\n";
            return 1;
        }
        loop_.post([this] { announce(); });
        std::thread thread([this] { loop_.run(); });
        int signal = 0;
        sigwait(&signals, &signal);
        loop_.post([this] { leave(); });
        thread.join();
        http_.stop_listening();
        return 0;
    }

private:
    struct running {
        std::string token;
        std::string key;
        instant began;
        std::size_t next_call = 0;
        std::uint64_t body_hash = 0;
    };

    void tell_node(const std::string& path, const json& body, std::function<void()> done)
    {
        auto request = std::make_shared<http_request>();
        request->method = "POST";
        request->path = path;
        request->body = std::make_shared<const std::string>(body.dump());
        client_.send(next_id_++, {settings_.node, request, {}, true},
                     [done = std::move(done)](const target_result&) { done(); });
    }

    void announce()
    {
        if (leaving_) {
            return;
        }
        const json body = {{"service", settings_.service},
                           {"address", to_string(settings_.announced)},
                           {"slots", settings_.slots},
                           {"labels", settings_.labels},
                           {"warm_up_ms", settings_.cold_start.count()},
                           {"lease_ms", 3000},
                           {"incarnation", started_.wall.since_origin()}};
        tell_node("/v1/target/announce", body, [] {});
        loop_.run_after(announce_period, [this] { announce(); });
    }

    void leave()
    {
        leaving_ = true;
        tell_node("/v1/target/leave", json::object(), [this] { stop_when_idle(); });
    }

    void stop_when_idle()
    {
        if (runs_.empty()) {
            loop_.stop();
            return;
        }
        loop_.run_after(millis(10), [this] { stop_when_idle(); });
    }

    void on_request(exchange_id exchange, const http_request& request)
    {
        if (request.path.rfind("/standin/", 0) == 0) {
            on_control(exchange, request);
            return;
        }
        if (static_cast<int>(runs_.size()) >= settings_.slots) {
            http_response shed;
            shed.status = unavailable_status;
            shed.headers = {{not_run_header, "true"}, {"retry-after", "1"}};
            http_.respond(exchange, shed);
            return;
        }
        running& run = runs_[exchange];
        const std::string* token = find_header(request.headers, call_header);
        const std::string* key = find_header(request.headers, "x-run-key");
        run.token = token != nullptr ? *token : "";
        run.key = key != nullptr ? *key : request.path;
        run.began = clock_.read().now;
        run.body_hash = std::hash<std::string>{}(*request.body);
        const bool cold = clock_.read().now - started_.now < settings_.cold_start;
        const millis time = settings_.service_time * (cold ? 3 : 1);
        loop_.run_after(time, [this, exchange] { call_on(exchange); });
    }

    void on_control(exchange_id exchange, const http_request& request)
    {
        const std::string prefix = "/standin/service-time/";
        if (request.path.rfind(prefix, 0) == 0) {
            settings_.service_time = millis(std::stoll(request.path.substr(prefix.size())));
        }
        http_response answer;
        answer.status = 200;
        http_.respond(exchange, answer);
    }

    void call_on(exchange_id exchange)
    {
        const auto found = runs_.find(exchange);
        if (found == runs_.end()) {
            return;
        }
        running& run = found->second;
        if (run.next_call == settings_.calls_on.size()) {
            finish(exchange, 200);
            return;
        }
        auto request = std::make_shared<http_request>();
        request->method = "GET";
        request->path = "/call/" + settings_.calls_on[run.next_call++] + "/inner";
        request->headers = {{call_header, run.token}};
        client_.send(next_id_++, {settings_.node, request, {}, true},
                     [this, exchange](const target_result& result) {
                         const auto* answer = std::get_if<http_response>(&result);
                         if (answer == nullptr || answer->status != 200) {
                             finish(exchange, 502);
                             return;
                         }
                         call_on(exchange);
                     });
    }

    void finish(exchange_id exchange, int status)
    {
        const auto found = runs_.find(exchange);
        if (found == runs_.end()) {
            return;
        }
        const running& run = found->second;
        write_run(run, status);
        http_response answer;
        answer.status = status;
        answer.headers = {{"content-type", "application/json"}};
        answer.body = std::make_shared<const std::string>(
            json({{"service", settings_.service}, {"key", run.key}, {"body_hash", run.body_hash}})
                .dump());
        runs_.erase(found);
        http_.respond(exchange, answer);
    }

    void on_gone(exchange_id exchange)
    {
        const auto found = runs_.find(exchange);
        if (found != runs_.end()) {
            write_run(found->second, 499);
            runs_.erase(found);
        }
    }

    void write_run(const running& run, int status)
    {
        if (!log_.is_open()) {
            return;
        }
        log_ << json({{"service", settings_.service},
                      {"key", run.key},
                      {"call", run.token},
                      {"start_ms", run.began.since_origin()},
                      {"end_ms", clock_.read().now.since_origin()},
                      {"status", status}})
                    .dump()
             << "\n"
             << std::flush;
    }

    standin_settings settings_;
    system_clock clock_;
    event_loop loop_;
    target_client client_;
    http_server http_;
    std::ofstream log_;
    moment started_;
    bool leaving_ = false;
    std::uint64_t next_id_ = 1;
    std::map<exchange_id, running> runs_;
};

} // namespace

int main(int argc, char** argv)
{
    standin_settings settings;
    std::string address;
    std::string announced;
    std::string node;
    std::string labels;
    std::int64_t service_time = 5;
    std::int64_t cold_start = 0;
    options::options_description description("standin_target");
    auto add = description.add_options();
    add("service", options::value(&settings.service)->required(), "service");
    add("listen", options::value(&address)->required(), "IP:port of the target");
    add("announce", options::value(&announced), "IP:port that the node is told, if another");
    add("node", options::value(&node)->required(), "IP:port of its node");
    add("slots", options::value(&settings.slots), "calls served at a time");
    add("service-time", options::value(&service_time), "milliseconds");
    add("cold-start", options::value(&cold_start), "milliseconds of slow start");
    add("labels", options::value(&labels), "key=value,...");
    add("calls-on", options::value(&settings.calls_on)->multitoken(), "services called in turn");
    add("run-log", options::value(&settings.run_log), "file of JSON lines, one a run");
    if (!fescuedyke::parse_command_line(argc, argv, description)) {
        return fescuedyke::usage_exit_code;
    }
    const auto listen = parse_endpoint(address);
    const auto announced_address = parse_endpoint(announced.empty() ? address : announced);
    const auto node_address = parse_endpoint(node);
    const auto parsed = parse_labels(labels);
    if (!listen.ok() || !announced_address.ok() || !node_address.ok() || !parsed.ok()) {
        std::cerr << "listen, announce, node or labels: malformed\n";
        return 2;
    }
    settings.address = *listen;
    settings.announced = *announced_address;
    settings.node = *node_address;
    settings.labels = *parsed;
    settings.service_time = millis(service_time);
    settings.cold_start = millis(cold_start);
    return standin(settings).run();
}
