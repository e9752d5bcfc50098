#ifndef FESCUEDYKE_MEMBERSHIP_TARGET_REGISTER_H
#define FESCUEDYKE_MEMBERSHIP_TARGET_REGISTER_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// What a node holds of the target beside it, by that target's own reports.

namespace fescuedyke {

/// One report of a target.
struct target_report {
    /// Name of this start of the target; it may be used again by a later start.
    std::string identity;
    /// When the target started, on its own wall clock; later starts have greater values.
    std::uint64_t started_at_ms = 0;
    /// Grows with every report of one start.
    std::uint64_t sequence = 0;
    service_name service;
    endpoint address;
    int slots = 1;
    target_state state = target_state::ready;
    /// How much longer the target stays slow after its start.
    millis warm_up;
};

enum class report_result : std::uint8_t {
    /// The report is older than what is held.
    stale,
    accepted
};

/// Reports may come late and in any order, also those of a start that has ended.
class target_register {
public:
    report_result on_report(const target_report& report);

    /// The target says that it leaves.
    report_result on_leave(const std::string& identity, std::uint64_t started_at_ms);

    /// The latest report; nothing before the first and after the target left.
    const std::optional<target_report>& current() const { return current_; }

private:
    std::optional<target_report> current_;
    /// The latest start that has left.
    std::string last_left_identity_;
    std::uint64_t last_left_started_at_ms_ = 0;
};

} // namespace fescuedyke

#endif
