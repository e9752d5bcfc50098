#ifndef FESCUEDYKE_BENCH_FUZZ_DECODERS_H
#define FESCUEDYKE_BENCH_FUZZ_DECODERS_H

#include <string>

/// \file
/// Runs every decoder whose input comes from a peer, a caller, a target, an operator or a settings
/// file. The fuzz target and the replay of its corpus use it.

namespace fescuedyke::fuzz {

constexpr unsigned decoder_count = 18;

/// Passes all but the first byte of \p input to the decoder that this byte selects, modulo
/// decoder_count. Returns a description of the failure, or an empty string.
std::string run_decoder(const std::string& input);

} // namespace fescuedyke::fuzz

#endif
