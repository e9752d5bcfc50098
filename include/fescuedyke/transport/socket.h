#ifndef FESCUEDYKE_TRANSPORT_SOCKET_H
#define FESCUEDYKE_TRANSPORT_SOCKET_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>

/// \file
/// Non-blocking TCP sockets.

namespace fescuedyke {

/// Opens a non-blocking listening socket. Fails with kUnavailable when the address is taken.
absl::Status listen_on(const endpoint& address, int& fd);

/// Starts to connect a non-blocking socket. Returns a negative number on failure.
int start_connect(const endpoint& address);

/// Bounds how long a peer that has fallen silent holds up a connection: \p ack_timeout is the
/// longest time that sent data stays unacknowledged.
void set_socket_options(int fd, millis ack_timeout);

/// What one attempt to read found.
enum class socket_read_result : std::uint8_t { data, would_block, eof, error };

/// Appends what has come in, up to a bound, to \p buffer.
socket_read_result read_some(int fd, std::string& buffer);

/// Sends offset \p bytes, starting at \p offset, and advances it. Returns false when the connection
/// is error.
bool send_some(int fd, const std::string& bytes, std::size_t& offset);

} // namespace fescuedyke

#endif
