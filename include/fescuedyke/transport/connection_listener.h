#ifndef FESCUEDYKE_TRANSPORT_CONNECTION_LISTENER_H
#define FESCUEDYKE_TRANSPORT_CONNECTION_LISTENER_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/transport/event_loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <optional>

/// \file
/// A listening socket.

namespace fescuedyke {

/// Accepts connections on an event loop. While the process has no descriptor or memory for another
/// connection, it leaves them waiting and tries again from time to time.
class connection_listener {
public:
    /// \p on_accepted gets the socket of each connection, which it owns.
    connection_listener(event_loop& loop, std::function<void(int)> on_accepted);
    ~connection_listener() { stop(); }
    connection_listener(const connection_listener&) = delete;
    connection_listener& operator=(const connection_listener&) = delete;

    absl::Status listen(const endpoint& address);
    /// Closes the listening socket. Connections that were not accepted are reset.
    void stop();

    /// Returns how often a connection could not be accepted for lack of descriptors or memory.
    std::uint64_t failed_accepts() const { return failed_accepts_; }

private:
    void watch();
    void accept_connections();
    /// Accepts no connections for some time.
    void pause();

    event_loop& loop_;
    std::function<void(int)> on_accepted_;
    int fd_ = -1;
    std::uint64_t failed_accepts_ = 0;
    std::optional<timer_id> retry_timer_;
};

} // namespace fescuedyke

#endif
