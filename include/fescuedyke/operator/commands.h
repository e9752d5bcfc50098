#ifndef FESCUEDYKE_OPERATOR_COMMANDS_H
#define FESCUEDYKE_OPERATOR_COMMANDS_H

/// \file
/// The command line of operators and owners.

namespace fescuedyke {

/// Exit codes of the command.
enum class exit_code : int {
    ok = 0,
    /// The request was refused, or the answer is an error.
    refused = 1,
    /// The command line is faulty.
    usage = 2,
    /// Another change was made first.
    conflict = 3,
    /// No member answered, or the outcome is not known; the same change may be sent again.
    unavailable = 4,
    /// Accepted and durable, but not in force everywhere within the time waited.
    not_yet_in_force = 5
};

/// Runs one command and returns its exit code.
int run_operator_command(int argc, char** argv);

} // namespace fescuedyke

#endif
