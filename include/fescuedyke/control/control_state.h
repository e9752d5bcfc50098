#ifndef FESCUEDYKE_CONTROL_CONTROL_STATE_H
#define FESCUEDYKE_CONTROL_CONTROL_STATE_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/membership/target_departure.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/support/ids.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The replicated state machine and its commands. Every member applies the same commands in the
/// same order and so reaches the same state.

namespace fescuedyke {

/// An active policy, or the tombstone of a removed policy.
struct policy_record {
    owner_name owner;
    std::string name;
    /// Source text of the policy as its owner wrote it; empty if it was removed.
    std::string yaml;
    /// Number of accepted changes to this policy, including removals.
    std::uint64_t version = 0;
    /// Version of the whole configuration in which this policy last changed.
    config_version changed_in;
    bool removed = false;
    bool is_private = false;
};

/// Creates, replaces or removes a policy.
struct policy_change {
    /// Idempotency key, chosen by the operator: a retry of a change carries the same id.
    std::string change_id;
    std::string operator_name;
    owner_name owner;
    std::string name;
    /// Version of the policy that the change is based on; 0 if there was none. The change is
    /// rejected as a conflict unless this is the current version.
    std::uint64_t based_on = 0;
    std::string yaml;
    bool remove = false;
    bool is_private = false;
};

/// Replaces the whole route document.
struct document_change {
    /// Idempotency key: a retry of a change carries the same id, every other change a different
    /// one.
    std::string change_id;
    /// Version of the document that the change is based on; 0 if there was none. The change is
    /// rejected as a conflict unless this is the current version.
    std::uint64_t based_on = 0;
    /// Chosen by the operator; must be greater than the current version.
    std::uint64_t version = 0;
    /// The document as the operator wrote it.
    payload text;
};

/// Returns the change id of a document that is based on the version \p base: a resent change has
/// the same id, a change with another document or another base version a different one.
std::string change_id_of(std::uint64_t base, const std::string& text);

/// The active route document; its version is 0 while there is none.
struct route_document {
    std::uint64_t version = 0;
    /// Version of the whole configuration in which the document last changed.
    config_version changed_in;
    payload text;
};

enum class change_code : std::uint8_t { accepted, conflict };

/// Result of a change. A retry gets the result of the first attempt.
struct change_result {
    change_code code = change_code::accepted;
    /// Version of the policy or route document after the change; 0 if there is none.
    std::uint64_t policy_version = 0;
    /// Version of the whole configuration after the change.
    config_version version;
};

/// Assigns buckets of one home to new owners. A grant with an empty owner revokes the bucket from
/// its current owner.
struct owner_change {
    struct grant {
        std::uint32_t bucket = 0;
        instance_id owner;
        incarnation owner_incarnation;
    };
    bucket_home home;
    std::vector<grant> grants;
};

using control_command =
    std::variant<policy_change, owner_change, document_change, target_departure>;

/// Returns a key that identifies a policy among those of all owners.
std::string policy_key(const owner_name& owner, const std::string& name);

/// The state that results from applying the commands of the replicated log.
class control_state {
public:
    /// Applies \p change and stores its result under its change id. If a result is already stored
    /// for that id, returns it and changes nothing.
    change_result apply(const policy_change& change);
    void apply(const owner_change& change);
    change_result apply(const document_change& change);
    /// Records the departure. The oldest one is forgotten when there are too many.
    void apply(const target_departure& departure);

    /// Returns whether a recorded departure covers \p departure.
    bool has_departed(const target_departure& departure) const;

    /// Returns the stored result of the change with this id, or nullptr.
    const change_result* find_result(const std::string& change_id) const;

    config_version version() const { return version_; }
    const std::map<std::string, policy_record>& policies() const { return policies_; }
    const bucket_table& owners() const { return owners_; }
    const route_document& document() const { return document_; }

    /// Returns the policies that changed after version \p known, including tombstones.
    std::vector<policy_record> changed_since(config_version known) const;

    std::string encode_snapshot() const;
    /// Fails with kDataLoss if \p bytes is not a valid snapshot.
    static absl::StatusOr<control_state> decode_snapshot(const std::string& bytes);

private:
    void store_result(const std::string& change_id, const change_result& result);

    config_version version_;
    std::map<std::string, policy_record> policies_;
    bucket_table owners_;
    route_document document_;
    std::map<std::string, change_result> results_;
    /// Change ids of results_, oldest first.
    std::deque<std::string> result_order_;
    /// The latest departure of each identity, and the identities in the order in which they were
    /// first recorded.
    std::map<std::string, target_departure> departures_;
    std::deque<std::string> departure_order_;
};

std::string encode_command(const control_command& command);
absl::StatusOr<control_command> decode_command(const std::string& bytes);

} // namespace fescuedyke

#endif
