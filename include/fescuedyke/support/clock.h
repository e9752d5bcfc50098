#ifndef FESCUEDYKE_SUPPORT_CLOCK_H
#define FESCUEDYKE_SUPPORT_CLOCK_H

#include "fescuedyke/support/time.h"

/// \file
/// The one clock of a process. Adapters read it; decision libraries are handed its readings.

namespace fescuedyke {

/// A source of time readings.
class clock {
public:
    virtual ~clock() = default;

    /// Returns the present reading of both clocks.
    virtual moment read() const = 0;
};

/// Reads the operating system's monotonic and wall clocks.
class system_clock final : public clock {
public:
    moment read() const override;
};

} // namespace fescuedyke

#endif
