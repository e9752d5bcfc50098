#ifndef FESCUEDYKE_ROUTING_REGION_BUDGET_H
#define FESCUEDYKE_ROUTING_REGION_BUDGET_H

#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <map>

/// \file
/// Rate limit for the traffic from one node to other regions, which is billed by volume.

namespace fescuedyke {

/// Holds a token bucket, in bytes, for each remote region.
class region_budget {
public:
    /// \p bytes_per_second is this node's share of the rate for each pair of regions; \p burst is
    /// the capacity of a bucket in bytes.
    region_budget(std::uint64_t bytes_per_second, std::uint64_t burst);

    /// Returns whether \p bytes may be sent to \p region at \p now.
    bool allows(const region_name& region, std::uint64_t bytes, instant now) const;

    /// Deducts \p bytes. Responses are deducted after the fact and may overdraw the bucket; further
    /// calls are then refused until it has refilled.
    void spend(const region_name& region, std::uint64_t bytes, instant now);

private:
    struct bucket {
        double tokens;
        instant refilled_at;
    };

    double tokens_at(const bucket& b, instant now) const;

    double rate_per_ms_;
    double burst_;
    std::map<region_name, bucket> buckets_;
};

} // namespace fescuedyke

#endif
