#include "replay/replay.h"

#include <fstream>
#include <iostream>
#include <sstream>

/// \file
/// Replays traces given on the command line; exits with 1 when a stated outcome did not come true.

int main(int argc, char** argv)
{
    bool all = true;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        std::stringstream text;
        text << file.rdbuf();
        const auto findings = fescuedyke::replay::replay_trace(text.str());
        if (!findings.ok()) {
            std::cerr << argv[i] << ": " << findings.status().message() << "\n";
            return 2;
        }
        for (const auto& f : *findings) {
            all = all && f.holds;
            std::cout << argv[i] << ": " << (f.holds ? "ok    " : "WRONG ") << f.stated << " seen "
                      << f.seen << "\n";
        }
    }
    return all ? 0 : 1;
}
