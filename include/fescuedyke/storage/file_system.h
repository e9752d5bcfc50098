#ifndef FESCUEDYKE_STORAGE_FILE_SYSTEM_H
#define FESCUEDYKE_STORAGE_FILE_SYSTEM_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

/// \file
/// Defines the interface to the data directory of a member. Data is durable only after a sync.

namespace fescuedyke {

/// Accesses files by name in a single directory. Operations fail with kNotFound when the file does
/// not exist, with kResourceExhausted when the disk is full, and with kDataLoss on any other error.
class file_system {
public:
    virtual ~file_system() = default;

    virtual absl::StatusOr<std::string> read(const std::string& name) = 0;

    /// Appends \p bytes to a file and syncs it.
    virtual absl::Status append_and_sync(const std::string& name, const std::string& bytes) = 0;

    /// Atomically replaces the content of a file by \p bytes and syncs it; after a crash the file
    /// holds either the old or the new content.
    virtual absl::Status replace_and_sync(const std::string& name, const std::string& bytes) = 0;

    /// Makes the content of a file and all names in the directory durable. A process that was
    /// killed during a sync may have left them visible but not durable.
    virtual absl::Status sync(const std::string& name) = 0;

    /// Truncates a file to \p size bytes and syncs it.
    virtual absl::Status truncate_and_sync(const std::string& name, std::size_t size) = 0;
};

} // namespace fescuedyke

#endif
