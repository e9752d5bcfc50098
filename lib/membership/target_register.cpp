#include "fescuedyke/membership/target_register.h"

namespace fescuedyke {

report_effect target_register::on_report(const target_report& report)
{
    const bool has_left = report.identity == left_identity_ && report.started <= left_started_;
    if (has_left || report.started < left_started_) {
        return report_effect::stale;
    }
    if (present_) {
        const bool same =
            present_->identity == report.identity && present_->started == report.started;
        if (report.started < present_->started || (same && report.sequence <= present_->sequence)) {
            return report_effect::stale;
        }
    }
    if (present_ && present_->identity != report.identity) {
        left_identity_ = present_->identity;
        left_started_ = present_->started;
    }
    present_ = report;
    return report_effect::taken;
}

report_effect target_register::on_leave(const std::string& identity, std::uint64_t started)
{
    if (!present_ || present_->identity != identity || started < present_->started) {
        return report_effect::stale;
    }
    left_identity_ = identity;
    left_started_ = present_->started;
    present_.reset();
    return report_effect::taken;
}

} // namespace fescuedyke
