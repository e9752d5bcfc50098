#ifndef FESCUEDYKE_ROUTING_FLOW_LEVELS_H
#define FESCUEDYKE_ROUTING_FLOW_LEVELS_H

#include "fescuedyke/call/rank.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <set>
#include <tuple>

/// \file
/// Admission levels of whole chains of calls, kept apart by flow: two flows through one service
/// may go on to different services below it.

namespace fescuedyke {

/// The chain levels that replies have reported.
class flow_levels {
public:
    /// \p instance of \p service reported \p level for \p flow.
    void on_reply(const service_name& service, flow_id flow, const instance_id& instance,
                  rank level, instant now);

    /// Returns the level reported by \p instance, relaxed by its age; the worst rank if none was.
    rank level(const service_name& service, flow_id flow, const instance_id& instance,
               instant now) const;

    /// Drops what is too old to matter.
    void evict_expired(instant now);

    std::size_t size() const { return levels_.size(); }

private:
    struct key {
        service_name service;
        flow_id flow;
        instance_id instance;

        friend bool operator<(const key& a, const key& b)
        {
            if (a.flow != b.flow) {
                return a.flow < b.flow;
            }
            return std::tie(a.service, a.instance) < std::tie(b.service, b.instance);
        }
    };
    struct reported {
        rank level;
        instant at;
    };

    std::map<key, reported> levels_;
};

/// The services that the calls of each flow were sent on to from one node.
class flow_dependencies {
public:
    void on_call(flow_id flow, const service_name& service, instant now);

    /// A reply of \p service told how many hops of \p flow are below it.
    void on_reply(flow_id flow, const service_name& service, int hops_below, instant now);

    /// Returns the hops known to be below \p service; \p otherwise while nothing is known.
    int hops_below(flow_id flow, const service_name& service, int otherwise) const;

    /// Returns the services called of late below \p flow.
    std::set<service_name> services(flow_id flow, instant now) const;

    /// Drops what is too old to matter.
    void evict_expired(instant now);

private:
    struct told_hops {
        int hops = 0;
        instant at;
    };

    std::map<flow_id, std::map<service_name, instant>> used_;
    std::map<std::pair<flow_id, service_name>, told_hops> hops_;
};

} // namespace fescuedyke

#endif
