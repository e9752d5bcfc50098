#ifndef FESCUEDYKE_LOGGING_JSON_LOG_H
#define FESCUEDYKE_LOGGING_JSON_LOG_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

/// \file
/// The log of a process: one JSON object a line on standard output. Lines go through a bounded
/// queue to a thread of their own, so that a reader that stops never holds up the process; what the
/// queue cannot take is dropped, the oldest first, and counted.

namespace fescuedyke {

enum class log_level { debug, info, warning, error };

/// Sets up the log once, before any thread starts. \p instance stands in every line.
void start_log(const std::string& instance, const std::string& min_level);

/// Writes one line with what happened and its details, an object. Says first how many lines were
/// dropped since the start, if more were than was last said.
void write_log(log_level level, const std::string& event, const nlohmann::json& details);

/// Lines dropped since the start.
std::uint64_t log_lines_dropped();

/// Ends the process with \p code once the queue is empty, or after a short while if nobody reads.
[[noreturn]] void flush_log_and_exit(int code);

} // namespace fescuedyke

#endif
