#ifndef FESCUEDYKE_ROUTING_FLOW_LEVELS_H
#define FESCUEDYKE_ROUTING_FLOW_LEVELS_H

#include "fescuedyke/call/rank.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <map>
#include <set>
#include <tuple>

/// \file
/// Admission levels and dependencies of call chains. They are kept per flow, because two flows
/// through the same service may continue to different services.

namespace fescuedyke {

/// Stores the chain levels that replies have reported.
class flow_levels {
public:
    /// Records that \p instance of \p service reported \p level for \p flow.
    void on_reply(const service_name& service, flow_id flow, const instance_id& instance,
                  rank level, instant now);

    /// Returns the level that \p instance reported, relaxed by its age, or rank::max() if it
    /// reported none.
    rank level(const service_name& service, flow_id flow, const instance_id& instance,
               instant now) const;

    /// Removes entries that are past their lifetime.
    void remove_expired(instant now);

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
    struct level_report {
        rank level;
        instant reported_at;
    };

    std::map<key, level_report> levels_;
};

/// Tracks the services that one node calls for each flow.
class flow_dependencies {
public:
    void on_call(flow_id flow, const service_name& service, instant now);

    /// Records that \p service reported \p hops_below hops below itself for \p flow.
    void on_reply(flow_id flow, const service_name& service, int hops_below, instant now);

    /// Returns the number of hops below \p service, or \p default_hops if it is not known.
    int hops_below(flow_id flow, const service_name& service, int default_hops) const;

    /// Returns the services that were recently called for \p flow.
    std::set<service_name> services(flow_id flow, instant now) const;

    /// Removes entries that are past their lifetime.
    void remove_expired(instant now);

private:
    struct reported_hops {
        int hops = 0;
        instant reported_at;
    };

    std::map<flow_id, std::map<service_name, instant>> last_calls_;
    std::map<std::pair<flow_id, service_name>, reported_hops> hops_;
};

} // namespace fescuedyke

#endif
