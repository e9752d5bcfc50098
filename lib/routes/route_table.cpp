#include "fescuedyke/routes/route_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace fescuedyke {

namespace {

/// An objective may lie so far above the deadline and not further.
constexpr millis objective_slack{60'000};

/// Steps of this part of a circle never come close to a place they have been at.
constexpr double golden_step = 0.6180339887498949;

absl::Status faulty(const route& r, const std::string& what)
{
    return absl::InvalidArgumentError("route '" + r.name + "': " + what);
}

double total_weight(const route& r)
{
    return std::accumulate(r.shares.begin(), r.shares.end(), 0.0,
                           [](double sum, const route_share& s) { return sum + s.weight; });
}

absl::Status check_shares(const route& r, const std::vector<service_name>& services)
{
    for (const route_share& s : r.shares) {
        if (std::find(services.begin(), services.end(), s.service) == services.end()) {
            return faulty(r, "service '" + s.service.value() + "' is not known");
        }
        if (!(s.weight >= 0) || !std::isfinite(s.weight)) {
            return faulty(r, "weight is negative or no number");
        }
    }
    if (!(total_weight(r) > 0)) {
        return faulty(r, "weights add up to 0");
    }
    return absl::OkStatus();
}

} // namespace

absl::Status check_routes(const std::vector<route>& routes,
                          const std::vector<service_name>& services)
{
    for (const route& r : routes) {
        if (r.host.empty()) {
            return faulty(r, "host is empty");
        }
        if (r.prefix.empty() || r.prefix.front() != '/' || r.prefix.back() != '/') {
            return faulty(r, "prefix does not begin and end with a slash");
        }
        if (r.governing.deadline <= millis(0) || r.most_targets < 1) {
            return faulty(r, "time-out or attempts are not above 0");
        }
        if (r.objective >= r.governing.deadline + objective_slack) {
            return faulty(r, "objective is far above the time-out");
        }
        if (absl::Status shares = check_shares(r, services); !shares.ok()) {
            return shares;
        }
    }
    return absl::OkStatus();
}

route_table::route_table(const std::vector<route>& routes)
{
    for (const route& r : routes) {
        by_host_[absl::AsciiStrToLower(r.host)].push_back(r);
    }
    for (auto& [host, of_host] : by_host_) {
        std::stable_sort(of_host.begin(), of_host.end(), [](const route& a, const route& b) {
            return a.prefix.size() > b.prefix.size();
        });
    }
}

const route* route_table::find(const std::string& host, const std::string& path) const
{
    const auto found = by_host_.find(absl::AsciiStrToLower(host.substr(0, host.find(':'))));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const std::string only_path = path.substr(0, path.find('?'));
    for (const route& r : found->second) {
        if (only_path.compare(0, r.prefix.size(), r.prefix) == 0) {
            return &r;
        }
    }
    return nullptr;
}

const service_name& share_picker::pick(const route& r)
{
    assert(!r.shares.empty() && "a checked route has a service");
    if (r.shares.size() == 1) {
        return r.shares.front().service;
    }
    constexpr std::uint64_t places = 1U << 20U;
    const auto start = static_cast<double>(draw_below(random_, places)) / places;
    double& position = positions_.try_emplace(r.name, start).first->second;
    position = std::fmod(position + golden_step, 1.0);
    double rest = position * total_weight(r);
    for (const route_share& s : r.shares) {
        rest -= s.weight;
        if (rest < 0) {
            return s.service;
        }
    }
    return r.shares.back().service;
}

} // namespace fescuedyke
