#ifndef FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H
#define FESCUEDYKE_DAEMON_PROCESS_SIGNALS_H

/// \file
/// Signals of a process that runs on one loop, which asks for them from time to time.

namespace fescuedyke {

/// Notes SIGTERM, SIGINT and SIGHUP from now on.
void watch_signals();

/// Whether SIGTERM or SIGINT has come.
bool stop_asked();

/// Returns true once after each SIGHUP.
bool take_reload();

} // namespace fescuedyke

#endif
