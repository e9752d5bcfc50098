#ifndef FESCUEDYKE_METRICS_METRIC_REGISTRY_H
#define FESCUEDYKE_METRICS_METRIC_REGISTRY_H

#include "fescuedyke/support/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Counters, gauges and latency histograms in the Prometheus text exposition format, implemented
/// with prometheus-cpp. The number of series per family is limited: label values beyond the limit
/// are aggregated as "other".

namespace fescuedyke {

/// Holds all metrics of a process. Different families may be used on different threads.
class metric_registry {
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    /// Returns all metrics in the text exposition format.
    std::string text() const;

private:
    friend class counter_family;
    friend class gauge_family;
    friend class histogram_family;
    struct impl;

    std::unique_ptr<impl> impl_;
};

/// The label names of a family, or one value for each of them.
using label_list = std::vector<std::string>;

/// Parameters of a family of metrics, whatever their type. A family may be used by one thread only.
struct family_description {
    std::string name;
    std::string help;
    label_list labels;
    /// Maximum number of distinct sets of label values.
    std::size_t max_series = 200;
};

/// Maps sets of label values to metrics. A metric is created on first use; beyond the limit of the
/// family, all new sets share one metric, whose label values are "other".
template <class Metric> class series_table {
public:
    using factory = std::function<Metric&(const std::map<std::string, std::string>&)>;

    series_table(family_description description, factory create);
    Metric& get_or_create(const label_list& values);

private:
    family_description description_;
    factory create_;
    std::map<label_list, Metric*> series_;
};

class counter_family {
public:
    counter_family(metric_registry& registry, const family_description& description);
    ~counter_family();
    counter_family(const counter_family&) = delete;
    counter_family& operator=(const counter_family&) = delete;

    void add(const label_list& values, double amount = 1);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

class gauge_family {
public:
    gauge_family(metric_registry& registry, const family_description& description);
    ~gauge_family();
    gauge_family(const gauge_family&) = delete;
    gauge_family& operator=(const gauge_family&) = delete;

    void set(const label_list& values, double value);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Histograms of durations, exported in seconds.
class histogram_family {
public:
    histogram_family(metric_registry& registry, const family_description& description);
    ~histogram_family();
    histogram_family(const histogram_family&) = delete;
    histogram_family& operator=(const histogram_family&) = delete;

    void observe(const label_list& values, millis duration);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescuedyke

#endif
