#include "fescuedyke/daemon/process_signals.h"

#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <initializer_list>
#include <thread>

namespace fescuedyke {

namespace {

std::atomic<bool> stop_signalled{false};
std::atomic<bool> reload_signalled{false};

void on_signal(int signal)
{
    (signal == SIGHUP ? reload_signalled : stop_signalled) = true;
}

} // namespace

void install_signal_handlers()
{
    struct sigaction action {};
    action.sa_handler = on_signal;
    sigemptyset(&action.sa_mask);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        ::sigaction(signal, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
}

bool stop_requested()
{
    return stop_signalled;
}

bool take_reload_request()
{
    return reload_signalled.exchange(false);
}

void limit_stop_time(millis limit)
{
    // A timer of an event loop would not fire while the loop is blocked.
    std::thread([limit] {
        std::this_thread::sleep_for(std::chrono::milliseconds(limit.count()));
        write_log(log_level::error, "stop-limit-reached", {{"limit_ms", limit.count()}});
        flush_log_and_exit(stop_limit_exit_code);
    }).detach();
}

} // namespace fescuedyke
