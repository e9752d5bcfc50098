#include "fescuedyke/consensus/raft_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

const char* to_string(raft_role role)
{
    switch (role) {
    case raft_role::follower:
        return "follower";
    case raft_role::pre_candidate:
        return "pre-candidate";
    case raft_role::candidate:
        return "candidate";
    case raft_role::leader:
        return "leader";
    }
    return "follower";
}

raft_core::raft_core(const raft_settings& settings, member_entry self, member_list initial_members,
                     durable_state state, random_source& random)
    : settings_(settings), self_(self.id), self_entry_(std::move(self)), random_(random),
      hard_(state.hard),
      log_(std::move(state.base), std::move(state.entries), std::move(initial_members)),
      commit_index_(log_.base().index), delivered_index_(log_.base().index),
      persisted_index_(log_.last_index())
{
}

void raft_core::reset_election_timer(instant now)
{
    const auto range_ms = static_cast<std::uint64_t>(settings_.election_timeout.count());
    const auto jitter_ms = static_cast<std::int64_t>(draw_below(random_, range_ms));
    election_due_ = now + settings_.election_timeout + millis(jitter_ms);
    election_timer_started_ = true;
}

void raft_core::start_first_election_timer(instant now)
{
    reset_election_timer(now);
    if (!log_.empty()) {
        // Spread the elections over the whole timeout, so that few members start one at once.
        const auto range_ms = static_cast<std::uint64_t>(settings_.first_election_timeout.count());
        election_due_ = now + millis(1 + static_cast<std::int64_t>(draw_below(random_, range_ms)));
    }
    else if (starts_bootstrap_election()) {
        election_due_ = now + settings_.election_timeout;
    }
}

void raft_core::tick(instant now)
{
    if (!election_timer_started_) {
        start_first_election_timer(now);
    }
    if (role_ == raft_role::leader) {
        tick_leader(now);
        return;
    }
    if (now < election_due_) {
        return;
    }
    // A member that was removed while it was offline learns of it only from the response to a join
    // request, so that it also sends requests when its own log lists it as a voter.
    if (log_.empty() || !is_voter() || settings_.desired_voters > 0) {
        send_join_requests(now);
    }
    if (is_voter() && (!log_.empty() || starts_bootstrap_election())) {
        start_election(true, false, now);
    }
}

bool raft_core::starts_bootstrap_election() const
{
    // The election needs the votes of all initial members, so that further candidates would only
    // split them.
    const member_list& members = log_.members();
    return std::all_of(members.begin(), members.end(),
                       [&](const member_entry& m) { return !m.voter || self_.name <= m.id.name; });
}

void raft_core::tick_leader(instant now)
{
    update_quorum_confirmation(now);
    const bool quorum_lost = now - quorum_confirmed_at_ > settings_.election_timeout * 2;
    if (quorum_lost) {
        become_follower(hard_.term, now);
        return;
    }
    // Changes also broadcast, and must not put off the maintenance.
    if (now - last_maintenance_ >= settings_.heartbeat_interval) {
        last_maintenance_ = now;
        maintain_membership(now);
    }
    if (now - last_broadcast_ >= settings_.heartbeat_interval) {
        broadcast(now);
    }
}

void raft_core::become_follower(log_term term, instant now)
{
    if (term > hard_.term) {
        hard_.term = term;
        hard_.voted_for = {};
        output_.hard = hard_;
    }
    if (role_ == raft_role::leader) {
        leader_.reset();
    }
    role_ = raft_role::follower;
    votes_.clear();
    reset_election_timer(now);
}

void raft_core::start_election(bool pre_vote, bool leadership_transfer, instant now)
{
    reset_election_timer(now);
    leader_.reset();
    role_ = pre_vote ? raft_role::pre_candidate : raft_role::candidate;
    if (!pre_vote) {
        hard_.term = log_term(hard_.term.value() + 1);
        hard_.voted_for = self_;
        output_.hard = hard_;
    }
    votes_ = {self_};
    vote_request request;
    request.pre_vote = pre_vote;
    request.leadership_transfer = leadership_transfer;
    request.term = pre_vote ? log_term(hard_.term.value() + 1) : hard_.term;
    request.last_index = log_.last_index();
    request.last_term = log_.last_term();
    for (const member_entry& m : log_.members()) {
        if (m.voter && m.id.name != self_.name) {
            request.voter_disk_id = m.id.disk_id;
            send(m.id, request);
        }
    }
    if (has_won_election()) {
        pre_vote ? start_election(false, false, now) : become_leader(now);
    }
}

bool raft_core::has_won_election() const
{
    // The bootstrap election requires the votes of all members. Otherwise a majority of members
    // that lost their disks could bootstrap a new, empty log later.
    return votes_.size() >= (log_.empty() ? voter_count() : quorum_size());
}

bool raft_core::is_candidate_log_up_to_date(const vote_request& m) const
{
    if (m.last_term != log_.last_term()) {
        return m.last_term > log_.last_term();
    }
    return m.last_index >= log_.last_index();
}

