#ifndef FESCUEDYKE_BENCH_FAKE_DISK_H
#define FESCUEDYKE_BENCH_FAKE_DISK_H

#include "fescuedyke/storage/file_system.h"
#include "fescuedyke/support/random.h"

#include <map>
#include <set>
#include <string>

/// \file
/// An in-memory disk that can tear a write, run out of space, or lose what was not synced.

namespace fescuedyke::cluster {

class fake_disk final : public file_system {
public:
    /// Makes the next write fail as if the process had crashed during it: an append stops after
    /// \p after bytes, modulo its length plus one, and a replacement leaves the old file.
    void tear_next_write(std::size_t after) { tear_after_ = after; }
    /// Makes the next write fail as if the process had been killed during its sync: the files show
    /// the write, but it is not durable.
    void interrupt_next_sync() { interrupt_sync_ = true; }
    /// Makes the write \p writes from now fail as if the process had been killed just before it.
    void fail_write_after(std::size_t writes) { writes_until_failure_ = writes; }
    /// Clears all faults; later writes succeed.
    void repair()
    {
        tear_after_ = no_tear;
        writes_until_failure_ = no_tear;
        interrupt_sync_ = false;
        full_ = false;
    }
    /// Loses power: each file that is not synced is kept, lost or, if it was appended to, torn.
    void lose_power(random_source& random)
    {
        std::map<std::string, std::string> left = durable_;
        for (const auto& [name, bytes] : files_) {
            const std::uint64_t fate = draw_below(random, 4);
            const std::size_t synced = durable_.count(name) == 0 ? 0 : durable_[name].size();
            const bool appended = unsynced_names_.count(name) == 0 && bytes.size() > synced;
            if (fate == 0) {
                left[name] = bytes;
            }
            else if (fate < 3 && appended) {
                const std::size_t kept = synced + draw_below(random, bytes.size() - synced);
                left[name] = bytes.substr(0, kept);
                left[name].resize(fate == 1 ? kept : bytes.size(), '\0');
            }
        }
        files_ = left;
        durable_ = left;
        unsynced_names_.clear();
    }
    /// Makes all appends and replacements fail until repair() is called.
    void fill_up() { full_ = true; }
    void wipe()
    {
        files_.clear();
        durable_.clear();
        unsynced_names_.clear();
    }
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
        if (absl::Status refused = refuse_write(name); !refused.ok()) {
            return refused;
        }
        if (tear_after_ != no_tear) {
            files_[name] += bytes.substr(0, tear_after_ % (bytes.size() + 1));
            tear_after_ = no_tear;
            return absl::DataLossError(name + ": the write was torn");
        }
        files_[name] += bytes;
        return end_sync(name);
    }

    absl::Status replace_and_sync(const std::string& name, const std::string& bytes) override
    {
        if (absl::Status refused = refuse_write(name); !refused.ok()) {
            return refused;
        }
        if (tear_after_ != no_tear) {
            tear_after_ = no_tear;
            return absl::DataLossError(name + ": the write was torn");
        }
        files_[name] = bytes;
        unsynced_names_.insert(name);
        return end_sync(name);
    }

    absl::Status sync(const std::string& name) override
    {
        return files_.count(name) == 0 ? absl::NotFoundError(name) : end_sync(name);
    }

    absl::Status truncate_and_sync(const std::string& name, std::size_t size) override
    {
        files_[name].resize(size);
        return end_sync(name);
    }

private:
    absl::Status refuse_write(const std::string& name)
    {
        if (full_) {
            return absl::ResourceExhaustedError(name + ": no space left on the disk");
        }
        if (writes_until_failure_ != no_tear && writes_until_failure_-- == 0) {
            return absl::DataLossError(name + ": the process was killed before the write");
        }
        return absl::OkStatus();
    }

    /// Makes the file and all names durable, as a sync of the file and of its directory does.
    absl::Status end_sync(const std::string& name)
    {
        if (interrupt_sync_) {
            interrupt_sync_ = false;
            return absl::DataLossError(name + ": the process was killed during the sync");
        }
        durable_[name] = files_[name];
        for (const std::string& renamed : unsynced_names_) {
            durable_[renamed] = files_[renamed];
        }
        unsynced_names_.clear();
        return absl::OkStatus();
    }

    static constexpr std::size_t no_tear = static_cast<std::size_t>(-1);

    std::map<std::string, std::string> files_;
    /// Content of the files after a loss of power that keeps nothing but synced data.
    std::map<std::string, std::string> durable_;
    /// Replaced files whose directory is not synced.
    std::set<std::string> unsynced_names_;
    std::size_t tear_after_ = no_tear;
    std::size_t writes_until_failure_ = no_tear;
    bool interrupt_sync_ = false;
    bool full_ = false;
};

} // namespace fescuedyke::cluster

#endif
