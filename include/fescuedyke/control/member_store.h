#ifndef FESCUEDYKE_CONTROL_MEMBER_STORE_H
#define FESCUEDYKE_CONTROL_MEMBER_STORE_H

#include "fescuedyke/consensus/raft_core.h"
#include "fescuedyke/storage/file_system.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

/// \file
/// Persistent storage of a member: its identity, its log and its latest snapshot.

namespace fescuedyke {

/// Contents of a member's disk at startup.
struct stored_member {
    member_id id;
    durable_state state;
    /// Number of bytes and log frames read; reported to operators.
    std::size_t bytes_read = 0;
    std::size_t frames_read = 0;
};

/// Reads and writes the files of a member. Every write is synced to disk before it returns.
class member_store {
public:
    /// \p files must outlive the store.
    explicit member_store(file_system& files);

    /// Syncs and reads the disk. If it is empty, writes an identity made of \p name and \p
    /// new_disk_id. Removes an incomplete last frame of the log. Fails with kDataLoss if a file is
    /// damaged in any other way or missing, and with kFailedPrecondition if the disk belongs to
    /// another instance.
    absl::StatusOr<stored_member> open(const std::string& name, std::uint64_t new_disk_id);

    /// Writes the hard state, the snapshot and the log changes of \p output.
    absl::Status persist(const raft_output& output);

    /// Writes \p s, then replaces the log by one that starts after the snapshot, with \p hard and
    /// \p entries.
    absl::Status persist_snapshot(const snapshot& s, const hard_state& hard,
                                  const std::vector<log_entry>& entries);

    std::size_t log_bytes() const { return log_bytes_; }

private:
    /// Reads a file after a sync: if the process was killed during a sync, the content may not be
    /// durable yet.
    absl::StatusOr<std::string> read_durable(const std::string& name);
    absl::StatusOr<member_id> open_identity(const std::string& name, std::uint64_t new_disk_id);
    absl::Status open_snapshot(stored_member& member);
    absl::Status open_log(stored_member& member);
    absl::Status replace_log(const snapshot& base, const hard_state& hard,
                             const std::vector<log_entry>& entries);

    file_system& files_;
    std::size_t log_bytes_ = 0;
    /// Whether a failed write may have left an incomplete frame at the end of the log.
    bool torn_tail_ = false;
    /// Whether the log file does not reach the snapshot, as after a kill while a received snapshot
    /// was installed. The next record then starts the log anew after the snapshot.
    bool restarts_at_snapshot_ = false;
    log_index base_index_;
    log_term base_term_;
};

} // namespace fescuedyke

#endif
