#include "fescuedyke/control/control_core.h"

#include <algorithm>
#include <cassert>

/// \file
/// The record of departed targets in the state machine of a control member.

namespace fescuedyke {

departure_reply control_core::make_departure_reply(bool decided, bool departed) const
{
    return {decided, departed, raft_.leader() ? raft_.leader()->name : ""};
}

void control_core::on(const departure_received& event, moment at)
{
    const target_departure& departure = event.message.departure;
    const bool leads = raft_.is_leader() && disk_status_.ok() && !stopping_;
    // A recorded departure is committed, whoever knows it.
    const bool departed = state_.has_departed(departure);
    if (departed || !event.message.leaves || !leads) {
        const bool decided = departed || (!event.message.leaves && knows_all_commits(at.now));
        actions_.emplace_back(
            answer_departure{event.request, make_departure_reply(decided, departed)});
        return;
    }
    const bool already_pending =
        std::any_of(pending_departures_.begin(), pending_departures_.end(),
                    [&](const pending_departure& p) { return p.departure.covers(departure); });
    pending_departures_.push_back({{event.request, at.now}, departure});
    if (!already_pending) {
        const absl::StatusOr<log_index> proposed = raft_.propose(encode_command(departure), at.now);
        assert(proposed.ok() && "a leader must accept proposals");
        (void)proposed;
    }
}

void control_core::answer_recorded_departures()
{
    const auto recorded = std::stable_partition(
        pending_departures_.begin(), pending_departures_.end(),
        [&](const pending_departure& p) { return !state_.has_departed(p.departure); });
    for (auto p = recorded; p != pending_departures_.end(); ++p) {
        actions_.emplace_back(
            answer_departure{p->request.request, make_departure_reply(true, true)});
    }
    pending_departures_.erase(recorded, pending_departures_.end());
}

void control_core::time_out_departures(instant now)
{
    const auto expired = std::stable_partition(
        pending_departures_.begin(), pending_departures_.end(), [&](const pending_departure& p) {
            return now - p.request.received_at < settings_.change_timeout;
        });
    for (auto p = expired; p != pending_departures_.end(); ++p) {
        actions_.emplace_back(
            answer_departure{p->request.request, make_departure_reply(false, false)});
    }
    pending_departures_.erase(expired, pending_departures_.end());
}

} // namespace fescuedyke
