#ifndef FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H
#define FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H

/// \file
/// Signals of a process that runs on one loop, which asks for them from time to time.

namespace fescuedyke {

/// Notes SIGTERM, SIGINT and SIGHUP from now on.
void install_signal_handlers();

/// Whether SIGTERM or SIGINT has come.
bool stop_requested();

/// Returns true once after each SIGHUP.
bool take_reload_request();

} // namespace fescuedyke

#endif
