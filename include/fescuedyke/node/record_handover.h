#ifndef FESCUEDYKE_NODE_RECORD_HANDOVER_H
#define FESCUEDYKE_NODE_RECORD_HANDOVER_H

#include "fescuedyke/node/actions.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/routing/target_chooser.h"

#include <vector>

/// \file
/// Hands over the records of released buckets to their next owners, so that they know
/// which keys have already run.

namespace fescuedyke {

/// Holds lost buckets until they can be handed over: the next owner must be known, and no key of
/// the bucket may still be running on this node.
class record_handover {
public:
    explicit record_handover(const run_registry_settings& settings);

    /// Schedules the handover of buckets that this instance no longer holds.
    void on_buckets_lost(const std::vector<ownership::lost_bucket>& lost, moment at);

    /// Hands over every waiting bucket that is ready, and drops those that have waited too long.
    void advance(const bucket_table& table, const run_registry& registry,
                 const target_chooser& chooser, moment at, node_actions& actions);

    bool pending() const { return !waiting_.empty(); }

private:
    struct waiting_bucket {
        ownership::lost_bucket bucket;
        instant since;
    };

    run_registry_settings settings_;
    std::vector<waiting_bucket> waiting_;
};

} // namespace fescuedyke

#endif
