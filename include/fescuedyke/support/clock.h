#ifndef FESCUEDYKE_SUPPORT_CLOCK_H
#define FESCUEDYKE_SUPPORT_CLOCK_H

#include "fescuedyke/support/time.h"

/// \file
/// The clock of a process. Only the adapters read it; they pass its readings to the cores, the
/// classes with the decision logic.

namespace fescuedyke {

/// A source of the current time.
class clock {
public:
    virtual ~clock() = default;

    /// Returns the current readings of the monotonic clock and the wall clock.
    virtual moment read() const = 0;
};

/// Reads the operating system's monotonic and wall clocks.
class system_clock final : public clock {
public:
    moment read() const override;
};

} // namespace fescuedyke

#endif
