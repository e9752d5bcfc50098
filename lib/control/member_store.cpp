#include "fescuedyke/control/member_store.h"

#include "fescuedyke/codec/common_fields.h"
#include "fescuedyke/storage/frame_file.h"

#include <cassert>
#include <optional>

namespace fescuedyke {

namespace {

constexpr const char* identity_file = "identity";
constexpr const char* snapshot_file = "snapshot";
constexpr const char* log_file = "log";

/// Payload of a frame of the log: the changes that one write makes durable.
struct log_record {
    /// Index of the snapshot that this and the later records follow; earlier entries are dropped.
    /// Set in the first record after a snapshot.
    std::optional<log_index> base_index;
    log_term base_term;
    std::optional<hard_state> hard;
    std::optional<log_index> truncate_from;
    std::vector<log_entry> append;
};

template <class A> void fields(A& a, log_record& x)
{
    a(x.base_index, x.base_term, x.hard, x.truncate_from, x.append);
}

absl::Status data_loss(const std::string& message)
{
    return absl::DataLossError(message);
}

/// Removes the entries that the snapshot \p base covers, or all entries if the log does not match
/// the snapshot. The first entry of \p entries follows index \p log_base. Returns whether the log
/// matches the snapshot.
bool trim_to_snapshot(const snapshot& base, log_index log_base, std::vector<log_entry>& entries)
{
    if (log_base == base.index) {
        return true;
    }
    const std::uint64_t covered_count = base.index.value() - log_base.value();
    const bool covers_snapshot = entries.size() >= covered_count;
    const bool matches_snapshot = covers_snapshot && entries[covered_count - 1].term == base.term;
    if (!matches_snapshot) {
        entries.clear();
        return false;
    }
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(covered_count));
    return true;
}

} // namespace

member_store::member_store(file_system& files) : files_(files) {}

absl::StatusOr<std::string> member_store::read_durable(const std::string& name)
{
    // Other members count on what this member read at its start.
    if (absl::Status synced = files_.sync(name); !synced.ok()) {
        return synced;
    }
    return files_.read(name);
}

absl::StatusOr<member_id> member_store::open_identity(const std::string& name,
                                                      std::uint64_t new_disk_id)
{
    const absl::StatusOr<std::string> bytes = read_durable(identity_file);
    if (absl::IsNotFound(bytes.status())) {
        if (files_.read(log_file).ok() || files_.read(snapshot_file).ok()) {
            return data_loss("identity: missing although a log or snapshot exists");
        }
        const member_id id{name, new_disk_id};
        absl::Status written = files_.replace_and_sync(identity_file, make_frame(encode(id)));
        if (!written.ok()) {
            return written;
        }
        return id;
    }
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<frame_file_content> content = read_frames(identity_file, *bytes);
    if (!content.ok() || content->payloads.size() != 1) {
        return data_loss("identity: is not a single valid frame");
    }
    absl::StatusOr<member_id> id = decode<member_id>(content->payloads[0], identity_file);
    if (!id.ok()) {
        return data_loss("identity: cannot be decoded");
    }
    if (id->name != name) {
        return absl::FailedPreconditionError("identity: the data directory belongs to instance " +
                                             id->name);
    }
    return id;
}

absl::Status member_store::open_snapshot(stored_member& member)
{
    const absl::StatusOr<std::string> bytes = read_durable(snapshot_file);
    if (absl::IsNotFound(bytes.status())) {
        return absl::OkStatus();
    }
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<frame_file_content> content = read_frames(snapshot_file, *bytes);
    if (!content.ok() || content->payloads.size() != 1) {
        return data_loss("snapshot: is not a single valid frame");
    }
    absl::StatusOr<snapshot> base = decode<snapshot>(content->payloads[0], snapshot_file);
    if (!base.ok()) {
        return data_loss("snapshot: cannot be decoded");
    }
    member.state.base = std::move(*base);
    member.bytes_read += bytes->size();
    return absl::OkStatus();
}

