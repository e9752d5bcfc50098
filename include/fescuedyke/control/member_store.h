#ifndef FESCUEDYKE_CONTROL_MEMBER_STORE_H
#define FESCUEDYKE_CONTROL_MEMBER_STORE_H

#include "fescuedyke/consensus/raft_core.h"
#include "fescuedyke/storage/file_system.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

/// \file
/// What a member keeps on its disk: its identity, its log and its snapshot.

namespace fescuedyke {

/// Everything found on the disk at the start.
struct stored_member {
    member_id id;
    durable_state state;
    /// Bytes and frames read, for the operators.
    std::size_t bytes_read = 0;
    std::size_t frames_read = 0;
};

/// Writes are synced before they return.
class member_store {
public:
    /// \p files must outlive the store.
    explicit member_store(file_system& files);

    /// Reads the disk. On an empty one, takes \p name and \p fresh_disk for the identity and writes
    /// it. Fails with kDataLoss on damage other than a torn tail, and with kFailedPrecondition when
    /// the disk belongs to another instance.
    absl::StatusOr<stored_member> open(const std::string& name, std::uint64_t new_disk_id);

    /// Writes what \p output asks for.
    absl::Status persist(const raft_output& output);

    /// Writes \p s and then a log that begins behind it.
    absl::Status persist_snapshot(const snapshot& s, const hard_state& hard,
                                  const std::vector<log_entry>& entries);

    std::size_t log_bytes() const { return log_bytes_; }

private:
    absl::StatusOr<member_id> open_identity(const std::string& name, std::uint64_t new_disk_id);
    absl::Status open_snapshot(stored_member& member);
    absl::Status open_log(stored_member& member);
    absl::Status replace_log(const snapshot& base, const hard_state& hard,
                             const std::vector<log_entry>& entries);

    file_system& files_;
    std::size_t log_bytes_ = 0;
    /// A write has failed; its rest may stand at the end of the log.
    bool torn_tail_ = false;
};

} // namespace fescuedyke

#endif
