#ifndef FESCUEDYKE_BENCH_FUZZ_DECODERS_H
#define FESCUEDYKE_BENCH_FUZZ_DECODERS_H

#include <string>

/// \file
/// Every decoder that a peer, a caller, a target, an operator or a settings file can reach, for the
/// fuzz target and for the replay of its corpus.

namespace fescuedyke::fuzz {

/// Number of decoders.
constexpr unsigned decoder_count = 18;

/// Gives \p input to the decoder that its first byte chooses. Returns what was found wrong; empty
/// while all is well.
std::string try_decoder(const std::string& input);

} // namespace fescuedyke::fuzz

#endif
