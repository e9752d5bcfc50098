#ifndef FESCUEDYKE_BENCH_REPLAY_H
#define FESCUEDYKE_BENCH_REPLAY_H

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/// \file
/// Replays a recorded trace, a file of JSON lines, against node cores under virtual time and checks
/// the outcomes stated in it. docs/design/traces.md describes the lines.

namespace fescuedyke::replay {

/// One stated outcome and whether it came true.
struct expectation_result {
    std::string expectation;
    std::string observed;
    bool holds = false;
};

/// Fails with kInvalidArgument, naming the line, when the trace is malformed.
absl::StatusOr<std::vector<expectation_result>> replay_trace(const std::string& text);

} // namespace fescuedyke::replay

#endif
