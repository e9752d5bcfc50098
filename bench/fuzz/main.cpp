#include "fuzz/decoders.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

/// \file
/// A libFuzzer target over the decoders. Build with clang and -DFESCUEDYKE_FUZZ=ON.

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char*>(data), size);
    const std::string wrong = fescuedyke::fuzz::try_decoder(input);
    if (!wrong.empty()) {
        std::cerr << wrong << "\n";
        std::abort();
    }
    return 0;
}
