#include "replay/replay.h"

#include <fstream>
#include <iostream>
#include <sstream>

/// \file
/// Replays the traces given on the command line. Exits with status 1 if an expectation is not met
/// and with status 2 if a trace is malformed.

int main(int argc, char** argv)
{
    bool all_hold = true;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        std::stringstream text;
        text << file.rdbuf();
        const auto results = fescuedyke::replay::replay_trace(text.str());
        if (!results.ok()) {
            std::cerr << argv[i] << ": " << results.status().message() << "\n";
            return 2;
        }
        for (const auto& r : *results) {
            all_hold = all_hold && r.holds;
            std::cout << argv[i] << ": " << (r.holds ? "ok    " : "FAIL  ") << r.expectation
                      << " observed " << r.observed << "\n";
        }
    }
    return all_hold ? 0 : 1;
}