absl::Status member_store::open_log(stored_member& member)
{
    const absl::StatusOr<std::string> bytes = read_durable(log_file);
    if (absl::IsNotFound(bytes.status())) {
        if (member.state.base.index != log_index(0)) {
            return data_loss("log: missing although a snapshot exists");
        }
        return absl::OkStatus();
    }
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<frame_file_content> content = read_frames(log_file, *bytes);
    if (!content.ok()) {
        return content.status();
    }
    member.bytes_read += bytes->size();
    member.frames_read = content->payloads.size();
    log_index base;
    std::vector<log_entry>& entries = member.state.entries;
    for (const std::string& payload : content->payloads) {
        absl::StatusOr<log_record> record = decode<log_record>(payload, log_file);
        if (!record.ok()) {
            return data_loss("log: a record cannot be decoded");
        }
        if (record->base_index) {
            base = *record->base_index;
            entries.clear();
        }
        member.state.hard = record->hard.value_or(member.state.hard);
        while (record->truncate_from && !entries.empty() &&
               entries.back().index >= *record->truncate_from) {
            entries.pop_back();
        }
        for (log_entry& entry : record->append) {
            if (entry.index.value() != base.value() + entries.size() + 1) {
                return data_loss("log: entries are not consecutive");
            }
            entries.push_back(std::move(entry));
        }
    }
    if (base > member.state.base.index) {
        return data_loss("snapshot: missing or older than the start of the log");
    }
    restarts_at_snapshot_ = !trim_to_snapshot(member.state.base, base, entries);
    base_index_ = member.state.base.index;
    base_term_ = member.state.base.term;
    log_bytes_ = content->valid_bytes;
    if (content->valid_bytes < bytes->size()) {
        return files_.truncate_and_sync(log_file, content->valid_bytes);
    }
    return absl::OkStatus();
}

absl::StatusOr<stored_member> member_store::open(const std::string& name, std::uint64_t new_disk_id)
{
    stored_member member;
    const absl::StatusOr<member_id> id = open_identity(name, new_disk_id);
    if (!id.ok()) {
        return id.status();
    }
    member.id = *id;
    if (absl::Status read = open_snapshot(member); !read.ok()) {
        return read;
    }
    if (absl::Status read = open_log(member); !read.ok()) {
        return read;
    }
    return member;
}

absl::Status member_store::persist(const raft_output& output)
{
    if (output.snapshot_to_install) {
        assert(output.hard && "an installed snapshot must come with the hard state");
        // Write the term and vote to the old log first: it stays in use until it is replaced, and a
        // crash before that must not lose them.
        raft_output hard_state_only;
        hard_state_only.hard = output.hard;
        if (absl::Status s = persist(hard_state_only); !s.ok()) {
            return s;
        }
        return persist_snapshot(*output.snapshot_to_install, *output.hard, output.append);
    }
    log_record record;
    if (restarts_at_snapshot_) {
        record.base_index = base_index_;
        record.base_term = base_term_;
    }
    record.hard = output.hard;
    record.truncate_from = output.truncate_from;
    record.append = output.append;
    if (torn_tail_) {
        // Remove the incomplete frame of a failed write before appending the next frame.
        absl::Status truncated = files_.truncate_and_sync(log_file, log_bytes_);
        if (!truncated.ok() && !absl::IsNotFound(truncated)) {
            return truncated;
        }
        torn_tail_ = false;
    }
    const std::string frame = make_frame(encode(record));
    absl::Status written = files_.append_and_sync(log_file, frame);
    torn_tail_ = !written.ok();
    log_bytes_ += torn_tail_ ? 0 : frame.size();
    restarts_at_snapshot_ = restarts_at_snapshot_ && torn_tail_;
    return written;
}

absl::Status member_store::replace_log(const snapshot& base, const hard_state& hard,
                                       const std::vector<log_entry>& entries)
{
    log_record record;
    record.base_index = base.index;
    record.base_term = base.term;
    record.hard = hard;
    record.append = entries;
    const std::string frame = make_frame(encode(record));
    absl::Status written = files_.replace_and_sync(log_file, frame);
    if (written.ok()) {
        log_bytes_ = frame.size();
        torn_tail_ = false;
        restarts_at_snapshot_ = false;
    }
    return written;
}

absl::Status member_store::persist_snapshot(const snapshot& s, const hard_state& hard,
                                            const std::vector<log_entry>& entries)
{
    absl::Status written = files_.replace_and_sync(snapshot_file, make_frame(encode(s)));
    if (!written.ok()) {
        return written;
    }
    return replace_log(s, hard, entries);
}

} // namespace fescuedyke
