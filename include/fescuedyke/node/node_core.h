#ifndef FESCUEDYKE_NODE_NODE_CORE_H
#define FESCUEDYKE_NODE_NODE_CORE_H

#include "fescuedyke/node/actions.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/node/inbound_calls.h"
#include "fescuedyke/node/node_settings.h"
#include "fescuedyke/node/outbound_calls.h"
#include "fescuedyke/node/record_handover.h"

/// \file
/// The decision logic of one node. It opens no sockets, starts no threads and reads no clocks.

namespace fescuedyke {

/// A deterministic state machine: it takes an event and the time, and returns the actions to be
/// carried out. The same events at the same times yield the same actions.
class node_core {
public:
    /// \p random supplies ids and random choices.
    node_core(const node_settings& settings, random_source& random);
    ~node_core();
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    node_actions handle(const node_event& event, moment at);

    /// Returns whether no call is open on either side.
    bool idle() const;

    /// Returns whether records are waiting to be handed over to the next owners of their buckets.
    bool has_pending_handover() const { return handover_.pending(); }

    /// Returns whether the node has received the policies that it needs to serve calls.
    bool configured() const { return configured_; }

    const node_settings& settings() const { return settings_; }
    const account& accounts() const { return accounts_; }
    const inbound_calls& inbound() const { return inbound_; }
    const outbound_calls& outbound() const { return outbound_; }
    const target_chooser& chooser() const { return chooser_; }
    const ownership& owned_buckets() const { return owned_buckets_; }
    config_version policies_version() const { return policies_version_; }

private:
    void on(const caller_request& event, moment at);
    void on(const caller_disconnected& event, moment at);
    void on(const peer_call& event, moment at);
    void on(const peer_cancelled& event, moment at);
    void on(const peer_reply& event, moment at);
    void on(const peer_failed& event, moment at);
    void on(const target_answered& event, moment at);
    void on(const target_failed& event, moment at);
    void on(const target_call_resent& event, moment at);
    void on(const target_announced& event, moment at);
    void on(const target_draining& event, moment at);
    void on(const node_stopping& event, moment at);
    void on(const node_refusing& event, moment at);
    void on(const node_ending& event, moment at);
    void on(const policies_updated& event, moment at);
    void on(const targets_updated& event, moment at);
    void on(const owners_updated& event, moment at);
    void on(const lease_renewed& event, moment at);
    void on(const records_handed_over& event, moment at);
    void on(const tick& event, moment at);

    bool deliver_locally(const node_action& action, moment at);
    void cancel_children_of_ended(moment at);
    void deliver_pending(moment at);

    node_settings settings_;
    node_actions pending_;
    node_actions outgoing_;
    account accounts_;
    ownership owned_buckets_;
    region_budget regions_;
    target_chooser chooser_;
    flow_dependencies dependencies_;
    inbound_calls inbound_;
    outbound_calls outbound_;
    record_handover handover_;
    std::shared_ptr<const bucket_table> owner_table_;
    config_version policies_version_;
    bool configured_ = false;
    bool stopping_ = false;
    instant last_sweep_;
};

} // namespace fescuedyke

#endif
