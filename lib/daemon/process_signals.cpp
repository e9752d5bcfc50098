#include "fescuedyke/daemon/process_signals.h"

#include <atomic>
#include <csignal>
#include <initializer_list>

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

} // namespace fescuedyke
