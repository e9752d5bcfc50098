#include "fescuedyke/node/node_core.h"

#include <utility>

namespace fescuedyke {

namespace {

constexpr std::uint64_t region_burst_seconds = 2;
constexpr millis sweep_period{1000};

} // namespace

node_core::node_core(const node_settings& settings, random_source& random)
    : settings_(settings), owned_buckets_(settings.self, settings.self_incarnation),
      regions_(settings.region_bytes_per_second,
               settings.region_bytes_per_second * region_burst_seconds),
      chooser_(settings.location, settings.self, settings.routing, regions_),
      inbound_(settings_, owned_buckets_, accounts_, chooser_, dependencies_, pending_),
      outbound_(settings_, chooser_, regions_, dependencies_, inbound_, accounts_, random,
                pending_),
      handover_(settings_.registry)
{
}

node_core::~node_core() = default;

node_actions node_core::handle(const node_event& event, moment at)
{
    std::visit([&](const auto& e) { on(e, at); }, event);
    deliver_pending(at);
    return std::exchange(outgoing_, {});
}

void node_core::deliver_pending(moment at)
{
    cancel_children_of_ended(at);
    while (!pending_.empty()) {
        const node_actions batch = std::exchange(pending_, {});
        for (const node_action& action : batch) {
            if (!deliver_locally(action, at)) {
                outgoing_.push_back(action);
            }
            cancel_children_of_ended(at);
        }
    }
}

bool node_core::deliver_locally(const node_action& action, moment at)
{
    if (const auto* send = std::get_if<send_call>(&action)) {
        if (send->instance != settings_.self) {
            return false;
        }
        inbound_.on_call(send->context, send->request,
                         local_attempt{send->context.call, send->context.attempt}, at);
        return true;
    }
    if (const auto* cancel = std::get_if<cancel_call>(&action)) {
        if (cancel->instance != settings_.self) {
            return false;
        }
        inbound_.on_cancelled(local_attempt{cancel->call, cancel->attempt}, at);
        return true;
    }
    if (const auto* reply = std::get_if<reply_call>(&action)) {
        const auto* local = std::get_if<local_attempt>(&reply->to);
        if (local == nullptr) {
            return false;
        }
        outbound_.on_reply({local->call, local->attempt, reply->reply}, at);
        return true;
    }
    return false;
}

void node_core::cancel_children_of_ended(moment at)
{
    for (const inbound_id id : inbound_.take_ended()) {
        outbound_.on_parent_ended(id, at.now);
    }
}

bool node_core::idle() const
{
    return inbound_.idle() && outbound_.idle();
}

void node_core::on(const caller_request& event, moment at)
{
    outbound_.on_request(event, at);
}

void node_core::on(const caller_disconnected& event, moment at)
{
    outbound_.on_caller_disconnected(event.exchange, at.now);
}

void node_core::on(const peer_call& event, moment at)
{
    inbound_.on_call(event.context, event.request, event.stream, at);
}

void node_core::on(const peer_cancelled& event, moment at)
{
    inbound_.on_cancelled(event.stream, at);
}

void node_core::on(const peer_reply& event, moment at)
{
    outbound_.on_reply(event, at);
}

void node_core::on(const peer_failed& event, moment at)
{
    outbound_.on_peer_failed(event, at);
}

void node_core::on(const target_answered& event, moment at)
{
    const bool had_left = inbound_.target_has_left();
    inbound_.on_answered(event, at);
    if (!had_left && inbound_.target_has_left()) {
        owned_buckets_.release_all();
    }
}

void node_core::on(const target_failed& event, moment at)
{
    inbound_.on_failed(event, at);
}

void node_core::on(const target_call_resent& event, moment at)
{
    inbound_.on_resent(event, at.now);
}

void node_core::on(const target_announced& event, moment at)
{
    if (stopping_ || inbound_.announces_left_target(event)) {
        // The target may outlive the node, and go on to announce itself while it leaves: its
        // announcement must not open the node to new calls.
        return;
    }
    if (inbound_.draining()) {
        // Buckets released on leaving may have another owner by now, so this instance rejoins under
        // a new incarnation.
        owned_buckets_.rejoin(incarnation(owned_buckets_.self_incarnation().value() + 1));
    }
    inbound_.on_announced(event, at);
}

void node_core::on(const target_draining& event, moment at)
{
    (void)event;
    inbound_.on_draining(at.now);
    owned_buckets_.release_all();
}

void node_core::on(const node_stopping& event, moment at)
{
    (void)event;
    stopping_ = true;
    inbound_.on_draining(at.now);
    owned_buckets_.release_all();
}

void node_core::on(const node_refusing& event, moment at)
{
    (void)event;
    (void)at;
    outbound_.on_refusing();
}

void node_core::on(const node_ending& event, moment at)
{
    (void)event;
    outbound_.on_ending();
    inbound_.on_ending(at.now);
}

void node_core::on(const policies_updated& event, moment at)
{
    (void)at;
    outbound_.on_policies(event.policies);
    configured_ = true;
    policies_version_ = std::max(policies_version_, event.policies->version());
}

void node_core::on(const targets_updated& event, moment at)
{
    chooser_.on_view(*event.view, at.now);
}

void node_core::on(const owners_updated& event, moment at)
{
    outbound_.on_owners(event.table);
    owned_buckets_.on_table(*event.table, at.wall);
    if (!owner_table_ || event.table->version > owner_table_->version) {
        owner_table_ = event.table;
    }
}

void node_core::on(const lease_renewed& event, moment at)
{
    (void)at;
    owned_buckets_.on_lease_renewed(event.until, event.table_version);
}

void node_core::on(const records_handed_over& event, moment at)
{
    (void)at;
    inbound_.on_records_handed_over(event);
}

void node_core::on(const tick& event, moment at)
{
    (void)event;
    outbound_.expire(at.now);
    inbound_.expire(at);
    handover_.on_buckets_lost(owned_buckets_.take_lost_buckets(), at);
    if (owner_table_) {
        handover_.advance(*owner_table_, inbound_.registry(), chooser_, at, pending_);
    }
    if (at.now - last_sweep_ >= sweep_period) {
        last_sweep_ = at.now;
        dependencies_.remove_expired(at.now);
        chooser_.remove_expired(at.now);
    }
}

} // namespace fescuedyke
