#ifndef FESCUEDYKE_LOGGING_JSON_LOG_H
#define FESCUEDYKE_LOGGING_JSON_LOG_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

/// \file
/// The log of a process: one JSON object per line on standard output. A separate thread writes the
/// lines from a bounded queue, so that a stalled reader never blocks the process. When the queue is
/// full, the oldest lines are dropped and counted.

namespace fescuedyke {

enum class log_level { debug, info, warning, error };

/// Initializes the log. Must be called once, before any thread is started. Every line contains
/// \p instance; lines below \p min_level are not written.
void start_log(const std::string& instance, const std::string& min_level);

/// Writes a line with the name of the event and its details, which must be a JSON object. If lines
/// were dropped since the last report of dropped lines, first writes their total number.
void write_log(log_level level, const std::string& event, const nlohmann::json& details);

/// Returns the number of lines dropped since the start of the process.
std::uint64_t log_lines_dropped();

/// Makes the process write a line with the type and the message of an exception that nothing
/// catches, behind the lines that are queued, before it is aborted. Must be called after
/// start_log().
void log_uncaught_exceptions();

/// Exits the process with \p code as soon as the queue is empty, or after about 200 ms if the
/// reader of the log has stalled.
[[noreturn]] void flush_log_and_exit(int code);

} // namespace fescuedyke

#endif
