#ifndef FESCUEDYKE_ROUTING_TARGET_MEMORY_H
#define FESCUEDYKE_ROUTING_TARGET_MEMORY_H

#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/call_rate.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

/// \file
/// What a node remembers of the targets that it called, beyond restarts of the nodes beside them.

namespace fescuedyke {

/// Remembers what targets stated, by the start of the target. A target without an identity cannot
/// be recognized behind another start of its node, so nothing is remembered of it.
class target_memory {
public:
    /// Records the rate limit of \p target that its node reported; no value if there is none.
    void on_rate_limit(const target_info& target, std::optional<call_rate> limit, instant now);
    std::optional<call_rate> rate_limit(const target_info& target) const;

    /// Records that \p target leaves. It does not return before it starts again.
    void on_left(const target_info& target, instant now);
    bool has_left(const target_info& target) const;

    /// Extends the memory of the targets of \p view.
    void on_view(const target_view& view, instant now);
    /// Removes the targets that have not been in the view for some time.
    void remove_expired(instant now);

    std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::optional<call_rate> rate_limit;
        bool has_left = false;
        instant seen_at;
    };
    using key = std::tuple<service_name, std::string, std::uint64_t>;

    static key key_of(const target_info& target);

    std::map<key, record> records_;
};

} // namespace fescuedyke

#endif
