#include "fuzz/decoders.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

/// \file
/// The libFuzzer target of the decoders. Build it with clang and -DFESCUEDYKE_FUZZ=ON.

// libFuzzer prescribes this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char*>(data), size);
    const std::string failure = fescuedyke::fuzz::run_decoder(input);
    if (!failure.empty()) {
        std::cerr << failure << "\n";
        std::abort();
    }
    return 0;
}
