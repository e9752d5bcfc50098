#ifndef FESCUEDYKE_DAEMON_REPORTED_TARGET_H
#define FESCUEDYKE_DAEMON_REPORTED_TARGET_H

#include "fescuedyke/membership/target_departure.h"
#include "fescuedyke/membership/target_tracker.h"

#include <functional>
#include <optional>
#include <string>

/// \file
/// The local target of a node that has no disk, as the target reports itself.

namespace fescuedyke {

/// What a reported target needs from the process around it.
struct reported_target_steps {
    /// Announces the target, or renews its announcement.
    std::function<void(const target_report&)> announce;
    /// Holds the calls of the announced target, until release is called.
    std::function<void()> hold;
    std::function<void()> release;
    /// Ends the use of the announced target.
    std::function<void()> drain;
    /// Has the control group record a departure, and then calls the function.
    std::function<void(const target_departure&, std::function<void()>)> record;
    /// Asks the control group whether a recorded departure covers this one, and calls the function
    /// with the answer.
    std::function<void(const target_departure&, std::function<void(bool)>)> check;
};

/// Decides from its reports whether the target is used. A departure is acknowledged only once it is
/// recorded, and a start of the target gets calls only once it is known that it has not left before
/// this process was started: a report that was sent before the departure may arrive at another
/// process of the node. The target is announced at once, so that other nodes know it by then.
class reported_target {
public:
    explicit reported_target(reported_target_steps steps) : steps_(std::move(steps)) {}

    /// \p acknowledge is called once the report may be acknowledged, possibly before this returns.
    void on_report(const target_report& report, std::function<void()> acknowledge);

    /// Handles a deregistration; see target_tracker::on_leave(). \p acknowledge as above.
    void on_leave(const std::string& identity, std::uint64_t started_at_ms, wall_time now,
                  std::function<void()> acknowledge);

private:
    struct target_start {
        std::string identity;
        std::uint64_t started_at_ms = 0;

        friend bool operator==(const target_start& a, const target_start& b)
        {
            return a.identity == b.identity && a.started_at_ms == b.started_at_ms;
        }
    };

    static target_start start_of(const target_report& report)
    {
        return {report.identity, report.started_at_ms};
    }
    bool is_current(const target_start& start) const;
    void drain(const std::string& identity, const char* state);
    void on_ready(const target_report& report, bool changed);
    void announce(const target_report& report, bool changed);
    void on_checked(const target_start& start, bool departed);
    void record(const target_departure& departure, std::function<void()> acknowledge);

    reported_target_steps steps_;
    target_tracker tracker_;
    /// The start that has not left before this process was started.
    std::optional<target_start> cleared_;
    /// The start about which the control group was asked.
    std::optional<target_start> checking_;
    /// The latest departure that is known to be recorded.
    std::optional<target_departure> recorded_;
};

} // namespace fescuedyke

#endif
