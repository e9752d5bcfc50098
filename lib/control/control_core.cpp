#include "fescuedyke/control/control_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

control_core::control_core(const control_settings& settings, const member_entry& self,
                           const member_list& initial_members, const stored_member& stored,
                           std::uint64_t epoch, member_store& store, account_store& accounts,
                           random_source& random)
    : settings_(settings), self_(self), store_(store), accounts_(accounts),
      account_copier_(settings.account_copies, accounts),
      raft_(settings.raft, self, initial_members, stored.state, random),
      leases_(settings.membership, epoch), planner_(settings.ownership)
{
    if (stored.state.base.index > log_index(0)) {
        restore(stored.state.base);
    }
}

control_actions control_core::handle(const control_event& event, moment at)
{
    std::visit([&](const auto& e) { on(e, at); }, event);
    run_raft(at.now);
    return std::exchange(actions_, {});
}

void control_core::run_raft(instant now)
{
    if (unpersisted_output_ && now >= persist_retry_at_) {
        disk_status_ = absl::OkStatus();
    }
    while (disk_status_.ok()) {
        raft_output output =
            unpersisted_output_ ? std::move(*unpersisted_output_) : raft_.take_output();
        unpersisted_output_.reset();
        const bool persists = output.must_persist();
        if (persists && !persist(output, now)) {
            return;
        }
        if (output.snapshot_to_install) {
            restore(*output.snapshot_to_install);
        }
        for (outgoing_message& m : output.messages) {
            actions_.emplace_back(send_consensus{m.address, std::move(m.message)});
        }
        for (const log_entry& entry : output.committed) {
            apply(entry, now);
        }
        update_leadership(now);
        if (!persists && output.committed.empty()) {
            break;
        }
    }
}

bool control_core::persist(const raft_output& output, instant now)
{
    disk_status_ = store_.persist(output);
    if (disk_status_.ok()) {
        raft_.on_persisted();
        return true;
    }
    fail_pending_changes(change_outcome::unknown);
    // No message that depends on the write has been sent, so it is safe to retry it later.
    unpersisted_output_ = output;
    persist_retry_at_ = now + settings_.disk_retry_period;
    return false;
}

void control_core::restore(const snapshot& base)
{
    absl::StatusOr<control_state> state = control_state::decode_snapshot(base.data);
    if (!state.ok()) {
        disk_status_ = state.status();
        return;
    }
    state_ = std::move(*state);
    applied_ = base.index;
}

void control_core::apply(const log_entry& entry, instant now)
{
    (void)now;
    assert(entry.index.value() == applied_.value() + 1 && "entries must be applied in order");
    applied_ = entry.index;
    if (pending_owner_change_ && applied_ >= *pending_owner_change_) {
        pending_owner_change_.reset();
    }
    if (entry.kind != entry_kind::command) {
        return;
    }
    const absl::StatusOr<control_command> command = decode_command(entry.data);
    if (!command.ok()) {
        disk_status_ = absl::DataLossError("log: a committed command cannot be decoded");
        return;
    }
    if (const auto* owners = std::get_if<owner_change>(&*command)) {
        state_.apply(*owners);
    }
    if (const auto* departure = std::get_if<target_departure>(&*command)) {
        state_.apply(*departure);
        answer_recorded_departures();
    }
    if (const auto* change = std::get_if<policy_change>(&*command)) {
        apply_change(*change);
    }
    if (const auto* change = std::get_if<document_change>(&*command)) {
        apply_change(*change);
    }
    if (applied_.value() - raft_.log().base().index.value() >= settings_.entries_per_snapshot) {
        take_snapshot();
    }
}

template <class Change> void control_core::apply_change(const Change& change)
{
    const change_result result = state_.apply(change);
    const auto pending = pending_changes_.find(change.change_id);
    if (pending == pending_changes_.end()) {
        return;
    }
    for (const pending_request& r : pending->second) {
        actions_.emplace_back(answer_change{r.request, change_outcome::committed, result, {}});
    }
    pending_changes_.erase(pending);
}

void control_core::take_snapshot()
{
    const snapshot s = raft_.make_snapshot(applied_, state_.encode_snapshot());
    const std::uint64_t remaining_count = raft_.log().last_index().value() - applied_.value();
    const std::vector<log_entry> remaining =
        raft_.log().slice(log_index(applied_.value() + 1), remaining_count);
    // If the snapshot cannot be written, it is retried with the next applied entry.
    if (store_.persist_snapshot(s, raft_.hard(), remaining).ok()) {
        raft_.on_snapshot_persisted(s);
    }
}

void control_core::update_leadership(instant now)
{
    const bool leads = raft_.is_leader();
    if (leads == was_leader_) {
        return;
    }
    was_leader_ = leads;
    pending_owner_change_.reset();
    if (leads) {
        first_own_entry_ = raft_.log().last_index();
        planner_.on_elected(now);
        return;
    }
    fail_pending_changes(change_outcome::unknown);
}

