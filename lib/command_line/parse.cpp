#include "fescuedyke/command_line/parse.h"

#include <iostream>

namespace fescuedyke {

namespace options = boost::program_options;

std::optional<options::variables_map>
parse_command_line(int argc, const char* const* argv,
                   const options::options_description& description)
{
    options::variables_map variables;
    try {
        options::store(options::parse_command_line(argc, argv, description), variables);
        options::notify(variables);
    }
    catch (const options::error& error) {
        std::cerr << error.what() << "\n";
        return std::nullopt;
    }
    return variables;
}

} // namespace fescuedyke
