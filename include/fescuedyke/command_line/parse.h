#ifndef FESCUEDYKE_COMMAND_LINE_PARSE_H
#define FESCUEDYKE_COMMAND_LINE_PARSE_H

#include <boost/program_options.hpp>

#include <optional>

/// \file
/// Reading of a program's command line.

namespace fescuedyke {

/// Exit code of a program whose command line was faulty.
constexpr int usage_exit_code = 2;

/// Reads the options of \p description. Prints what is wrong and returns nothing when an option is
/// unknown, faulty or missing.
std::optional<boost::program_options::variables_map>
parse_command_line(int argc, const char* const* argv,
                   const boost::program_options::options_description& description);

} // namespace fescuedyke

#endif
