#ifndef FESCUEDYKE_DAEMON_GRACEFUL_SHUTDOWN_H
#define FESCUEDYKE_DAEMON_GRACEFUL_SHUTDOWN_H

#include "fescuedyke/support/time.h"

#include <cstdint>
#include <functional>
#include <utility>

/// \file
/// The order and the time limits of the steps in which a process shuts down.

namespace fescuedyke {

/// Time limits of a shutdown.
struct shutdown_limits {
    /// Time from the start of the shutdown in which new requests are still served. At most half of
    /// \c drain_limit is used.
    millis serving_time{0};
    /// Time from the start of the shutdown after which open requests are no longer waited for.
    millis drain_limit{0};
    /// Time from the end of the drain in which the last responses are sent.
    millis final_time{300};
};

enum class shutdown_phase : std::uint8_t {
    running,
    /// New requests are served, so that callers can learn that the process is shutting down.
    serving,
    /// New requests are refused while open ones end and their responses are sent.
    refusing,
    /// Nothing is passed on any more; the last responses are sent.
    ending,
    ended,
};

/// What a process does in a shutdown. All functions must be set.
struct shutdown_steps {
    /// New requests must be refused from now on.
    std::function<void()> refuse_requests;
    /// Returns whether a request is open or a response is not sent completely.
    std::function<bool()> has_open_requests;
    /// Requests that were not passed on must be refused, and none may be passed on from now on.
    std::function<void()> begin_end;
    /// Returns whether nothing is left to be sent.
    std::function<bool()> may_end;
    /// The process must handle no further request.
    std::function<void()> end;
};

/// Takes the steps of a shutdown in order. It reads no clock: its owner calls advance().
class graceful_shutdown {
public:
    explicit graceful_shutdown(shutdown_steps steps) : steps_(std::move(steps)) {}

    /// Starts the shutdown at \p now. Does nothing if it has been started before.
    void begin(const shutdown_limits& limits, instant now);

    /// Takes the steps that are due at \p now. Must be called regularly.
    void advance(instant now);

    shutdown_phase phase() const { return phase_; }

private:
    shutdown_steps steps_;
    shutdown_limits limits_;
    shutdown_phase phase_ = shutdown_phase::running;
    instant began_at_;
    instant drained_at_;
};

} // namespace fescuedyke

#endif
