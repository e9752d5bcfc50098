#ifndef FESCUEDYKE_DAEMON_METRICS_SERVER_H
#define FESCUEDYKE_DAEMON_METRICS_SERVER_H

#include "fescuedyke/metrics/metric_registry.h"
#include "fescuedyke/transport/http_server.h"

#include <optional>

/// \file
/// The metrics of a process and the address where they are read: `GET /metrics`.

namespace fescuedyke {

class metrics_server {
public:
    explicit metrics_server(event_loop& loop);

    /// What is shown.
    metric_registry& registry() { return registry_; }

    /// Does nothing without an address. Fails with kUnavailable when it is taken.
    absl::Status listen(const std::optional<endpoint>& address);

private:
    void on_request(exchange_id exchange, const http_request& request);

    metric_registry registry_;
    http_server http_;
};

} // namespace fescuedyke

#endif
