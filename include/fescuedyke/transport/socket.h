#ifndef FESCUEDYKE_TRANSPORT_SOCKET_H
#define FESCUEDYKE_TRANSPORT_SOCKET_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <system_error>

/// \file
/// Non-blocking TCP sockets.

namespace fescuedyke {

/// Opens a non-blocking listening socket and stores it in \p fd. Fails with kUnavailable if the
/// socket cannot be bound, for example because the address is in use, and with kInvalidArgument if
/// the host is not an IPv4 address.
absl::Status listen_on(const endpoint& address, int& fd);

/// Starts to connect a non-blocking socket. Returns its descriptor, or a negative number on
/// failure.
int start_connect(const endpoint& address);

/// Disables Nagle's algorithm, enables TCP keep-alive probes and sets TCP_USER_TIMEOUT, so that an
/// unresponsive peer cannot block a connection for long: \p ack_timeout is the maximum time for
/// which sent data may stay unacknowledged.
void set_socket_options(int fd, millis ack_timeout);

/// The result of one attempt to read.
enum class socket_read_result : std::uint8_t { data, would_block, eof, error };

/// Reads once and appends the received bytes, at most a fixed number, to \p buffer. The failure of
/// a connection is reported once, by the send or the read that comes first; reads after it report
/// an ordinary end.
socket_read_result read_some(int fd, std::string& buffer);

/// Returns whether a connected socket has no bytes to read and has neither ended nor failed.
bool is_quiet(int fd);

/// Returns whether the peer of a connected socket has ended the connection, or the connection has
/// failed, although bytes that arrived before may still be unread.
bool has_ended(int fd);

/// Sends \p bytes from \p offset on until the socket accepts no more, and advances \p offset.
/// Returns the error of the connection, if there is one: std::errc::broken_pipe if the peer had
/// ended the connection in order before it failed, another value if it failed without such an end.
std::error_code send_some(int fd, const std::string& bytes, std::size_t& offset);

} // namespace fescuedyke

#endif
