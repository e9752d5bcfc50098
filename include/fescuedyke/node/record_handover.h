#ifndef FESCUEDYKE_NODE_RECORD_HANDOVER_H
#define FESCUEDYKE_NODE_RECORD_HANDOVER_H

#include "fescuedyke/node/actions.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/routing/target_chooser.h"

#include <vector>

/// \file
/// Hands the records of buckets that were given up to their next owners, so that these know all
/// that ran before.

namespace fescuedyke {

/// A bucket is handed over once its next owner is known and none of its keys is still running here.
class record_handover {
public:
    explicit record_handover(const run_registry_settings& settings);

    /// The instance no longer holds these buckets.
    void on_buckets_lost(const std::vector<ownership::lost_bucket>& lost, moment at);

    /// Hands over what can be handed over by now.
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
