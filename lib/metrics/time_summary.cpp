#include "fescuedyke/metrics/time_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace fescuedyke {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 2> quantiles = {0.5, 0.99};

} // namespace

struct time_summary::accumulators {
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square>>
        set{acc::tag::extended_p_square::probabilities = quantiles};
};

time_summary::time_summary() : accumulators_(std::make_unique<accumulators>()) {}

time_summary::~time_summary() = default;

void time_summary::add(millis duration)
{
    accumulators_->set(static_cast<double>(duration.count()));
}

std::uint64_t time_summary::count() const
{
    return acc::count(accumulators_->set);
}

double time_summary::mean() const
{
    return count() == 0 ? 0 : acc::mean(accumulators_->set);
}

double time_summary::max() const
{
    return count() == 0 ? 0 : acc::max(accumulators_->set);
}

double time_summary::median() const
{
    return count() == 0 ? 0 : acc::extended_p_square(accumulators_->set)[0];
}

double time_summary::percentile_99() const
{
    return count() == 0 ? 0 : acc::extended_p_square(accumulators_->set)[1];
}

} // namespace fescuedyke
