#ifndef FESCUEDYKE_SUPPORT_RANDOM_H
#define FESCUEDYKE_SUPPORT_RANDOM_H

#include <random>

/// \file
/// The random number generator. It is passed to all code that needs random numbers.

namespace fescuedyke {

/// A seeded generator. The program that creates a core also creates its generator and prints the
/// seed.
using random_source = std::mt19937_64;

/// Returns a random number in [0, bound). \p bound must be positive.
inline std::uint64_t draw_below(random_source& random, std::uint64_t bound)
{
    return random() % bound;
}

} // namespace fescuedyke

#endif
