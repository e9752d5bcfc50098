#ifndef FESCUEDYKE_CONTROL_ACCOUNT_STORE_H
#define FESCUEDYKE_CONTROL_ACCOUNT_STORE_H

#include "fescuedyke/control/messages.h"
#include "fescuedyke/storage/file_system.h"
#include "fescuedyke/support/time.h"

#include <absl/status/status.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Persists the call counts that nodes report to a member, without counting any call twice.

namespace fescuedyke {

/// Identifies one process lifetime of a node. The counts of each incarnation start at zero.
using account_source = std::pair<instance_id, incarnation>;

/// The latest report of one source, and its counts at earlier times.
struct account_entry {
    account_report latest;
    /// Reported counts, oldest first; used to answer queries for a time range.
    std::deque<std::pair<wall_time, std::map<account_key, account_row>>> history;
    /// When this process last received a report of the source itself.
    instant received_at;
};

/// Limits on the memory and disk space that an account_store uses.
struct account_store_settings {
    /// Minimum time between two points in the history of a source.
    millis min_history_interval{10'000};
    /// Maximum number of points in the history of a source.
    std::size_t max_history_points = 360;
    /// The file is rewritten once it is larger than its size after the last rewrite times this
    /// factor and larger than min_rewrite_bytes.
    std::size_t rewrite_factor = 4;
    std::size_t min_rewrite_bytes = 1U << 20U;
};

class account_store {
public:
    account_store(const account_store_settings& settings, file_system& files);

    /// Loads the stored reports from disk and removes an incomplete last frame. Fails with
    /// kDataLoss on any other damage to the file.
    absl::Status open();

    /// Stores \p report in memory if its sequence is greater than that of the last report of the
    /// same source; ignores it otherwise.
    void on_report(const account_report& report, instant now);

    /// Stores what another member holds of a source, as far as this store lacks it: a later report,
    /// and the counts from before the earliest that it has.
    void on_copy(const account_copy& copy);

    static account_copy make_copy(const account_entry& entry);

    /// Writes what was received since the last successful call to disk.
    absl::Status flush();

    const std::map<account_source, account_entry>& entries() const { return entries_; }

    /// Returns the calls that \p entry counted between \p from and \p to.
    static std::map<account_key, account_row> rows_between(const account_entry& entry,
                                                           wall_time from, wall_time to);

private:
    void merge(const account_report& report);
    absl::Status rewrite();

    account_store_settings settings_;
    file_system& files_;
    std::map<account_source, account_entry> entries_;
    std::vector<account_report> unwritten_;
    /// Whether a failed write may have left an incomplete frame at the end of the file.
    bool torn_tail_ = false;
    /// Whether a copy was received that is not on disk. Its earlier counts cannot be appended.
    bool rewrite_is_due_ = false;
    std::size_t file_bytes_ = 0;
    /// Size of the file after the last rewrite.
    std::size_t bytes_after_rewrite_ = 0;
};

} // namespace fescuedyke

#endif
