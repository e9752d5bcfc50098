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
    /// Address at which the node reaches the target.
    endpoint announced_address;
    endpoint node;
    int slots = 4;
    millis service_time{5};
    millis cold_start_duration{0};
    label_set labels;
    /// Services that every run calls, one after the other.
    std::vector<std::string> downstream_services;
    std::string run_log;
};

/// A stand-in for a target, with a number of slots and a service time. It sheds requests beyond its
/// slots as "not run" and logs every run, so that tests can compare the reported outcomes with the
/// runs.
class standin {
public:
    explicit standin(const standin_settings& settings)
        : settings_(settings), loop_(clock_), client_(loop_),
          http_(loop_, {},
                {[this](exchange_id e, const http_request& r) { on_request(e, r); },
                 [this](exchange_id e) { on_disconnect(e); }}),
          run_log_(settings.run_log, std::ios::app), start_(clock_.read())
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
        loop_.post([this] { announce_leave(); });
        thread.join();
        http_.stop_listening();
        return 0;
    }

private:
    struct target_run {
        std::string token;
        std::string key;
        instant start;
        std::size_t next_call = 0;
        std::uint64_t body_hash = 0;
    };

    void post_to_node(const std::string& path, const json& body, std::function<void()> done)
    {
        auto request = std::make_shared<http_request>();
        request->method = "POST";
        request->path = path;
        request->body = std::make_shared<const std::string>(body.dump());
        client_.send(next_request_id_++, {settings_.node, request, {}, true},
                     [done = std::move(done)](const target_result&) { done(); });
    }

    void announce()
    {
        if (leaving_) {
            return;
        }
        const json body = {{"service", settings_.service},
                           {"address", to_string(settings_.announced_address)},
                           {"slots", settings_.slots},
                           {"labels", settings_.labels},
                           {"warm_up_ms", settings_.cold_start_duration.count()},
                           {"lease_ms", 3000},
                           {"incarnation", start_.wall.since_origin()}};
        post_to_node("/v1/target/announce", body, [] {});
        loop_.run_after(announce_period, [this] { announce(); });
    }

    void announce_leave()
    {
        leaving_ = true;
        post_to_node("/v1/target/leave", json::object(), [this] { stop_when_idle(); });
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
            on_control_request(exchange, request);
            return;
        }
        if (static_cast<int>(runs_.size()) >= settings_.slots) {
            http_response shed;
            shed.status = unavailable_status;
            shed.headers = {{not_run_header, "true"}, {"retry-after", "1"}};
            http_.respond(exchange, shed);
            return;
        }
        target_run& run = runs_[exchange];
        const std::string* token = find_header(request.headers, call_header);
        const std::string* key = find_header(request.headers, "x-run-key");
        run.token = token != nullptr ? *token : "";
        run.key = key != nullptr ? *key : request.path;
        run.start = clock_.read().now;
        run.body_hash = std::hash<std::string>{}(*request.body);
        const bool is_cold = clock_.read().now - start_.now < settings_.cold_start_duration;
        const millis time = settings_.service_time * (is_cold ? 3 : 1);
        loop_.run_after(time, [this, exchange] { call_next_service(exchange); });
    }

    void on_control_request(exchange_id exchange, const http_request& request)
    {
        const std::string prefix = "/standin/service-time/";
        if (request.path.rfind(prefix, 0) == 0) {
            settings_.service_time = millis(std::stoll(request.path.substr(prefix.size())));
        }
        http_response response;
        response.status = 200;
        http_.respond(exchange, response);
    }

    void call_next_service(exchange_id exchange)
    {
        const auto found = runs_.find(exchange);
        if (found == runs_.end()) {
            return;
        }
        target_run& run = found->second;
        if (run.next_call == settings_.downstream_services.size()) {
            complete_run(exchange, 200);
            return;
        }
        auto request = std::make_shared<http_request>();
        request->method = "GET";
        request->path = "/call/" + settings_.downstream_services[run.next_call++] + "/inner";
        request->headers = {{call_header, run.token}};
        client_.send(next_request_id_++, {settings_.node, request, {}, true},
                     [this, exchange](const target_result& result) {
                         const auto* response = std::get_if<http_response>(&result);
                         if (response == nullptr || response->status != 200) {
                             complete_run(exchange, 502);
                             return;
                         }
                         call_next_service(exchange);
                     });
    }

    void complete_run(exchange_id exchange, int status)
    {
        const auto found = runs_.find(exchange);
        if (found == runs_.end()) {
            return;
        }
        const target_run& run = found->second;
        log_run(run, status);
        http_response response;
        response.status = status;
        response.headers = {{"content-type", "application/json"}};
        response.body = std::make_shared<const std::string>(
            json({{"service", settings_.service}, {"key", run.key}, {"body_hash", run.body_hash}})
                .dump());
        runs_.erase(found);
        http_.respond(exchange, response);
    }

    void on_disconnect(exchange_id exchange)
    {
        const auto found = runs_.find(exchange);
        if (found != runs_.end()) {
            log_run(found->second, 499);
            runs_.erase(found);
        }
    }

    void log_run(const target_run& run, int status)
    {
        if (!run_log_.is_open()) {
            return;
        }
        run_log_ << json({{"service", settings_.service},
                          {"key", run.key},
                          {"call", run.token},
                          {"start_ms", run.start.since_origin()},
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
    std::ofstream run_log_;
    moment start_;
    bool leaving_ = false;
    std::uint64_t next_request_id_ = 1;
    std::map<exchange_id, target_run> runs_;
};

} // namespace

int main(int argc, char** argv)
{
    standin_settings settings;
    std::string address;
    std::string announced;
    std::string node;
    std::string labels;
    std::int64_t service_time_ms = 5;
    std::int64_t cold_start_ms = 0;
    options::options_description description("standin_target");
    auto add = description.add_options();
    add("service", options::value(&settings.service)->required(), "name of the service");
    add("listen", options::value(&address)->required(), "IP:port of the target");
    add("announce", options::value(&announced),
        "IP:port announced to the node, if not that of listen");
    add("node", options::value(&node)->required(), "IP:port of its node");
    add("slots", options::value(&settings.slots), "calls served at the same time");
    add("service-time", options::value(&service_time_ms), "service time in milliseconds");
    add("cold-start", options::value(&cold_start_ms),
        "milliseconds after the start with three times the service time");
    add("labels", options::value(&labels), "labels as key=value,...");
    add("calls-on", options::value(&settings.downstream_services)->multitoken(),
        "services that every run calls in turn");
    add("run-log", options::value(&settings.run_log), "file for the runs, one JSON line per run");
    if (!fescuedyke::parse_command_line(argc, argv, description)) {
        return fescuedyke::usage_exit_code;
    }
    const auto listen = parse_endpoint(address);
    const auto announced_address = parse_endpoint(announced.empty() ? address : announced);
    const auto node_address = parse_endpoint(node);
    const auto parsed_labels = parse_labels(labels);
    if (!listen.ok() || !announced_address.ok() || !node_address.ok() || !parsed_labels.ok()) {
        std::cerr << "listen, announce, node or labels: malformed\n";
        return 2;
    }
    settings.address = *listen;
    settings.announced_address = *announced_address;
    settings.node = *node_address;
    settings.labels = *parsed_labels;
    settings.service_time = millis(service_time_ms);
    settings.cold_start_duration = millis(cold_start_ms);
    return standin(settings).run();
}
