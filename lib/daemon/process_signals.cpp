#include "fescuedyke/daemon/process_signals.h"

#include <atomic>
#include <csignal>
#include <initializer_list>

namespace fescuedyke {

namespace {

std::atomic<bool> stop_seen{false};
std::atomic<bool> reload_seen{false};

void note(int signal)
{
    (signal == SIGHUP ? reload_seen : stop_seen) = true;
}

} // namespace

void watch_signals()
{
    struct sigaction action {};
    action.sa_handler = note;
    sigemptyset(&action.sa_mask);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        ::sigaction(signal, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
}

bool stop_asked()
{
    return stop_seen;
}

bool take_reload()
{
    return reload_seen.exchange(false);
}

} // namespace fescuedyke
