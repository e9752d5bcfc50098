#ifndef FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H
#define FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H

/// \file
/// Signal handling of a process that runs a single event loop, which polls for received signals.

namespace fescuedyke {

/// Installs handlers for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE.
void install_signal_handlers();

/// Returns whether SIGTERM or SIGINT has been received.
bool stop_requested();

/// Returns whether SIGHUP has been received since the last call.
bool take_reload_request();

} // namespace fescuedyke

#endif
