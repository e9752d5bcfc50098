#ifndef FESCUEDYKE_MEMBERSHIP_TARGET_TRACKER_H
#define FESCUEDYKE_MEMBERSHIP_TARGET_TRACKER_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

/// \file
/// Tracks the state of a node's local target from the reports of that target.

namespace fescuedyke {

/// A status report of a target.
struct target_report {
    /// Identifies this process start of the target, but a later start may reuse the value.
    std::string identity;
    /// Start time of the target in Unix milliseconds by its own clock; later starts have greater
    /// values. 0 if the target does not report it.
    std::uint64_t started_at_ms = 0;
    /// Increases with every report of one start.
    std::uint64_t sequence = 0;
    service_name service;
    endpoint address;
    int slots = 1;
    target_state state = target_state::ready;
    /// Remaining warm-up time during which the target is slow after its start.
    millis warm_up;
};

/// Start time of a deregistration that states none.
constexpr std::uint64_t unknown_start_time = std::numeric_limits<std::uint64_t>::max();

enum class report_result : std::uint8_t {
    /// The report is not newer than the current state and was ignored.
    stale,
    /// The report was accepted and only confirms the state of the same start.
    renewed,
    accepted
};

/// Accepts only reports that are newer than the current state: reports can arrive late and in any
/// order, including reports of a start that has already ended.
class target_tracker {
public:
    report_result on_report(const target_report& report);

    /// Handles the deregistration of a target, which may precede its first report to this process.
    /// If \p started_at_ms is unknown_start_time, it covers the starts with this identity before
    /// \p now.
    report_result on_leave(const std::string& identity, std::uint64_t started_at_ms, wall_time now);

    /// Returns the latest accepted report; empty before the first one and after deregistration.
    const std::optional<target_report>& current() const { return current_; }

private:
    std::optional<target_report> current_;
    /// The latest start that deregistered or was superseded by a start with another identity.
    std::string last_left_identity_;
    std::uint64_t last_left_started_at_ms_ = 0;
    /// The latest target that deregistered without a start time before its first report, and when.
    std::string left_unreported_;
    std::uint64_t left_unreported_at_ms_ = 0;
};

} // namespace fescuedyke

#endif
