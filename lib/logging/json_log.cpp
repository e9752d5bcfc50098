#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fescuedyke {

namespace {

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

} // namespace

void start_log(const std::string& instance, const std::string& least_level)
{
    auto logger = spdlog::stderr_logger_mt("fescuedyke");
    const std::string quoted = nlohmann::json(instance).dump();
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","instance":)" + quoted +
                        ",%v}");
    logger->set_level(spdlog::level::from_str(least_level));
    spdlog::set_default_logger(logger);
}

void write_log(log_level level, const std::string& event, const nlohmann::json& details)
{
    const std::string name = nlohmann::json(event).dump();
    const auto how = nlohmann::json::error_handler_t::replace;
    spdlog::log(to_spdlog(level), R"("event":{},"details":{})", name,
                details.dump(-1, ' ', false, how));
}

} // namespace fescuedyke
