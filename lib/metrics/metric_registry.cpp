#include "fescuedyke/metrics/metric_registry.h"

#include <cassert>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>

namespace fescuedyke {

namespace {

constexpr double ms_per_second = 1000;

/// Upper bounds of the histogram buckets, in seconds. They range from calls that a node answers
/// itself to the longest deadlines.
const prometheus::Histogram::BucketBoundaries& bucket_bounds()
{
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
    return bounds;
}

} // namespace

struct metric_registry::impl {
    prometheus::Registry registry;
};

metric_registry::metric_registry() : impl_(std::make_unique<impl>()) {}

metric_registry::~metric_registry() = default;

std::string metric_registry::text() const
{
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

template <class Metric>
series_table<Metric>::series_table(family_description description, factory create)
    : description_(std::move(description)), create_(std::move(create))
{
}

template <class Metric> Metric& series_table<Metric>::get_or_create(const label_list& values)
{
    assert(values.size() == description_.labels.size() && "each label has a value");
    const auto found = series_.find(values);
    if (found != series_.end()) {
        return *found->second;
    }
    const label_list other(values.size(), "other");
    if (series_.size() >= description_.max_series && values != other) {
        return get_or_create(other);
    }
    std::map<std::string, std::string> labels;
    for (std::size_t i = 0; i < values.size(); ++i) {
        labels[description_.labels[i]] = values[i];
    }
    Metric& metric = create_(labels);
    series_[values] = &metric;
    return metric;
}

struct counter_family::impl {
    series_table<prometheus::Counter> series;
};

// clang-format 14 misparses the return type `auto&` of the lambda.
// clang-format off
counter_family::counter_family(metric_registry& registry, const family_description& description)
{
    auto& family = prometheus::BuildCounter()
                       .Name(description.name)
                       .Help(description.help)
                       .Register(registry.impl_->registry);
    impl_ = std::make_unique<impl>(
        impl{{description, [&family](const auto& labels) -> auto& {
                  return family.Add(labels);
              }}});
}
// clang-format on

counter_family::~counter_family() = default;

void counter_family::add(const label_list& values, double amount)
{
    impl_->series.get_or_create(values).Increment(amount);
}

struct gauge_family::impl {
    series_table<prometheus::Gauge> series;
};

// clang-format 14 misparses the return type `auto&` of the lambda.
// clang-format off
gauge_family::gauge_family(metric_registry& registry, const family_description& description)
{
    auto& family = prometheus::BuildGauge()
                       .Name(description.name)
                       .Help(description.help)
                       .Register(registry.impl_->registry);
    impl_ = std::make_unique<impl>(
        impl{{description, [&family](const auto& labels) -> auto& {
                  return family.Add(labels);
              }}});
}
// clang-format on

gauge_family::~gauge_family() = default;

void gauge_family::set(const label_list& values, double value)
{
    impl_->series.get_or_create(values).Set(value);
}

struct histogram_family::impl {
    series_table<prometheus::Histogram> series;
};

// clang-format 14 misparses the return type `auto&` of the lambda.
// clang-format off
histogram_family::histogram_family(metric_registry& registry, const family_description& description)
{
    auto& family = prometheus::BuildHistogram()
                       .Name(description.name)
                       .Help(description.help)
                       .Register(registry.impl_->registry);
    impl_ = std::make_unique<impl>(
        impl{{description, [&family](const auto& labels) -> auto& {
                  return family.Add(labels, bucket_bounds());
              }}});
}
// clang-format on

histogram_family::~histogram_family() = default;

void histogram_family::observe(const label_list& values, millis duration)
{
    impl_->series.get_or_create(values).Observe(static_cast<double>(duration.count()) /
                                                ms_per_second);
}

} // namespace fescuedyke
