#ifndef FESCUEDYKE_ONCE_IDEMPOTENCY_KEY_H
#define FESCUEDYKE_ONCE_IDEMPOTENCY_KEY_H

#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

/// \file
/// Idempotency keys of calls that must run at most once.

namespace fescuedyke {

/// Number of buckets into which the keys of one service and home region are hashed.
constexpr std::uint32_t buckets_per_home = 64;

/// Index of a bucket within one service and home region.
using bucket_index = strong<struct bucket_index_tag, std::uint32_t>;

/// An idempotency key: a UUID of version 7, optionally prefixed with the name of its home region
/// and a colon (`puget:0190a5c8-…`). A key without a home region may be owned by a target of any
/// region.
struct idempotency_key {
    std::string text;
    region_name home;
    wall_time created;
    bucket_index bucket;
};

/// Parses a key. Fails with kInvalidArgument if \p text does not have the form above.
absl::StatusOr<idempotency_key> parse_idempotency_key(const std::string& text);

} // namespace fescuedyke

#endif
