#ifndef FESCUEDYKE_BENCH_FAKE_DISK_H
#define FESCUEDYKE_BENCH_FAKE_DISK_H

#include "fescuedyke/storage/file_system.h"

#include <map>
#include <string>

/// \file
/// An in-memory disk that can tear a write or run out of space.

namespace fescuedyke::cluster {

class fake_disk final : public file_system {
public:
    /// Makes the next write fail as if the process had crashed during it: an append stops after
    /// \p after bytes, modulo its length plus one, and a replacement leaves the old file.
    void tear_next_write(std::size_t after) { tear_after_ = after; }
    /// Clears all faults; later writes succeed.
    void repair()
    {
        tear_after_ = no_tear;
        full_ = false;
    }
    /// Makes all appends and replacements fail until repair() is called.
    void fill_up() { full_ = true; }
    void wipe() { files_.clear(); }
    std::map<std::string, std::string>& files() { return files_; }

    absl::StatusOr<std::string> read(const std::string& name) override
    {
        const auto found = files_.find(name);
        if (found == files_.end()) {
            return absl::NotFoundError(name);
        }
        return found->second;
    }

    absl::Status append_and_sync(const std::string& name, const std::string& bytes) override
    {
        if (full_) {
            return absl::ResourceExhaustedError(name + ": no space left on the disk");
        }
        if (tear_after_ != no_tear) {
            files_[name] += bytes.substr(0, tear_after_ % (bytes.size() + 1));
            tear_after_ = no_tear;
            return absl::DataLossError(name + ": the write was torn");
        }
        files_[name] += bytes;
        return absl::OkStatus();
    }

    absl::Status replace_and_sync(const std::string& name, const std::string& bytes) override
    {
        if (full_) {
            return absl::ResourceExhaustedError(name + ": no space left on the disk");
        }
        if (tear_after_ != no_tear) {
            tear_after_ = no_tear;
            return absl::DataLossError(name + ": the write was torn");
        }
        files_[name] = bytes;
        return absl::OkStatus();
    }

    absl::Status truncate_and_sync(const std::string& name, std::size_t size) override
    {
        files_[name].resize(size);
        return absl::OkStatus();
    }

private:
    static constexpr std::size_t no_tear = static_cast<std::size_t>(-1);

    std::map<std::string, std::string> files_;
    std::size_t tear_after_ = no_tear;
    bool full_ = false;
};

} // namespace fescuedyke::cluster

#endif
