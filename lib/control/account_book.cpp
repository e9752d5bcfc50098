#include "fescuedyke/control/account_book.h"

#include "fescuedyke/control/control_fields.h"
#include "fescuedyke/storage/frame_file.h"

#include <algorithm>

namespace fescuedyke {

namespace {

constexpr const char* accounts_file = "accounts";

/// Subtracts what was counted before; rows only grow within one incarnation.
account_row since(const account_row& now, const account_row& before)
{
    account_row row;
    row.received = now.received - before.received;
    row.answered = now.answered - before.answered;
    row.in_progress = now.in_progress;
    for (std::size_t i = 0; i < outcome_reason_count; ++i) {
        row.not_run[i] = now.not_run[i] - before.not_run[i];
        row.unknown[i] = now.unknown[i] - before.unknown[i];
    }
    // Calls in progress before the range are received in it for this purpose.
    row.received += before.in_progress;
    return row;
}

} // namespace

account_book::account_book(const account_book_settings& settings, file_system& files)
    : settings_(settings), files_(files)
{
}

absl::Status account_book::open()
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
            return absl::DataLossError("accounts: damaged");
        }
        for (const account_report& report : *reports) {
            keep(report);
        }
    }
    file_bytes_ = content->valid_bytes;
    if (content->valid_bytes < bytes->size()) {
        return files_.truncate_and_sync(accounts_file, content->valid_bytes);
    }
    return absl::OkStatus();
}

void account_book::keep(const account_report& report)
{
    account_entry& entry = entries_[{report.instance, report.node_incarnation}];
    const bool first = entry.latest.sequence == 0;
    if (!first && report.sequence <= entry.latest.sequence) {
        return;
    }
    const bool changed = first || entry.latest.rows != report.rows;
    const bool step_over = entry.history.empty() ||
                           entry.latest.at - entry.history.back().first >= settings_.history_step;
    if (!first && changed && step_over) {
        entry.history.emplace_back(entry.latest.at, entry.latest.rows);
        if (entry.history.size() > settings_.most_history) {
            entry.history.pop_front();
        }
    }
    entry.latest = report;
}

void account_book::on_report(const account_report& report)
{
    const auto found = entries_.find({report.instance, report.node_incarnation});
    if (found != entries_.end() && report.sequence <= found->second.latest.sequence) {
        return;
    }
    keep(report);
    unwritten_.push_back(report);
}

absl::Status account_book::flush()
{
    if (unwritten_.empty()) {
        return absl::OkStatus();
    }
    if (torn_) {
        // What a failed write left must not stand before the next frame.
        if (absl::Status cut = files_.truncate_and_sync(accounts_file, file_bytes_); !cut.ok()) {
            return cut;
        }
        torn_ = false;
    }
    const std::string frame = make_frame(encode(unwritten_));
    if (absl::Status written = files_.append_and_sync(accounts_file, frame); !written.ok()) {
        torn_ = true;
        return written;
    }
    unwritten_.clear();
    file_bytes_ += frame.size();
    const std::size_t bound =
        std::max(settings_.least_rewrite_bytes, live_bytes_ * settings_.rewrite_factor);
    return file_bytes_ > bound ? rewrite() : absl::OkStatus();
}

absl::Status account_book::rewrite()
{
    std::vector<account_report> all;
    for (const auto& [source, entry] : entries_) {
        std::uint64_t sequence = 0;
        for (const auto& [at, rows] : entry.history) {
            account_report point = entry.latest;
            point.at = at;
            point.rows = rows;
            point.unknown_keys.clear();
            // History has fewer points than there were reports, so that these stay below the
            // latest.
            point.sequence = ++sequence;
            all.push_back(std::move(point));
        }
        all.push_back(entry.latest);
    }
    const std::string frame = make_frame(encode(all));
    if (absl::Status written = files_.replace_and_sync(accounts_file, frame); !written.ok()) {
        return written;
    }
    file_bytes_ = frame.size();
    live_bytes_ = frame.size();
    return absl::OkStatus();
}

std::map<account_key, account_row> account_book::rows_between(const account_entry& entry,
                                                              wall_time from, wall_time to)
{
    const auto rows_at = [&](wall_time at) {
        const std::map<account_key, account_row>* best = nullptr;
        for (const auto& [point, rows] : entry.history) {
            if (point <= at) {
                best = &rows;
            }
        }
        if (entry.latest.at <= at) {
            best = &entry.latest.rows;
        }
        return best == nullptr ? std::map<account_key, account_row>() : *best;
    };
    const std::map<account_key, account_row> before = rows_at(from);
    std::map<account_key, account_row> result;
    for (const auto& [key, row] : rows_at(to)) {
        const auto earlier = before.find(key);
        const account_row range =
            since(row, earlier == before.end() ? account_row{} : earlier->second);
        if (range.received > 0) {
            result[key] = range;
        }
    }
    return result;
}

} // namespace fescuedyke