void control_core::fail_pending_changes(change_outcome outcome)
{
    for (const auto& [id, requests] : pending_changes_) {
        for (const pending_request& r : requests) {
            actions_.emplace_back(answer_change{r.request, outcome, {}, leader_api()});
        }
    }
    pending_changes_.clear();
    for (const pending_departure& p : pending_departures_) {
        actions_.emplace_back(
            answer_departure{p.request.request, make_departure_reply(false, false)});
    }
    pending_departures_.clear();
}

std::optional<endpoint> control_core::leader_api() const
{
    if (!raft_.leader()) {
        return std::nullopt;
    }
    for (const member_entry& m : raft_.log().members()) {
        if (m.id == *raft_.leader()) {
            return m.api_address;
        }
    }
    return std::nullopt;
}

void control_core::on(const consensus_received& event, moment at)
{
    if (disk_status_.ok()) {
        raft_.receive(event.message, at.now);
    }
}

bool control_core::knows_all_commits(instant now) const
{
    // No other member has led since the lease was confirmed.
    return raft_.holds_leader_lease(now) && applied_ >= first_own_entry_ && disk_status_.ok();
}

bool control_core::grants_leases(instant now) const
{
    // Before this leader grants a lease, it must have applied every command that former leaders
    // committed, and no owner change may be pending.
    return knows_all_commits(now) && !pending_owner_change_;
}

owner_delta control_core::owners_since(std::uint64_t known) const
{
    owner_delta delta;
    if (known >= state_.owners().version) {
        return delta;
    }
    for (const auto& [home, grants] : state_.owners().homes) {
        for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
            if (grants[i].changed_in > known) {
                delta[home][i] = grants[i];
            }
        }
    }
    return delta;
}

poll_reply control_core::make_poll_reply(const node_poll& poll, instant now)
{
    poll_reply reply;
    reply.member = self_.id.name;
    reply.members = raft_.log().members();
    reply.leader = raft_.leader() ? raft_.leader()->name : "";
    reply.quorum_confirmation_age = quorum_confirmation_age(now);
    reply.version = state_.version();
    reply.policies = state_.changed_since(poll.active_config_version);
    if (state_.document().changed_in > poll.active_config_version) {
        reply.document = state_.document();
    }
    reply.owners_version = state_.owners().version;
    reply.owners = owners_since(poll.owners_version);
    reply.view = leases_.view_changes_since(poll.view_epoch, poll.view_version);
    const bool ready = poll.record.target && poll.record.target->state == target_state::ready;
    if (poll.wants_lease && ready && grants_leases(now)) {
        reply.lease = planner_.grant_lease(poll.record.instance, poll.record.node_incarnation,
                                           poll.owners_version, now);
    }
    return reply;
}

void control_core::on(const poll_received& event, moment at)
{
    leases_.on_report(event.poll.record, event.poll.active_config_version, at.now);
    actions_.emplace_back(answer_poll{event.request, make_poll_reply(event.poll, at.now)});
}

std::map<region_name, region_progress> control_core::progress() const
{
    std::map<region_name, region_progress> regions;
    for (const auto& [instance, status] : leases_.nodes()) {
        if (!status.live) {
            continue;
        }
        region_progress& p = regions[status.record.location.region];
        p.lowest_version = p.nodes == 0 ? status.active_config_version
                                        : std::min(p.lowest_version, status.active_config_version);
        p.behind += status.active_config_version < state_.version() ? 1 : 0;
        ++p.nodes;
    }
    return regions;
}

member_sync control_core::make_sync(const std::string& to) const
{
    member_sync sync;
    sync.member = self_.id.name;
    if (const auto received = received_from_.find(to); received != received_from_.end()) {
        sync.known_epoch = received->second.epoch;
        sync.known_version = received->second.version;
    }
    const auto acknowledged = acknowledged_by_.find(to);
    const sync_position from =
        acknowledged == acknowledged_by_.end() ? sync_position{} : acknowledged->second;
    sync.delta = leases_.held_changes_since(from.epoch, from.version);
    return sync;
}

void control_core::apply_sync(const member_sync& sync, instant now)
{
    acknowledged_by_[sync.member] = {sync.known_epoch, sync.known_version};
    const std::uint64_t version = leases_.on_member_delta(sync.member, sync.delta, now);
    received_from_[sync.member] = {sync.delta.epoch, version};
}

void control_core::on(const member_sync_received& event, moment at)
{
    apply_sync(event.sync, at.now);
    actions_.emplace_back(answer_member_sync{event.request, make_sync(event.sync.member)});
}

void control_core::on(const member_sync_reply_received& event, moment at)
{
    apply_sync(event.sync, at.now);
}

void control_core::on(const account_report_received& event, moment at)
{
    accounts_.on_report(event.report, at.now);
}

void control_core::on(const account_copies_received& event, moment at)
{
    (void)at;
    for (const account_copy& copy : event.copies.copies) {
        accounts_.on_copy(copy);
    }
    account_copies_reply reply;
    if (disk_status_.ok()) {
        account_flush_status_ = accounts_.flush();
        reply.stored = account_flush_status_.ok();
    }
    actions_.emplace_back(answer_account_copies{event.request, reply});
}

void control_core::on(const account_copies_stored& event, moment at)
{
    (void)at;
    account_copier_.on_stored(event.member, event.number);
}

