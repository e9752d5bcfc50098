#ifndef FESCUEDYKE_CONTROL_CONTROL_STATE_H
#define FESCUEDYKE_CONTROL_CONTROL_STATE_H

#include "fescuedyke/call/message.h"
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
/// The replicated state and the commands that change it. Every member applies the same commands in
/// the same order and comes to the same state.

namespace fescuedyke {

/// One policy as it is in force, or the memory of one that was removed.
struct policy_record {
    owner_name owner;
    std::string name;
    /// The policy as its owner wrote it.
    std::string yaml;
    /// Counts the changes of this policy.
    std::uint64_t version = 0;
    /// Version of the whole configuration that made the change.
    config_version changed_in;
    bool removed = false;
    bool is_private = false;
};

/// Puts a policy in place, or removes it.
struct policy_change {
    /// Chosen by the operator; a resent change has the same.
    std::string change_id;
    std::string operator_name;
    owner_name owner;
    std::string name;
    /// Version of the policy that the change was made against; 0 when there was none.
    std::uint64_t based_on = 0;
    std::string yaml;
    bool remove = false;
    bool is_private = false;
};

/// Puts a whole document of routes in the place of the one in force.
struct document_change {
    /// The same for a resend, another for every other change.
    std::string change_id;
    /// Version of the document that the change was made against; 0 when there was none.
    std::uint64_t based_on = 0;
    /// Chosen by the operator; must be above the version in force.
    std::uint64_t version = 0;
    /// The document as the operator wrote it.
    payload text;
};

/// The document of routes in force; its version is 0 while there is none.
struct route_document {
    std::uint64_t version = 0;
    /// Version of the whole configuration that made the change.
    config_version changed_in;
    payload text;
};

enum class change_code : std::uint8_t { accepted, conflict };

/// The answer to a change; a resend gets the same.
struct change_result {
    change_code code = change_code::accepted;
    /// Version of the policy, or of the document, now in force.
    std::uint64_t policy_version = 0;
    /// Version of the whole configuration after the change.
    config_version version;
};

/// New owners of some buckets of one home; an empty owner takes a bucket back.
struct owner_change {
    struct grant {
        std::uint32_t bucket = 0;
        instance_id owner;
        incarnation owner_incarnation;
    };
    bucket_home home;
    std::vector<grant> grants;
};

using control_command = std::variant<policy_change, owner_change, document_change>;

/// Names a policy among those of all owners.
std::string policy_key(const owner_name& owner, const std::string& name);

/// The state machine behind the log.
class control_state {
public:
    /// Applies \p change and remembers its result under its change id.
    change_result apply(const policy_change& change);
    void apply(const owner_change& change);
    change_result apply(const document_change& change);

    /// Returns the result of an earlier change with this id, or nullptr.
    const change_result* find_result(const std::string& change_id) const;

    config_version version() const { return version_; }
    const std::map<std::string, policy_record>& policies() const { return policies_; }
    const bucket_table& owners() const { return owners_; }
    const route_document& document() const { return document_; }

    /// Returns the policies that changed after \p known, removed ones included.
    std::vector<policy_record> changed_since(config_version known) const;

    std::string encode_snapshot() const;
    /// Fails with kDataLoss when \p bytes is no snapshot.
    static absl::StatusOr<control_state> decode_snapshot(const std::string& bytes);

private:
    void store_result(const std::string& change_id, const change_result& result);

    config_version version_;
    std::map<std::string, policy_record> policies_;
    bucket_table owners_;
    route_document document_;
    std::map<std::string, change_result> results_;
    std::deque<std::string> result_order_;
};

std::string encode_command(const control_command& command);
absl::StatusOr<control_command> decode_command(const std::string& bytes);

} // namespace fescuedyke

#endif
