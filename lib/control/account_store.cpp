#include "fescuedyke/control/account_store.h"

#include "fescuedyke/control/control_fields.h"
#include "fescuedyke/storage/frame_file.h"

#include <algorithm>

namespace fescuedyke {

namespace {

constexpr const char* accounts_file = "accounts";

/// Returns the calls counted in \p current but not in \p earlier. The counts of one incarnation
/// never decrease.
account_row counts_since(const account_row& current, const account_row& earlier)
{
    account_row row;
    row.received = current.received - earlier.received;
    row.answered = current.answered - earlier.answered;
    row.in_progress = current.in_progress;
    for (std::size_t i = 0; i < outcome_reason_count; ++i) {
        row.not_run[i] = current.not_run[i] - earlier.not_run[i];
        row.unknown[i] = current.unknown[i] - earlier.unknown[i];
    }
    // Calls that were in progress at the start of the range count as received within it, so that
    // the received calls are the sum of those with an outcome and those in progress.
    row.received += earlier.in_progress;
    return row;
}

} // namespace

account_store::account_store(const account_store_settings& settings, file_system& files)
    : settings_(settings), files_(files)
{
}

absl::Status account_store::open()
{
    const absl::StatusOr<std::string> bytes = files_.read(accounts_file);
    if (absl::IsNotFound(bytes.status())) {
        return absl::OkStatus();
    }
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<frame_file_content> content = read_frames(accounts_file, *bytes);
    if (!content.ok()) {
        return content.status();
    }
    for (const std::string& payload : content->payloads) {
        const absl::StatusOr<std::vector<account_report>> reports =
            decode<std::vector<account_report>>(payload, accounts_file);
        if (!reports.ok()) {
            return absl::DataLossError("accounts: a frame cannot be decoded");
        }
        for (const account_report& report : *reports) {
            merge(report);
        }
    }
    file_bytes_ = content->valid_bytes;
    if (content->valid_bytes < bytes->size()) {
        return files_.truncate_and_sync(accounts_file, content->valid_bytes);
    }
    return absl::OkStatus();
}

void account_store::merge(const account_report& report)
{
    account_entry& entry = entries_[{report.instance, report.node_incarnation}];
    const bool first = entry.latest.sequence == 0;
    if (!first && report.sequence <= entry.latest.sequence) {
        return;
    }
    const bool changed = first || entry.latest.rows != report.rows;
    const bool interval_elapsed =
        entry.history.empty() ||
        entry.latest.reported_at - entry.history.back().first >= settings_.min_history_interval;
    if (!first && changed && interval_elapsed) {
        entry.history.emplace_back(entry.latest.reported_at, entry.latest.rows);
        if (entry.history.size() > settings_.max_history_points) {
            entry.history.pop_front();
        }
    }
    entry.latest = report;
}

void account_store::on_report(const account_report& report, instant now)
{
    const auto found = entries_.find({report.instance, report.node_incarnation});
    if (found != entries_.end() && report.sequence <= found->second.latest.sequence) {
        return;
    }
    merge(report);
    entries_[{report.instance, report.node_incarnation}].received_at = now;
    unwritten_.push_back(report);
}

void account_store::on_copy(const account_copy& copy)
{
    if (copy.empty() || copy.back().sequence == 0) {
        return;
    }
    const account_report& latest = copy.back();
    account_entry& entry = entries_[{latest.instance, latest.node_incarnation}];
    const bool first = entry.latest.sequence == 0;
    const wall_time known_from =
        entry.history.empty() ? entry.latest.reported_at : entry.history.front().first;
    std::deque<std::pair<wall_time, std::map<account_key, account_row>>> earlier;
    for (std::size_t i = 0; i + 1 < copy.size(); ++i) {
        if (first || copy[i].reported_at < known_from) {
            earlier.emplace_back(copy[i].reported_at, copy[i].rows);
        }
    }
    if (earlier.empty() && latest.sequence <= entry.latest.sequence) {
        return;
    }
    entry.history.insert(entry.history.begin(), earlier.begin(), earlier.end());
    merge(latest);
    while (entry.history.size() > settings_.max_history_points) {
        entry.history.pop_front();
    }
    rewrite_is_due_ = true;
}

account_copy account_store::make_copy(const account_entry& entry)
{
    account_copy copy;
    for (const auto& [at, rows] : entry.history) {
        account_report point = entry.latest;
        point.reported_at = at;
        point.rows = rows;
        point.unknown_keys.clear();
        // The history has fewer points than there were reports, so these sequence numbers stay
        // below that of the latest report.
        point.sequence = copy.size() + 1;
        copy.push_back(std::move(point));
    }
    copy.push_back(entry.latest);
    return copy;
}

absl::Status account_store::flush()
{
    if (rewrite_is_due_) {
        return rewrite();
    }
    if (unwritten_.empty()) {
        return absl::OkStatus();
    }
    if (torn_tail_) {
        // Remove the incomplete frame of a failed write before appending the next frame.
        if (absl::Status truncated = files_.truncate_and_sync(accounts_file, file_bytes_);
            !truncated.ok()) {
            return truncated;
        }
        torn_tail_ = false;
    }
    const std::string frame = make_frame(encode(unwritten_));
    if (absl::Status written = files_.append_and_sync(accounts_file, frame); !written.ok()) {
        torn_tail_ = true;
        return written;
    }
    unwritten_.clear();
    file_bytes_ += frame.size();
    const std::size_t rewrite_threshold =
        std::max(settings_.min_rewrite_bytes, bytes_after_rewrite_ * settings_.rewrite_factor);
    return file_bytes_ > rewrite_threshold ? rewrite() : absl::OkStatus();
}

absl::Status account_store::rewrite()
{
    std::vector<account_report> all;
    for (const auto& [source, entry] : entries_) {
        for (account_report& report : make_copy(entry)) {
            all.push_back(std::move(report));
        }
    }
    const std::string frame = make_frame(encode(all));
    if (absl::Status written = files_.replace_and_sync(accounts_file, frame); !written.ok()) {
        return written;
    }
    unwritten_.clear();
    torn_tail_ = false;
    rewrite_is_due_ = false;
    file_bytes_ = frame.size();
    bytes_after_rewrite_ = frame.size();
    return absl::OkStatus();
}

std::map<account_key, account_row> account_store::rows_between(const account_entry& entry,
                                                               wall_time from, wall_time to)
{
    const auto rows_at = [&](wall_time at) {
        const std::map<account_key, account_row>* rows_at_time = nullptr;
        for (const auto& [point, rows] : entry.history) {
            if (point <= at) {
                rows_at_time = &rows;
            }
        }
        if (entry.latest.reported_at <= at) {
            rows_at_time = &entry.latest.rows;
        }
        return rows_at_time == nullptr ? std::map<account_key, account_row>() : *rows_at_time;
    };
    const std::map<account_key, account_row> before = rows_at(from);
    std::map<account_key, account_row> result;
    for (const auto& [key, row] : rows_at(to)) {
        const auto earlier = before.find(key);
        const account_row difference =
            counts_since(row, earlier == before.end() ? account_row{} : earlier->second);
        if (difference.received > 0) {
            result[key] = difference;
        }
    }
    return result;
}

} // namespace fescuedyke
