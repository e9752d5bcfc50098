#ifndef FESCUEDYKE_OPERATOR_COMMANDS_H
#define FESCUEDYKE_OPERATOR_COMMANDS_H

/// \file
/// The command line tool for operators and owners.

namespace fescuedyke {

/// Exit codes of the command.
enum class exit_code : int {
    ok = 0,
    /// The request was refused, or the response is an error.
    refused = 1,
    /// The command line is invalid, or a file that it names cannot be read.
    usage = 2,
    /// Another change was committed first.
    conflict = 3,
    /// No member answered, or the outcome is unknown; the same change may be sent again.
    unavailable = 4,
    /// The change is accepted and durable, but was not in force everywhere within the wait time.
    not_yet_in_force = 5
};

/// Runs one command and returns its exit code, see \c exit_code.
int run_operator_command(int argc, char** argv);

} // namespace fescuedyke

#endif
