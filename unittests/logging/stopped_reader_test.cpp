#include "fescuedyke/logging/json_log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <thread>
#include <unistd.h>

namespace fescuedyke {
namespace {

TEST(json_log, a_reader_that_stops_holds_nothing_up_and_learns_what_was_dropped)
{
    std::array<int, 2> pipe_ends{};
    ASSERT_EQ(::pipe(pipe_ends.data()), 0);
    const int kept_stdout = ::dup(STDOUT_FILENO);
    ASSERT_GE(::dup2(pipe_ends[1], STDOUT_FILENO), 0);
    start_log("test", "info");
    // Far more than the pipe and the queue hold; the test ends only if writing never waits.
    for (int i = 0; i < 50'000; ++i) {
        write_log(log_level::info, "line", {{"number", i}, {"text", std::string(100, 'x')}});
    }
    const std::uint64_t dropped = log_lines_dropped();
    EXPECT_GT(dropped, 0U);
    // The reader comes back.
    std::string read;
    std::thread reader([&] {
        std::array<char, 65536> part{};
        while (read.find("last-line") == std::string::npos) {
            const ssize_t got = ::read(pipe_ends[0], part.data(), part.size());
            if (got <= 0) {
                return;
            }
            read.append(part.data(), static_cast<std::size_t>(got));
        }
    });
    // Once the queue has been read there is room to tell of what is missing.
    for (int i = 0; i < 1000; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        write_log(log_level::info, "later", nlohmann::json::object());
    }
    write_log(log_level::info, "last-line", nlohmann::json::object());
    reader.join();
    ::dup2(kept_stdout, STDOUT_FILENO);
    // The latest line on it tells of all that is missing, also of lines that told of it before.
    const std::string last = "\"lines_in_all\":" + std::to_string(log_lines_dropped()) + "}";
    EXPECT_NE(read.find(last), std::string::npos) << log_lines_dropped() << " dropped";
}

} // namespace
} // namespace fescuedyke