bool raft_core::may_grant_vote(const member_id& from, const vote_request& m, instant now) const
{
    const bool is_bootstrap_vote = settings_.may_bootstrap && m.voter_disk_id == 0 &&
                                   log_.empty() && m.last_index == log_index(0);
    if (!is_bootstrap_vote && m.voter_disk_id != self_.disk_id) {
        return false;
    }
    const bool heard_from_leader_recently = !m.leadership_transfer && has_heard_leader_ &&
                                            now - last_leader_contact_ < settings_.election_timeout;
    if (heard_from_leader_recently || role_ == raft_role::leader || m.term < hard_.term ||
        !is_candidate_log_up_to_date(m)) {
        return false;
    }
    if (m.pre_vote) {
        return m.term > hard_.term;
    }
    return m.term > hard_.term || hard_.voted_for.name.empty() || hard_.voted_for == from;
}

void raft_core::handle(const member_id& from, const vote_request& m, instant now)
{
    const bool granted = may_grant_vote(from, m, now);
    // A rejected candidate must not raise the term of a member that has an active leader.
    const bool heard_from_leader_recently = !m.leadership_transfer && has_heard_leader_ &&
                                            now - last_leader_contact_ < settings_.election_timeout;
    const bool has_active_leader = role_ == raft_role::leader || heard_from_leader_recently;
    if (!m.pre_vote && m.term > hard_.term && !has_active_leader) {
        become_follower(m.term, now);
    }
    if (granted && !m.pre_vote) {
        hard_.voted_for = from;
        output_.hard = hard_;
        reset_election_timer(now);
    }
    const log_term term = granted ? m.term : hard_.term;
    send(from, vote_reply{m.pre_vote, term, granted});
}

void raft_core::handle(const member_id& from, const vote_reply& m, instant now)
{
    const bool reply_expected = (m.pre_vote && role_ == raft_role::pre_candidate) ||
                                (!m.pre_vote && role_ == raft_role::candidate);
    if (!m.granted && m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    const log_term expected = m.pre_vote ? log_term(hard_.term.value() + 1) : hard_.term;
    if (!reply_expected || !m.granted || m.term != expected) {
        return;
    }
    const member_entry* voter = log_.empty() ? find_member_by_name(from.name) : find_member(from);
    if (voter == nullptr || !voter->voter) {
        return;
    }
    votes_.insert(from);
    if (!has_won_election()) {
        return;
    }
    m.pre_vote ? start_election(false, false, now) : become_leader(now);
}

void raft_core::become_leader(instant now)
{
    role_ = raft_role::leader;
    leader_ = self_;
    leader_address_ = self_entry_.address;
    // The leader lease starts only when a quorum has confirmed the first heartbeat round.
    quorum_confirmed_at_ = now - settings_.election_timeout;
    round_sent_at_.clear();
    progress_.clear();
    log_entry first_entry;
    if (log_.empty()) {
        // The first entry records the members together with their disk ids.
        first_entry.kind = entry_kind::members;
        for (const member_entry& m : log_.members()) {
            const auto voted = std::find_if(votes_.begin(), votes_.end(), [&](const member_id& id) {
                return id.name == m.id.name;
            });
            assert(voted != votes_.end() &&
                   "the bootstrap election needs the votes of all initial members");
            first_entry.members.push_back({*voted, m.address, m.api_address, m.voter});
        }
    }
    append_as_leader(std::move(first_entry));
    // A member that does not answer within one election timeout was silent before this election,
    // so that an election must not start the wait for silent members anew.
    const instant presumed_heard =
        now - (settings_.member_silence_timeout - settings_.election_timeout);
    for (const member_entry& m : log_.members()) {
        progress& p = progress_[m.id];
        p.next = log_.last_index();
        p.last_heard = presumed_heard;
    }
    broadcast(now);
}

void raft_core::send(const member_id& to, consensus_body body)
{
    const member_entry* recipient = find_member(to);
    if (recipient == nullptr) {
        recipient = find_member_by_name(to.name);
    }
    endpoint address;
    if (leader_ && *leader_ == to) {
        address = leader_address_;
    }
    else if (recipient != nullptr) {
        address = recipient->address;
    }
    else if (const auto pending = pending_joins_.find(to); pending != pending_joins_.end()) {
        address = pending->second.request.address;
    }
    output_.messages.push_back({to, address, {self_, self_entry_.address, std::move(body)}});
}

void raft_core::handle(const member_id& from, const timeout_now& m, instant now)
{
    (void)from;
    if (m.term == hard_.term && role_ == raft_role::follower && is_voter()) {
        start_election(false, true, now);
    }
}

void raft_core::receive(const consensus_message& message, instant now)
{
    if (message.from == self_) {
        return;
    }
    sender_address_ = message.from_address;
    std::visit([&](const auto& body) { handle(message.from, body, now); }, message.body);
}

raft_output raft_core::take_output()
{
    if (role_ == raft_role::leader && !output_.must_persist()) {
        advance_commit(last_broadcast_);
    }
    deliver_committed();
    return std::exchange(output_, {});
}

void raft_core::transfer_leadership(instant now)
{
    if (role_ != raft_role::leader) {
        return;
    }
    const member_entry* best = nullptr;
    for (const member_entry& m : log_.members()) {
        const bool eligible = m.voter && m.id != self_;
        if (eligible && (best == nullptr || progress_[m.id].match > progress_[best->id].match)) {
            best = &m;
        }
    }
    if (best != nullptr) {
        send(best->id, timeout_now{hard_.term});
    }
    become_follower(hard_.term, now);
}

} // namespace fescuedyke
