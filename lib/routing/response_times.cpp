#include "fescuedyke/routing/response_times.h"

#include <algorithm>
#include <iterator>

namespace fescuedyke {

namespace {

/// Time for which a report is used.
constexpr millis report_lifetime{10'000};

/// Time in which the influence of a reported queue fades.
constexpr millis queue_report_lifetime{1000};

template <class Map> void erase_expired(Map& reports, instant now)
{
    for (auto it = reports.begin(); it != reports.end();) {
        it = now - it->second.at > report_lifetime ? reports.erase(it) : std::next(it);
    }
}

} // namespace

void response_times::on_reply(const target_info& target, flow_id flow, const load_report& load,
                              millis elapsed, std::uint64_t bytes, instant now)
{
    const std::int64_t on_links = elapsed.count() - load.time_at_node.count();
    round_trips_[target.location.region].add(
        static_cast<double>(std::max<std::int64_t>(0, on_links)));
    if (bytes > 0) {
        find_or_add(bytes_, flow).add(static_cast<double>(bytes));
    }
    if (load.flow_time <= millis(0)) {
        return;
    }
    const report r{static_cast<double>(load.flow_time.count()),
                   static_cast<double>(load.flow_deviation.count()),
                   static_cast<double>(load.queue_time.count()), now};
    by_target_[{flow, target.instance}] = r;
    by_region_[{flow, target.service, target.location.region}] = r;
}

expected_response response_times::combine(const report& r, const region_name& region,
                                          instant now) const
{
    expected_response result{r.service_time, r.deviation};
    const double age = static_cast<double>((now - r.at).count());
    const double fade = age / static_cast<double>(queue_report_lifetime.count());
    result.mean += r.queue_time * std::max(0.0, 1 - fade);
    const auto round_trip = round_trips_.find(region);
    result.mean += round_trip == round_trips_.end() ? 0 : round_trip->second.mean();
    return result;
}

std::optional<expected_response> response_times::expected(const target_info& target, flow_id flow,
                                                          instant now) const
{
    const region_name& region = target.location.region;
    const auto own = by_target_.find({flow, target.instance});
    if (own != by_target_.end() && now - own->second.at <= report_lifetime) {
        return combine(own->second, region, now);
    }
    const auto other = by_region_.find({flow, target.service, region});
    if (other != by_region_.end() && now - other->second.at <= report_lifetime) {
        return combine(other->second, region, now);
    }
    return std::nullopt;
}

double response_times::mean_bytes(flow_id flow) const
{
    const auto found = bytes_.find(flow);
    return found == bytes_.end() ? 0 : found->second.mean();
}

void response_times::remove_expired(instant now)
{
    erase_expired(by_target_, now);
    erase_expired(by_region_, now);
}

} // namespace fescuedyke
