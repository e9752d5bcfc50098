#ifndef FESCUEDYKE_MEMBERSHIP_VIEW_BUILDER_H
#define FESCUEDYKE_MEMBERSHIP_VIEW_BUILDER_H

#include "fescuedyke/membership/node_record.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// A node's view of targets, put together from what several members tell it.

namespace fescuedyke {

/// Keeps what each member told and merges it: the latest record of an instance counts, and a node
/// is there while any member that the view still counts says so.
class view_builder {
public:
    /// Takes over the changes that \p member told. Returns whether they could be used; otherwise
    /// the member must be asked for everything.
    bool on_delta(const std::string& member, const view_delta& delta);

    /// No longer counts what \p member told.
    void remove_member(const std::string& member);

    /// Returns the members whose word counts.
    std::vector<std::string> members() const;

    /// Returns the version to name when \p member is asked next, with its epoch.
    std::uint64_t known_version(const std::string& member) const;
    std::uint64_t known_epoch(const std::string& member) const;

    /// Returns whether anything changed since the last build.
    bool changed() const { return changed_; }

    /// Builds the merged view under the next version.
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
