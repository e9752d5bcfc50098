#include "fescuedyke/support/hash.h"

#include <xxhash.h>

namespace fescuedyke {

std::uint64_t stable_hash(const std::string& text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed)
{
    return XXH64(&value, sizeof value, seed);
}

} // namespace fescuedyke
