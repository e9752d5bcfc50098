#include "fescuedyke/daemon/daemon.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace fescuedyke {
namespace {

constexpr int exit_failure = 1;

/// After this time a process that does not end is killed by SIGALRM, so that the test fails.
constexpr unsigned hang_limit_seconds = 60;

/// Returns the settings of a process that is the only member of its control group.
process_settings single_member_settings(const std::string& data_directory)
{
    process_settings settings;
    settings.instance = instance_id("c1");
    settings.http = {"127.0.0.1", 27361};
    settings.peer = {"127.0.0.1", 27362};
    settings.members = {{"c1", {"127.0.0.1", 27363}, settings.http}};
    settings.is_member = true;
    settings.data_directory = data_directory;
    settings.drain_timeout = millis(0);
    return settings;
}

/// Runs a member whose disk stalls when its accounts are written, and stops it by SIGTERM.
[[noreturn]] void run_and_stop_with_stalled_disk(const std::string& data_directory)
{
    ::alarm(hang_limit_seconds);
    std::filesystem::remove_all(data_directory);
    std::filesystem::create_directories(data_directory);
    // SIGTERM must not arrive before the process waits for it.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    // To open a pipe for writing blocks while nobody has it open for reading. The member opens it
    // once for reading at its start, and then finds it empty.
    const std::string accounts = data_directory + "/accounts";
    ::mkfifo(accounts.c_str(), S_IRUSR | S_IWUSR);
    std::thread([accounts] { ::close(::open(accounts.c_str(), O_WRONLY | O_CLOEXEC)); }).detach();
    ::kill(::getpid(), SIGTERM);
    daemon_process process(single_member_settings(data_directory), 1);
    const absl::Status result = process.run();
    std::_Exit(result.ok() ? 0 : exit_failure + 1);
}

// Guards against a stop that never ends, because the disk of a member stalls.
TEST(stop, ends_within_its_limit_while_the_disk_stalls)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    const std::string data_directory =
        (std::filesystem::temp_directory_path() / "fescuedyke-stop-test").string();
    EXPECT_EXIT(run_and_stop_with_stalled_disk(data_directory),
                ::testing::ExitedWithCode(exit_failure), "");
    std::filesystem::remove_all(data_directory);
}

} // namespace
} // namespace fescuedyke
