#ifndef FESCUEDYKE_COMMAND_LINE_PARSE_H
#define FESCUEDYKE_COMMAND_LINE_PARSE_H

#include <boost/program_options.hpp>

#include <optional>

/// \file
/// Command-line parsing.

namespace fescuedyke {

/// Exit code of a program that was given an invalid command line.
constexpr int usage_exit_code = 2;

/// Parses the options of \p description. Prints the error to standard error and returns
/// std::nullopt if an option is unknown, invalid or missing.
std::optional<boost::program_options::variables_map>
parse_command_line(int argc, const char* const* argv,
                   const boost::program_options::options_description& description);

} // namespace fescuedyke

#endif
