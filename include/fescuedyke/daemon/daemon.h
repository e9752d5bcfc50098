#ifndef FESCUEDYKE_DAEMON_DAEMON_H
#define FESCUEDYKE_DAEMON_DAEMON_H

#include "fescuedyke/daemon/control_runtime.h"
#include "fescuedyke/daemon/http_dialect.h"
#include "fescuedyke/daemon/metrics_server.h"
#include "fescuedyke/daemon/traffic_runtime.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/support/clock.h"

#include <memory>

/// \file
/// The process of a node with its traffic thread, its control thread and its HTTP server.

namespace fescuedyke {

class daemon_process {
public:
    /// \p seed seeds the random number generators of both threads.
    daemon_process(const process_settings& settings, std::uint64_t seed);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully. Fails if a part cannot be
    /// started.
    absl::Status run();

private:
    using http_handler = void (daemon_process::*)(exchange_id, const http_request&,
                                                  const std::map<std::string, std::string>& query);
    struct api_route {
        const char* method;
        const char* path;
        http_handler handler;
        /// Whether the request must carry an operator's bearer token.
        bool needs_operator;
    };
    static const api_route api_routes[];

    void on_http(exchange_id exchange, http_request request);
    void serve_announce(exchange_id exchange, const http_request& request,
                        const std::map<std::string, std::string>& query);
    void serve_drain(exchange_id exchange, const http_request& request,
                     const std::map<std::string, std::string>& query);
    void serve_state(exchange_id exchange, const http_request& request,
                     const std::map<std::string, std::string>& query);
    void serve_targets(exchange_id exchange, const http_request& request,
                       const std::map<std::string, std::string>& query);
    void serve_policies(exchange_id exchange, const http_request& request,
                        const std::map<std::string, std::string>& query);
    void serve_policy_change(exchange_id exchange, const http_request& request,
                             const std::map<std::string, std::string>& query);
    void serve_progress(exchange_id exchange, const http_request& request,
                        const std::map<std::string, std::string>& query);
    void serve_accounts(exchange_id exchange, const http_request& request,
                        const std::map<std::string, std::string>& query);
    void respond_with_error(exchange_id exchange, int status, const std::string& message);
    void respond_to_policy_change(exchange_id exchange, const answer_change& answer);
    /// Calls \p make_body on the control thread and responds with the result; responds with an
    /// error if this process is not a member.
    void respond_from_member(exchange_id exchange,
                             std::function<nlohmann::json(const control_core&)> make_body);
    void stop();

    process_settings settings_;
    system_clock clock_;
    random_source traffic_random_;
    random_source control_random_;
    event_loop traffic_loop_;
    event_loop control_loop_;
    http_server http_;
    native_dialect dialect_;
    metrics_server metrics_{traffic_loop_};
    std::unique_ptr<traffic_runtime> traffic_;
    std::unique_ptr<control_runtime> control_;
    /// Whether the control runtime has stopped, for the traffic thread.
    bool control_stopped_ = false;
};

} // namespace fescuedyke

#endif
