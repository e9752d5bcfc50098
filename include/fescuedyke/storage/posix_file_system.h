#ifndef FESCUEDYKE_STORAGE_POSIX_FILE_SYSTEM_H
#define FESCUEDYKE_STORAGE_POSIX_FILE_SYSTEM_H

#include "fescuedyke/storage/file_system.h"

#include <map>
#include <memory>

/// \file
/// Implements the data directory on a POSIX file system.

namespace fescuedyke {

/// Holds an exclusive lock on the directory, so that only one process uses it at a time.
class posix_file_system final : public file_system {
public:
    /// Opens \p directory and creates it if it does not exist. Fails with kFailedPrecondition when
    /// another process has it open.
    static absl::StatusOr<std::unique_ptr<posix_file_system>> open(const std::string& directory);

    ~posix_file_system() override;
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    absl::StatusOr<std::string> read(const std::string& name) override;
    absl::Status append_and_sync(const std::string& name, const std::string& bytes) override;
    absl::Status replace_and_sync(const std::string& name, const std::string& bytes) override;
    absl::Status sync(const std::string& name) override;
    absl::Status truncate_and_sync(const std::string& name, std::size_t size) override;

private:
    posix_file_system(std::string directory, int directory_fd);

    absl::StatusOr<int> open_for_append(const std::string& name);
    void close_append(const std::string& name);

    std::string directory_;
    int directory_fd_;
    std::map<std::string, int> append_fds_;
};

} // namespace fescuedyke

#endif
