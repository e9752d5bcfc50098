#ifndef FESCUEDYKE_ROUTING_REGION_BUDGET_H
#define FESCUEDYKE_ROUTING_REGION_BUDGET_H

#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <map>

/// \file
/// Bounds the bytes that one node sends to other regions, which are paid for by volume.

namespace fescuedyke {

/// A token bucket of bytes for each other region.
class region_budget {
public:
    /// \p bytes_per_second is this node's share for each pair of regions; up to \p burst bytes are
    /// saved up.
    region_budget(std::uint64_t bytes_per_second, std::uint64_t burst);

    /// Returns whether \p bytes may go to \p region at \p now.
    bool allows(const region_name& region, std::uint64_t bytes, instant now) const;

    /// Takes \p bytes. They may exceed what is left, as answers do; later calls wait for that.
    void spend(const region_name& region, std::uint64_t bytes, instant now);

private:
    struct bucket {
        double tokens;
        instant filled;
    };

    double tokens_at(const bucket& b, instant now) const;

    double rate_per_ms_;
    double burst_;
    std::map<region_name, bucket> buckets_;
};

} // namespace fescuedyke

#endif
