#include "fescuedyke/control/account_copier.h"

#include <algorithm>

namespace fescuedyke {

account_copier::account_copier(const account_copier_settings& settings,
                               const account_store& accounts)
    : settings_(settings), accounts_(accounts)
{
}

bool account_copier::is_silent(const account_entry& entry, instant now) const
{
    return now - std::max(entry.received_at, *started_at_) >= settings_.silence;
}

std::optional<account_copies> account_copier::next_message(const member_id& to, instant now)
{
    if (!started_at_) {
        started_at_ = now;
    }
    receiver& r = receivers_[to.name];
    if (r.disk_id != to.disk_id) {
        r = receiver{};
        r.disk_id = to.disk_id;
    }
    if (!r.unconfirmed.empty() && now - r.sent_at < settings_.retry_period) {
        return std::nullopt;
    }
    r.unconfirmed.clear();
    account_copies message;
    std::size_t report_count = 0;
    for (const auto& [source, entry] : accounts_.entries()) {
        const auto stored = r.stored.find(source);
        const bool holds_latest =
            stored != r.stored.end() && stored->second >= entry.latest.sequence;
        if (holds_latest || !is_silent(entry, now)) {
            continue;
        }
        const std::size_t entry_reports = entry.history.size() + 1;
        if (report_count > 0 && report_count + entry_reports > settings_.max_reports_per_message) {
            break;
        }
        report_count += entry_reports;
        message.copies.push_back(account_store::make_copy(entry));
        r.unconfirmed[source] = entry.latest.sequence;
    }
    if (message.copies.empty()) {
        return std::nullopt;
    }
    message.number = ++last_number_;
    r.number = message.number;
    r.sent_at = now;
    return message;
}

void account_copier::on_stored(const member_id& to, std::uint64_t number)
{
    const auto found = receivers_.find(to.name);
    if (found == receivers_.end()) {
        return;
    }
    receiver& r = found->second;
    if (r.disk_id != to.disk_id || r.number != number) {
        return;
    }
    for (const auto& [source, sequence] : r.unconfirmed) {
        r.stored[source] = sequence;
    }
    r.unconfirmed.clear();
}

} // namespace fescuedyke