template <class Change>
void control_core::propose_change(request_id request, const Change& change, instant now)
{
    if (!raft_.is_leader() || !disk_status_.ok() || stopping_) {
        actions_.emplace_back(answer_change{request, change_outcome::not_leader, {}, leader_api()});
        return;
    }
    // Retries of a change that is committed or pending get the result of the first attempt. Changes
    // committed under former leaders are all known once this leader's first entry is applied.
    const change_result* known_result = state_.find_result(change.change_id);
    if (known_result != nullptr) {
        actions_.emplace_back(answer_change{request, change_outcome::committed, *known_result, {}});
        return;
    }
    const bool already_pending = pending_changes_.count(change.change_id) != 0;
    pending_changes_[change.change_id].push_back({request, now});
    if (already_pending) {
        return;
    }
    const absl::StatusOr<log_index> proposed = raft_.propose(encode_command(change), now);
    assert(proposed.ok() && "a leader must accept proposals");
    (void)proposed;
}

void control_core::on(const policy_change_requested& event, moment at)
{
    propose_change(event.request, event.change, at.now);
}

void control_core::on(const document_change_requested& event, moment at)
{
    propose_change(event.request, event.change, at.now);
}

void control_core::on(const document_read_requested& event, moment at)
{
    if (!raft_.is_leader() || !disk_status_.ok() || stopping_) {
        actions_.emplace_back(
            answer_document{event.request, change_outcome::not_leader, {}, leader_api()});
        return;
    }
    pending_reads_.push_back({event.request, at.now});
}

void control_core::answer_pending_reads(instant now)
{
    std::vector<pending_request> still_pending;
    for (const pending_request& r : pending_reads_) {
        const bool leads = raft_.is_leader() && disk_status_.ok();
        // A quorum has confirmed a heartbeat round that was sent after the read was received.
        const bool confirmed =
            leads && raft_.quorum_confirmed_at() > r.received_at && applied_ >= first_own_entry_;
        if (confirmed) {
            actions_.emplace_back(
                answer_document{r.request, change_outcome::committed, state_.document(), {}});
        }
        else if (!leads || now - r.received_at >= settings_.change_timeout) {
            actions_.emplace_back(
                answer_document{r.request, change_outcome::unknown, {}, leader_api()});
        }
        else {
            still_pending.push_back(r);
        }
    }
    pending_reads_ = std::move(still_pending);
}

void control_core::plan_owners(instant now)
{
    const bool due = settings_.assigns_keys && now - last_plan_at_ >= settings_.plan_period;
    if (!due || !grants_leases(now)) {
        return;
    }
    last_plan_at_ = now;
    const std::optional<owner_change> change =
        planner_.plan(state_.owners(), leases_.live_nodes(), now);
    if (!change) {
        return;
    }
    const absl::StatusOr<log_index> proposed = raft_.propose(encode_command(*change), now);
    if (proposed.ok()) {
        pending_owner_change_ = *proposed;
    }
}

void control_core::sync_members(instant now)
{
    if (now - last_sync_at_ < settings_.member_sync_period) {
        return;
    }
    last_sync_at_ = now;
    for (const member_entry& m : raft_.log().members()) {
        if (m.id.name == self_.id.name) {
            continue;
        }
        actions_.emplace_back(send_member_sync{m.address, make_sync(m.id.name)});
        std::optional<account_copies> copies = account_copier_.next_message(m.id, now);
        if (copies) {
            actions_.emplace_back(send_account_copies{m.address, m.id, std::move(*copies)});
        }
    }
}

void control_core::time_out_changes(instant now)
{
    for (auto it = pending_changes_.begin(); it != pending_changes_.end();) {
        std::vector<pending_request>& requests = it->second;
        const auto expired =
            std::stable_partition(requests.begin(), requests.end(), [&](const pending_request& r) {
                return now - r.received_at < settings_.change_timeout;
            });
        for (auto r = expired; r != requests.end(); ++r) {
            actions_.emplace_back(
                answer_change{r->request, change_outcome::unknown, {}, leader_api()});
        }
        requests.erase(expired, requests.end());
        it = requests.empty() ? pending_changes_.erase(it) : std::next(it);
    }
}

void control_core::on(const control_tick& event, moment at)
{
    (void)event;
    leases_.expire(at.now);
    time_out_changes(at.now);
    time_out_departures(at.now);
    sync_members(at.now);
    if (at.now - last_flush_at_ >= settings_.account_flush_period && disk_status_.ok()) {
        last_flush_at_ = at.now;
        // Reports that cannot be written are kept in memory and retried.
        account_flush_status_ = accounts_.flush();
    }
    answer_pending_reads(at.now);
    if (!disk_status_.ok()) {
        return;
    }
    raft_.tick(at.now);
    if (!stopping_) {
        plan_owners(at.now);
    }
}

void control_core::on(const control_stopping& event, moment at)
{
    (void)event;
    stopping_ = true;
    if (disk_status_.ok()) {
        account_flush_status_ = accounts_.flush();
        raft_.transfer_leadership(at.now);
    }
}

} // namespace fescuedyke
