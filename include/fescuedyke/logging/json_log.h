#ifndef FESCUEDYKE_LOGGING_JSON_LOG_H
#define FESCUEDYKE_LOGGING_JSON_LOG_H

#include <nlohmann/json_fwd.hpp>

#include <string>

/// \file
/// The log of a process: one JSON object a line on standard error.

namespace fescuedyke {

enum class log_level { debug, info, warning, error };

/// Sets up the log once, before any thread starts. \p instance stands in every line.
void start_log(const std::string& instance, const std::string& least_level);

/// Writes one line with what happened and its details, an object.
void write_log(log_level level, const std::string& event, const nlohmann::json& details);

} // namespace fescuedyke

#endif
