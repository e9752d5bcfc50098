#include "fescuedyke/daemon/reported_target.h"

#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fescuedyke {

namespace {

void log_stale_report(const std::string& identity, const nlohmann::json& sequence)
{
    write_log(log_level::info, "report-stale", {{"target", identity}, {"sequence", sequence}});
}

} // namespace

bool reported_target::is_current(const target_start& start) const
{
    return tracker_.current() && start_of(*tracker_.current()) == start;
}

void reported_target::on_report(const target_report& report, std::function<void()> acknowledge)
{
    const report_result result = tracker_.on_report(report);
    const bool changed = result == report_result::accepted;
    if (result == report_result::stale) {
        log_stale_report(report.identity, report.sequence);
    }
    if (report.state == target_state::draining) {
        if (changed) {
            drain(report.identity, "draining");
        }
        record({report.identity, report.started_at_ms, report.sequence}, std::move(acknowledge));
        return;
    }
    acknowledge();
    if (result != report_result::stale) {
        on_ready(report, changed);
    }
}

void reported_target::on_leave(const std::string& identity, std::uint64_t started_at_ms,
                               wall_time now, std::function<void()> acknowledge)
{
    const std::optional<target_report>& current = tracker_.current();
    target_departure departure{identity, started_at_ms};
    if (started_at_ms == unknown_start_time) {
        const bool names_current = current && current->identity == identity;
        departure.started_at_ms =
            names_current ? current->started_at_ms : static_cast<std::uint64_t>(now.since_origin());
    }
    if (tracker_.on_leave(identity, started_at_ms, now) == report_result::stale) {
        log_stale_report(identity, nullptr);
    }
    else {
        drain(identity, "gone");
    }
    record(departure, std::move(acknowledge));
}

void reported_target::drain(const std::string& identity, const char* state)
{
    write_log(log_level::info, "target-leaves", {{"target", identity}, {"state", state}});
    steps_.drain();
}

void reported_target::on_ready(const target_report& report, bool changed)
{
    const target_start start = start_of(report);
    if (recorded_ && target_start{recorded_->identity, recorded_->started_at_ms} == start) {
        // The target has returned, so that its next departure is recorded again.
        recorded_.reset();
    }
    if (cleared_ == start) {
        announce(report, changed);
        return;
    }
    steps_.hold();
    announce(report, changed);
    if (checking_ == start) {
        return;
    }
    checking_ = start;
    write_log(log_level::info, "target-check",
              {{"target", report.identity}, {"sequence", report.sequence}});
    steps_.check({report.identity, report.started_at_ms, report.sequence},
                 [this, start](bool departed) { on_checked(start, departed); });
}

void reported_target::on_checked(const target_start& start, bool departed)
{
    if (checking_ == start) {
        checking_.reset();
    }
    if (!is_current(start)) {
        return;
    }
    if (departed) {
        write_log(log_level::info, "target-left-before", {{"target", start.identity}});
        tracker_.on_leave(start.identity, start.started_at_ms, wall_time());
        steps_.drain();
        return;
    }
    cleared_ = start;
    write_log(log_level::info, "target-cleared", {{"target", start.identity}});
    steps_.release();
}

void reported_target::announce(const target_report& report, bool changed)
{
    if (changed) {
        write_log(log_level::info, "target-ready",
                  {{"target", report.identity}, {"slots", report.slots}});
    }
    steps_.announce(report);
}

void reported_target::record(const target_departure& departure, std::function<void()> acknowledge)
{
    // Reports that the start sent after its recorded departure do not bring it back either.
    const bool is_recorded = recorded_ && recorded_->identity == departure.identity &&
                             recorded_->started_at_ms >= departure.started_at_ms;
    if (is_recorded) {
        acknowledge();
        return;
    }
    steps_.record(departure, [this, departure, acknowledge = std::move(acknowledge)] {
        const target_start start{departure.identity, departure.started_at_ms};
        const bool has_returned =
            is_current(start) && tracker_.current()->state == target_state::ready;
        if (!has_returned) {
            recorded_ = departure;
        }
        acknowledge();
    });
}

} // namespace fescuedyke
