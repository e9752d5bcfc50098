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
/// Routes, which map requests by host and path prefix to services and a policy.

namespace fescuedyke {

/// A service that receives a share of a route's requests.
struct weighted_service {
    service_name service;
    /// Relative to the weights of the route's other services.
    double weight = 1;
};

struct route {
    std::string name;
    /// Host name; case-insensitive.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    /// Policy of the route's requests. Its deadline is the maximum time that a caller waits.
    policy effective_policy;
    std::vector<weighted_service> weighted_services;
    /// Maximum number of targets that one request may be sent to.
    int max_targets = 1;
    /// Response time up to which a response has its full value.
    millis latency_objective;
};

/// Checks that \p routes are valid and refer only to \p services, the known services. Returns the
/// first error as kInvalidArgument.
absl::Status check_routes(const std::vector<route>& routes,
                          const std::vector<service_name>& services);

/// An immutable set of routes.
class route_table {
public:
    explicit route_table(const std::vector<route>& routes);

    /// Returns the route of \p host with the longest prefix that matches \p path, or nullptr. A
    /// port in \p host and a query in \p path are ignored.
    const route* find(const std::string& host, const std::string& path) const;

private:
    /// Routes by lower-case host, in descending order of prefix length.
    std::map<std::string, std::vector<route>> by_host_;
};

/// Distributes the requests of each route over its services such that the share of each service is
/// close to its weight at any time.
class weighted_service_picker {
public:
    /// \p random determines the start position of each route.
    explicit weighted_service_picker(random_source& random) : random_(random) {}

    const service_name& pick(const route& r);

private:
    random_source& random_;
    /// Current position in [0, 1) by route name.
    std::map<std::string, double> positions_;
};

} // namespace fescuedyke

#endif
