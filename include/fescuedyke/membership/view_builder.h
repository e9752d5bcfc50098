#ifndef FESCUEDYKE_MEMBERSHIP_VIEW_BUILDER_H
#define FESCUEDYKE_MEMBERSHIP_VIEW_BUILDER_H

#include "fescuedyke/membership/node_record.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// Builds a node's view of the targets from the deltas of several members.

namespace fescuedyke {

/// Keeps the state received from each member and merges it. The latest record of an instance takes
/// precedence; a node is live while any included member reports that record as live.
class view_builder {
public:
    /// Applies the changes received from \p member. Returns false if they do not apply to the known
    /// state; the full state must then be requested from the member.
    bool on_delta(const std::string& member, const view_delta& delta);

    /// Discards the state received from \p member.
    void remove_member(const std::string& member);

    /// Returns the names of the members whose state is included.
    std::vector<std::string> members() const;

    /// Returns the version and the epoch to send with the next poll of \p member.
    std::uint64_t known_version(const std::string& member) const;
    std::uint64_t known_epoch(const std::string& member) const;

    /// Returns whether anything changed since the last build.
    bool changed() const { return changed_; }

    /// Builds the merged view and assigns it the next version.
    target_view build();

private:
    struct member_view {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
        std::map<instance_id, node_status> nodes;
    };

    std::map<std::string, member_view> members_;
    std::uint64_t version_ = 0;
    bool changed_ = false;
};

} // namespace fescuedyke

#endif
