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
/// The accounts that nodes report, merged without double counting and kept on a member's disk.

namespace fescuedyke {

/// A node as the account names it: each incarnation counts from zero.
using account_source = std::pair<instance_id, incarnation>;

/// What one source reported last, and what it had reported at the times before.
struct account_entry {
    account_report latest;
    /// Counts at earlier times, oldest first, for questions about a range of time.
    std::deque<std::pair<wall_time, std::map<account_key, account_row>>> history;
};

/// Bounds of the book.
struct account_store_settings {
    /// Least time between two kept points of a source's history.
    millis min_history_interval{10'000};
    std::size_t max_history_points = 360;
    /// The file is written anew once it is this many times the size of what it must hold.
    std::size_t rewrite_factor = 4;
    std::size_t min_rewrite_bytes = 1U << 20U;
};

class account_store {
public:
    account_store(const account_store_settings& settings, file_system& files);

    /// Reads what the disk holds. Fails with kDataLoss on damage other than a torn tail.
    absl::Status open();

    /// Takes over a report that is later than what is known of its source; others change nothing.
    void on_report(const account_report& report);

    /// Writes what came since the last call.
    absl::Status flush();

    const std::map<account_source, account_entry>& entries() const { return entries_; }

    /// Returns what \p entry counted in the time from \p from to \p to.
    static std::map<account_key, account_row> rows_between(const account_entry& entry,
                                                           wall_time from, wall_time to);

private:
    void merge(const account_report& report);
    absl::Status rewrite();

    account_store_settings settings_;
    file_system& files_;
    std::map<account_source, account_entry> entries_;
    std::vector<account_report> unwritten_;
    /// A write has failed; its rest may stand at the end of the file.
    bool torn_tail_ = false;
    std::size_t file_bytes_ = 0;
    std::size_t live_bytes_ = 0;
};

} // namespace fescuedyke

#endif
