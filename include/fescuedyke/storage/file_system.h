#ifndef FESCUEDYKE_STORAGE_FILE_SYSTEM_H
#define FESCUEDYKE_STORAGE_FILE_SYSTEM_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

/// \file
/// The one data folder of a member. What is written lasts only once it is synced.

namespace fescuedyke {

/// Files by name in one folder. Failures are kNotFound, kResourceExhausted when the disk is full,
/// and kDataLoss for all other faults of the disk.
class file_system {
public:
    virtual ~file_system() = default;

    virtual absl::StatusOr<std::string> read(const std::string& name) = 0;

    /// Adds \p bytes at the end of a file and syncs it.
    virtual absl::Status append_synced(const std::string& name, const std::string& bytes) = 0;

    /// Puts \p bytes in the place of a whole file; after a crash either the old or the new is
    /// there.
    virtual absl::Status replace_synced(const std::string& name, const std::string& bytes) = 0;

    /// Shortens a file to \p size bytes and syncs it.
    virtual absl::Status truncate_synced(const std::string& name, std::size_t size) = 0;
};

} // namespace fescuedyke

#endif
