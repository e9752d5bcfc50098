#ifndef FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H
#define FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H

#include "fescuedyke/support/time.h"

/// \file
/// Signal handling of a process that runs a single event loop, which polls for received signals,
/// and the time limit of a stop.

namespace fescuedyke {

/// Installs handlers for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE.
void install_signal_handlers();

/// Returns whether SIGTERM or SIGINT has been received.
bool stop_requested();

/// Returns whether SIGHUP has been received since the last call.
bool take_reload_request();

/// Exit status of a process whose stop reached its time limit.
constexpr int stop_limit_exit_code = 1;

/// Ends the process with \c stop_limit_exit_code if it still runs \p limit after the call, even if
/// its event loops are blocked, for example by a write to a stalled disk. Logs the forced end.
void limit_stop_time(millis limit);

} // namespace fescuedyke

#endif
