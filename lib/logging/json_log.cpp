#include "fescuedyke/logging/json_log.h"

#include <boost/core/demangle.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <thread>
#include <typeinfo>

namespace fescuedyke {

namespace {

/// Capacity of the queue of lines to be written; about 1 MB.
constexpr std::size_t max_queued_lines = 4096;

/// How long the exit of the process waits for the last lines to be written.
constexpr std::chrono::milliseconds flush_timeout{200};
constexpr std::chrono::milliseconds flush_poll_period{5};

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

void write_line(log_level level, const std::string& event, const nlohmann::json& details)
{
    const std::string name = nlohmann::json(event).dump();
    const auto error_handler = nlohmann::json::error_handler_t::replace;
    spdlog::log(to_spdlog(level), R"("event":{},"details":{})", name,
                details.dump(-1, ' ', false, error_handler));
}

/// Returns the number of dropped lines that the calling thread last reported. The number is kept
/// per thread to avoid synchronization; a few redundant reports do no harm.
std::uint64_t& last_logged_drops()
{
    static thread_local std::uint64_t count = 0;
    return count;
}

/// Waits until the queue is empty, or until flush_timeout has passed.
void flush_log()
{
    const auto pool = spdlog::thread_pool();
    const auto deadline = std::chrono::steady_clock::now() + flush_timeout;
    while (pool && pool->queue_size() > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(flush_poll_period);
    }
    std::this_thread::sleep_for(flush_poll_period);
}

[[noreturn]] void log_exception_and_abort()
{
    nlohmann::json details = nlohmann::json::object();
    try {
        if (std::current_exception()) {
            throw;
        }
    }
    catch (const std::exception& error) {
        details = {{"type", boost::core::demangle(typeid(error).name())},
                   {"message", error.what()}};
    }
    catch (...) {
        details = {{"type", "unknown"}};
    }
    write_log(log_level::error, "uncaught-exception", details);
    flush_log();
    std::abort();
}

} // namespace

void start_log(const std::string& instance, const std::string& min_level)
{
    spdlog::init_thread_pool(max_queued_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("fescuedyke");
    const std::string quoted = nlohmann::json(instance).dump();
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","instance":)" + quoted +
                        ",%v}");
    logger->set_level(spdlog::level::from_str(min_level));
    logger->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(logger);
}

std::uint64_t log_lines_dropped()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void write_log(log_level level, const std::string& event, const nlohmann::json& details)
{
    const std::uint64_t dropped = log_lines_dropped();
    // The report waits until the queue has room: a line added to a full queue would drop another.
    const bool has_room =
        dropped > last_logged_drops() && spdlog::thread_pool()->queue_size() < max_queued_lines;
    if (has_room) {
        // The report contains the total, because the line of an earlier report may have been
        // dropped as well.
        write_line(log_level::warning, "log-lines-dropped", {{"lines_in_all", dropped}});
        last_logged_drops() = dropped;
    }
    write_line(level, event, details);
}

void log_uncaught_exceptions()
{
    std::set_terminate(log_exception_and_abort);
}

void flush_log_and_exit(int code)
{
    flush_log();
    // A normal exit would join the log's thread, which may be blocked by a stalled reader. No other
    // cleanup is needed.
    std::_Exit(code);
}

} // namespace fescuedyke
