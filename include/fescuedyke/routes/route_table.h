#ifndef FESCUEDYKE_ROUTES_ROUTE_TABLE_H
#define FESCUEDYKE_ROUTES_ROUTE_TABLE_H

#include "fescuedyke/policy/policy.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>

#include <map>
#include <string>
#include <vector>

/// \file
/// Routes: which requests, by host and path, go to which services under which policy.

namespace fescuedyke {

/// A service that takes part of a route's requests.
struct weighted_service {
    service_name service;
    double weight = 1;
};

struct route {
    std::string name;
    /// Compared without regard to case.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Its deadline is the longest time that a caller is kept waiting.
    policy governing_policy;
    std::vector<weighted_service> weighted_services;
    /// Most targets that one request may be sent to.
    int max_targets = 1;
    /// Time within which an answer is worth its full value.
    millis latency_objective;
};

/// Returns why \p routes cannot be put in force, with \p services the services there are.
absl::Status check_routes(const std::vector<route>& routes,
                          const std::vector<service_name>& services);

/// An immutable set of routes.
class route_table {
public:
    explicit route_table(const std::vector<route>& routes);

    /// Returns the route of \p host with the longest prefix of \p path, or nullptr. \p host may
    /// hold a port, \p path a query.
    const route* find(const std::string& host, const std::string& path) const;

private:
    /// By host in lower case; the longest prefix first.
    std::map<std::string, std::vector<route>> by_host_;
};

/// Spreads the requests of each route over its shares, close to the weights at any time.
class weighted_service_picker {
public:
    /// \p random gives each route its place to start from.
    explicit weighted_service_picker(random_source& random) : random_(random) {}

    const service_name& pick(const route& r);

private:
    random_source& random_;
    std::map<std::string, double> positions_;
};

} // namespace fescuedyke

#endif
