#ifndef FESCUEDYKE_SUPPORT_HASH_H
#define FESCUEDYKE_SUPPORT_HASH_H

#include <cstdint>
#include <string>

/// \file
/// Hashes (XXH64) that are the same in every process.

namespace fescuedyke {

/// Returns the stable hash of \p text under \p seed.
std::uint64_t stable_hash(const std::string& text, std::uint64_t seed = 0);

/// Returns the stable hash of \p value under \p seed. The result depends on the byte order of the
/// machine.
std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed = 0);

} // namespace fescuedyke

#endif
