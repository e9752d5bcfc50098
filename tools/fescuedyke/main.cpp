#include "fescuedyke/command_line/parse.h"
#include "fescuedyke/daemon/daemon.h"
#include "fescuedyke/logging/json_log.h"
#include "fescuedyke/settings/process_settings.h"
#include "platform/process.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <random>
#include <string>

namespace {

namespace options = boost::program_options;

constexpr int exit_failure = 1;

int run(const options::variables_map& values)
{
    const std::string path = values["config"].as<std::string>();
    const absl::StatusOr<fescuedyke::process_settings> settings = fescuedyke::load_settings(path);
    if (!settings.ok()) {
        std::cerr << path << ":\n" << settings.status().message() << "\n";
        return fescuedyke::usage_exit_code;
    }
    if (values.count("check") != 0) {
        std::cout << path << ": ok\n";
        return 0;
    }
    const std::uint64_t seed =
        values.count("seed") != 0 ? values["seed"].as<std::uint64_t>() : std::random_device{}();
    fescuedyke::start_log(settings->instance.value(), settings->log_level);
    fescuedyke::log_uncaught_exceptions();
    fescuedyke::write_log(fescuedyke::log_level::info, "seed", {{"seed", seed}});
    fescuedyke::daemon_process process(*settings, seed);
    const absl::Status result = process.run();
    if (!result.ok()) {
        fescuedyke::write_log(fescuedyke::log_level::error, "failed",
                              {{"message", std::string(result.message())}});
        fescuedyke::flush_log_and_exit(exit_failure);
    }
    fescuedyke::flush_log_and_exit(0);
}

int run_on_platform(const options::variables_map& values)
{
    const std::string role = values["platform"].as<std::string>();
    if (role != "node" && role != "member") {
        std::cerr << "platform: must be node or member\n";
        return fescuedyke::usage_exit_code;
    }
    absl::StatusOr<fescuedyke::platform::settings> settings = fescuedyke::platform::load_settings();
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return fescuedyke::usage_exit_code;
    }
    if (values.count("metrics") != 0) {
        settings->process.metrics = fescuedyke::endpoint{settings->process.peer.host,
                                                         values["metrics"].as<std::uint16_t>()};
    }
    fescuedyke::start_log(settings->process.instance.value(), settings->process.log_level);
    fescuedyke::log_uncaught_exceptions();
    const std::uint64_t seed = std::random_device{}();
    fescuedyke::write_log(fescuedyke::log_level::info, "seed", {{"seed", seed}});
    const absl::Status result = role == "node" ? fescuedyke::platform::run_node(*settings, seed)
                                               : fescuedyke::platform::run_member(*settings, seed);
    if (!result.ok()) {
        fescuedyke::write_log(fescuedyke::log_level::error, "failed",
                              {{"message", std::string(result.message())}});
        fescuedyke::flush_log_and_exit(exit_failure);
    }
    fescuedyke::flush_log_and_exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("fescuedyke --config FILE [options]");
    auto add = description.add_options();
    add("help,h", "print this text");
    add("config,c", options::value<std::string>(), "settings file (YAML)");
    add("check", "check the settings, print every error with its line, and exit");
    add("platform", options::value<std::string>(),
        "run on the users' platform as 'node' or 'member', with the settings file that it names");
    add("metrics", options::value<std::uint16_t>(),
        "port that serves metrics on the users' platform");
    add("seed", options::value<std::uint64_t>(), "seed of the random number generator");
    const auto parsed = fescuedyke::parse_command_line(argc, argv, description);
    if (!parsed) {
        return fescuedyke::usage_exit_code;
    }
    const options::variables_map& values = *parsed;
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("platform") != 0) {
        return run_on_platform(values);
    }
    if (values.count("config") == 0) {
        std::cerr << "config: is missing\n" << description;
        return fescuedyke::usage_exit_code;
    }
    return run(values);
}
