#include "fescuedyke/routes/route_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace fescuedyke {

namespace {

/// Exclusive upper bound on the time by which a latency objective may exceed the deadline.
constexpr millis max_objective_excess{60'000};

/// Step of the position on a circle of circumference 1. Multiples of the golden ratio conjugate are
/// evenly spread over the circle after any number of steps, because they never come close to an
/// earlier position.
constexpr double golden_ratio_step = 0.6180339887498949;

absl::Status invalid_route(const route& r, const std::string& message)
{
    return absl::InvalidArgumentError("route '" + r.name + "': " + message);
}

double total_weight(const route& r)
{
    return std::accumulate(r.weighted_services.begin(), r.weighted_services.end(), 0.0,
                           [](double sum, const weighted_service& s) { return sum + s.weight; });
}

absl::Status check_weighted_services(const route& r, const std::vector<service_name>& services)
{
    for (const weighted_service& s : r.weighted_services) {
        if (std::find(services.begin(), services.end(), s.service) == services.end()) {
            return invalid_route(r, "service '" + s.service.value() + "' is unknown");
        }
        if (!(s.weight >= 0) || !std::isfinite(s.weight)) {
            return invalid_route(r, "weight is negative or not finite");
        }
    }
    if (!(total_weight(r) > 0)) {
        return invalid_route(r, "sum of weights is not positive");
    }
    return absl::OkStatus();
}

} // namespace

absl::Status check_routes(const std::vector<route>& routes,
                          const std::vector<service_name>& services)
{
    for (const route& r : routes) {
        if (r.host.empty()) {
            return invalid_route(r, "host is empty");
        }
        if (r.prefix.empty() || r.prefix.front() != '/' || r.prefix.back() != '/') {
            return invalid_route(r, "prefix does not begin and end with a slash");
        }
        if (r.effective_policy.deadline <= millis(0) || r.max_targets < 1) {
            return invalid_route(r, "timeout or attempts are not positive");
        }
        if (r.latency_objective >= r.effective_policy.deadline + max_objective_excess) {
            return invalid_route(r, "latency objective exceeds the timeout by 60 s or more");
        }
        if (absl::Status status = check_weighted_services(r, services); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

route_table::route_table(const std::vector<route>& routes)
{
    for (const route& r : routes) {
        by_host_[absl::AsciiStrToLower(r.host)].push_back(r);
    }
    for (auto& [host, host_routes] : by_host_) {
        std::stable_sort(
            host_routes.begin(), host_routes.end(),
            [](const route& a, const route& b) { return a.prefix.size() > b.prefix.size(); });
    }
}

const route* route_table::find(const std::string& host, const std::string& path) const
{
    const auto found = by_host_.find(absl::AsciiStrToLower(host.substr(0, host.find(':'))));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const std::string path_without_query = path.substr(0, path.find('?'));
    for (const route& r : found->second) {
        if (path_without_query.compare(0, r.prefix.size(), r.prefix) == 0) {
            return &r;
        }
    }
    return nullptr;
}

const service_name& weighted_service_picker::pick(const route& r)
{
    assert(!r.weighted_services.empty() && "a validated route has a service");
    if (r.weighted_services.size() == 1) {
        return r.weighted_services.front().service;
    }
    constexpr std::uint64_t start_positions = 1U << 20U;
    const auto start = static_cast<double>(draw_below(random_, start_positions)) / start_positions;
    double& position = positions_.try_emplace(r.name, start).first->second;
    position = std::fmod(position + golden_ratio_step, 1.0);
    double remaining = position * total_weight(r);
    for (const weighted_service& s : r.weighted_services) {
        remaining -= s.weight;
        if (remaining < 0) {
            return s.service;
        }
    }
    return r.weighted_services.back().service;
}

} // namespace fescuedyke
