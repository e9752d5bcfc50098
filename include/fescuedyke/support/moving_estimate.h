#ifndef FESCUEDYKE_SUPPORT_MOVING_ESTIMATE_H
#define FESCUEDYKE_SUPPORT_MOVING_ESTIMATE_H

#include <cmath>
#include <cstddef>
#include <map>

/// \file
/// Exponentially weighted mean and mean deviation of a series of samples.

namespace fescuedyke {

class moving_estimate {
public:
    /// \p weight, from 0 to 1, is the weight of the newest sample.
    explicit moving_estimate(double weight = 0.1) : weight_(weight) {}

    void add(double sample)
    {
        if (empty_) {
            empty_ = false;
            mean_ = sample;
            return;
        }
        deviation_ += weight_ * (std::abs(sample - mean_) - deviation_);
        mean_ += weight_ * (sample - mean_);
    }

    bool empty() const { return empty_; }
    double mean() const { return mean_; }
    /// Returns the mean of the absolute differences from the mean.
    double deviation() const { return deviation_; }

private:
    double weight_;
    bool empty_ = true;
    double mean_ = 0;
    double deviation_ = 0;
};

/// Maximum number of keys in a table of estimates.
constexpr std::size_t max_estimates = 1024;

/// Returns the entry of \p key, which is added if it is missing. A table that would exceed
/// max_estimates is emptied first: its keys come from configurations that change, and estimates of
/// those in use are soon learned again.
template <class Key, class Value> Value& find_or_add(std::map<Key, Value>& table, const Key& key)
{
    const auto found = table.find(key);
    if (found != table.end()) {
        return found->second;
    }
    if (table.size() >= max_estimates) {
        table.clear();
    }
    return table[key];
}

} // namespace fescuedyke

#endif
