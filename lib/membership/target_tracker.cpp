#include "fescuedyke/membership/target_tracker.h"

namespace fescuedyke {

report_result target_tracker::on_report(const target_report& report)
{
    const bool has_left =
        report.identity == last_left_identity_ && report.started_at_ms <= last_left_started_at_ms_;
    const bool left_unreported =
        report.identity == left_unreported_ && report.started_at_ms <= left_unreported_at_ms_;
    if (has_left || left_unreported || report.started_at_ms < last_left_started_at_ms_) {
        return report_result::stale;
    }
    bool renewed = false;
    if (current_) {
        const bool same_start = current_->identity == report.identity &&
                                current_->started_at_ms == report.started_at_ms;
        renewed = same_start && current_->state == report.state;
        if (report.started_at_ms < current_->started_at_ms ||
            (same_start && report.sequence <= current_->sequence)) {
            return report_result::stale;
        }
    }
    if (current_ && current_->identity != report.identity) {
        last_left_identity_ = current_->identity;
        last_left_started_at_ms_ = current_->started_at_ms;
    }
    current_ = report;
    return renewed ? report_result::renewed : report_result::accepted;
}

report_result target_tracker::on_leave(const std::string& identity, std::uint64_t started_at_ms,
                                       wall_time now)
{
    const bool is_current = current_ && current_->identity == identity;
    if (is_current && started_at_ms >= current_->started_at_ms) {
        last_left_identity_ = identity;
        last_left_started_at_ms_ = current_->started_at_ms;
        current_.reset();
        return report_result::accepted;
    }
    const std::uint64_t newest_start =
        current_ ? current_->started_at_ms : last_left_started_at_ms_;
    if (is_current || started_at_ms <= newest_start) {
        return report_result::stale;
    }
    // The target was used by an earlier process of this node, or its reports are still on their
    // way; they must not be accepted afterwards.
    if (started_at_ms == unknown_start_time) {
        left_unreported_ = identity;
        left_unreported_at_ms_ = static_cast<std::uint64_t>(now.since_origin());
        return current_ ? report_result::stale : report_result::accepted;
    }
    last_left_identity_ = identity;
    last_left_started_at_ms_ = started_at_ms;
    current_.reset();
    return report_result::accepted;
}

} // namespace fescuedyke
