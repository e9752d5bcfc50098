#ifndef FESCUEDYKE_BENCH_FAKE_DISK_H
#define FESCUEDYKE_BENCH_FAKE_DISK_H

#include "fescuedyke/storage/file_system.h"

#include <map>
#include <string>

/// \file
/// A disk in memory that can be cut off in the middle of a write, or fill up.

namespace fescuedyke::cluster {

class fake_disk final : public file_system {
public:
    /// The next write stops after this many bytes, as a crash would stop it.
    void tear_next_write(std::size_t after) { tear_after_ = after; }
    /// Writes go through again from now on.
    void repair()
    {
        tear_after_ = whole;
        full_ = false;
    }
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
            return absl::ResourceExhaustedError(name + ": no space");
        }
        if (tear_after_ != whole) {
            files_[name] += bytes.substr(0, tear_after_ % (bytes.size() + 1));
            tear_after_ = whole;
            return absl::DataLossError(name + ": torn");
        }
        files_[name] += bytes;
        return absl::OkStatus();
    }

    absl::Status replace_and_sync(const std::string& name, const std::string& bytes) override
    {
        if (full_) {
            return absl::ResourceExhaustedError(name + ": no space");
        }
        if (tear_after_ != whole) {
            tear_after_ = whole;
            return absl::DataLossError(name + ": torn");
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
    static constexpr std::size_t whole = static_cast<std::size_t>(-1);

    std::map<std::string, std::string> files_;
    std::size_t tear_after_ = whole;
    bool full_ = false;
};

} // namespace fescuedyke::cluster

#endif
