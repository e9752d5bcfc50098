#ifndef FESCUEDYKE_BENCH_REPLAY_H
#define FESCUEDYKE_BENCH_REPLAY_H

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/// \file
/// Replays a trace, a file of JSON lines, against node cores under virtual time and checks the
/// expectations that it contains. docs/design/traces.md describes the format of the lines.

namespace fescuedyke::replay {

/// An expectation of a trace, the value observed in the replay, and whether the expectation holds.
struct expectation_result {
    std::string expectation;
    std::string observed;
    bool holds = false;
};

/// Replays the trace \p text and returns the results of its expectations in their order. Fails with
/// kInvalidArgument, naming the line, if the trace is malformed.
absl::StatusOr<std::vector<expectation_result>> replay_trace(const std::string& text);

} // namespace fescuedyke::replay

#endif
