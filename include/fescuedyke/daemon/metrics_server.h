#ifndef FESCUEDYKE_DAEMON_METRICS_SERVER_H
#define FESCUEDYKE_DAEMON_METRICS_SERVER_H

#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/transport/http_server.h"

#include <optional>

/// \file
/// The metrics of a process, served over HTTP as `GET /metrics`.

namespace fescuedyke {

class metrics_server {
public:
    explicit metrics_server(event_loop& loop);

    metric_registry& registry() { return registry_; }

    /// Does nothing if there is no address. Fails with kUnavailable if the address is in use.
    absl::Status listen(const std::optional<endpoint>& address);

private:
    void on_request(exchange_id exchange, const http_request& request);

    metric_registry registry_;
    http_server http_;
};

} // namespace fescuedyke

#endif
