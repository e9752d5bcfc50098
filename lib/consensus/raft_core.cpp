#include "fescuedyke/consensus/raft_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

constexpr millis join_period{500};
constexpr std::size_t most_rounds = 64;

/// Lag, in entries, up to which a learner counts as caught up.
constexpr std::uint64_t learner_lag = 4;

} // namespace

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
      commit_(log_.base().index), delivered_(log_.base().index), persisted_(log_.last_index())
{
}

std::size_t raft_core::voters() const
{
    const member_list& members = log_.members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [](const member_entry& m) { return m.voter; }));
}

const member_entry* raft_core::find_member(const member_id& id) const
{
    const member_list& members = log_.members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const member_entry& m) { return m.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const member_entry* raft_core::find_named(const std::string& name) const
{
    const member_list& members = log_.members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const member_entry& m) { return m.id.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool raft_core::is_voter() const
{
    if (log_.empty()) {
        const member_entry* own = find_named(self_.name);
        return own != nullptr && own->voter;
    }
    const member_entry* own = find_member(self_);
    return own != nullptr && own->voter;
}

bool raft_core::is_member() const
{
    return !log_.empty() && find_member(self_) != nullptr;
}

void raft_core::reset_election_timer(instant now)
{
    const auto range = static_cast<std::uint64_t>(settings_.election_timeout.count());
    const auto extra = static_cast<std::int64_t>(draw_below(random_, range));
    election_due_ = now + settings_.election_timeout + millis(extra);
    timer_set_ = true;
}

void raft_core::tick(instant now)
{
    if (!timer_set_) {
        reset_election_timer(now);
    }
    if (role_ == raft_role::leader) {
        tick_leader(now);
        return;
    }
    if (now < election_due_) {
        return;
    }
    if (log_.empty() || !is_voter()) {
        ask_to_join(now);
    }
    if (is_voter()) {
        start_election(true, false, now);
    }
}

void raft_core::ask_to_join(instant now)
{
    if (now - last_join_ < join_period) {
        return;
    }
    last_join_ = now;
    for (const member_entry& m : log_.members()) {
        if (m.id.name != self_.name) {
            send(m.id, join_request{self_entry_.address, self_entry_.api_address});
        }
    }
}

void raft_core::tick_leader(instant now)
{
    note_quorum(now);
    const bool lost = now - confirmed_at_ > settings_.election_timeout * 2;
    if (lost) {
        become_follower(hard_.term, now);
        return;
    }
    if (now - last_broadcast_ >= settings_.heartbeat) {
        tend_members(now);
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

void raft_core::start_election(bool pre_vote, bool handed_over, instant now)
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
    request.handed_over = handed_over;
    request.term = pre_vote ? log_term(hard_.term.value() + 1) : hard_.term;
    request.last_index = log_.last_index();
    request.last_term = log_.last_term();
    for (const member_entry& m : log_.members()) {
        if (m.voter && m.id.name != self_.name) {
            request.voter_disk = m.id.disk;
            send(m.id, request);
        }
    }
    if (won()) {
        pre_vote ? start_election(false, false, now) : become_leader(now);
    }
}

bool raft_core::won() const
{
    // When the members first meet, all must take part, so that no later majority of members with
    // empty disks can pass for a new beginning.
    return votes_.size() >= (log_.empty() ? voters() : quorum());
}

bool raft_core::log_is_as_new(const vote_request& m) const
{
    if (m.last_term != log_.last_term()) {
        return m.last_term > log_.last_term();
    }
    return m.last_index >= log_.last_index();
}

bool raft_core::may_grant(const member_id& from, const vote_request& m, instant now) const
{
    const bool first_meeting = m.voter_disk == 0 && log_.empty() && m.last_index == log_index(0);
    if (!first_meeting && m.voter_disk != self_.disk) {
        return false;
    }
    const bool has_leader =
        !m.handed_over && heard_leader_ && now - last_leader_contact_ < settings_.election_timeout;
    if (has_leader || role_ == raft_role::leader || m.term < hard_.term || !log_is_as_new(m)) {
        return false;
    }
    if (m.pre_vote) {
        return m.term > hard_.term;
    }
    return m.term > hard_.term || hard_.voted_for.name.empty() || hard_.voted_for == from;
}

void raft_core::on(const member_id& from, const vote_request& m, instant now)
{
    const bool granted = may_grant(from, m, now);
    // A refused candidate must not push up the term of a member that has a leader.
    const bool has_leader =
        !m.handed_over && heard_leader_ && now - last_leader_contact_ < settings_.election_timeout;
    const bool led = role_ == raft_role::leader || has_leader;
    if (!m.pre_vote && m.term > hard_.term && !led) {
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

void raft_core::on(const member_id& from, const vote_reply& m, instant now)
{
    const bool asked = (m.pre_vote && role_ == raft_role::pre_candidate) ||
                       (!m.pre_vote && role_ == raft_role::candidate);
    if (!m.granted && m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    const log_term expected = m.pre_vote ? log_term(hard_.term.value() + 1) : hard_.term;
    if (!asked || !m.granted || m.term != expected) {
        return;
    }
    const member_entry* voter = log_.empty() ? find_named(from.name) : find_member(from);
    if (voter == nullptr || !voter->voter) {
        return;
    }
    votes_.insert(from);
    if (!won()) {
        return;
    }
    m.pre_vote ? start_election(false, false, now) : become_leader(now);
}

void raft_core::become_leader(instant now)
{
    role_ = raft_role::leader;
    leader_ = self_;
    // Nothing is certain until a first round has been confirmed.
    confirmed_at_ = now - settings_.election_timeout;
    rounds_.clear();
    progress_.clear();
    log_entry first;
    if (log_.empty()) {
        // The first entry fixes who the members are, disks included.
        first.kind = entry_kind::members;
        for (const member_entry& m : log_.members()) {
            const auto voted = std::find_if(votes_.begin(), votes_.end(), [&](const member_id& id) {
                return id.name == m.id.name;
            });
            assert(voted != votes_.end() && "all initial members vote when they first meet");
            first.members.push_back({*voted, m.address, m.api_address, m.voter});
        }
    }
    append_own(std::move(first));
    for (const member_entry& m : log_.members()) {
        progress& p = progress_[m.id];
        p.next = log_.last_index();
        p.last_heard = now;
    }
    broadcast(now);
}

void raft_core::append_own(log_entry entry)
{
    entry.index = log_index(log_.last_index().value() + 1);
    entry.term = hard_.term;
    log_.append(entry);
    output_.append.push_back(std::move(entry));
}

void raft_core::send(const member_id& to, consensus_body body)
{
    const member_entry* known = find_member(to);
    if (known == nullptr) {
        known = find_named(to.name);
    }
    endpoint address;
    if (known != nullptr) {
        address = known->address;
    }
    else if (const auto joiner = joiners_.find(to); joiner != joiners_.end()) {
        address = joiner->second.request.address;
    }
    output_.messages.push_back({to, address, {self_, std::move(body)}});
}

void raft_core::broadcast(instant now)
{
    last_broadcast_ = now;
    ++round_;
    rounds_[round_] = now;
    while (rounds_.size() > most_rounds) {
        rounds_.erase(rounds_.begin());
    }
    const member_list members = log_.members();
    for (const member_entry& m : members) {
        if (m.id != self_) {
            send_append(m, now);
        }
    }
}

void raft_core::send_append(const member_entry& to, instant now)
{
    progress& p = progress_[to.id];
    if (p.next < log_index(1)) {
        p.next = log_index(log_.last_index().value() + 1);
    }
    const log_index previous(p.next.value() - 1);
    const std::optional<log_term> previous_term = log_.term_at(previous);
    if (!previous_term) {
        send_snapshot(to, p, now);
        return;
    }
    append_request request;
    request.term = hard_.term;
    request.previous_index = previous;
    request.previous_term = *previous_term;
    request.commit = commit_;
    request.follower_disk = to.id.disk;
    request.round = round_;
    request.confirmed = leads_for_certain(now);
    request.entries = log_.slice(p.next, settings_.max_entries_per_append);
    p.last_sent = now;
    send(to.id, std::move(request));
}

void raft_core::send_snapshot(const member_entry& to, progress& p, instant now)
{
    const snapshot& base = log_.base();
    snapshot_chunk chunk;
    chunk.term = hard_.term;
    chunk.index = base.index;
    chunk.index_term = base.term;
    chunk.members = base.members;
    chunk.total = base.data.size();
    chunk.offset = std::min<std::uint64_t>(p.snapshot_offset, chunk.total);
    chunk.data = base.data.substr(chunk.offset, settings_.snapshot_chunk_bytes);
    chunk.follower_disk = to.id.disk;
    p.last_sent = now;
    send(to.id, std::move(chunk));
}

bool raft_core::accepts_leader(const member_id& from, log_term term, std::uint64_t disk,
                               instant now)
{
    if (disk != self_.disk || term < hard_.term) {
        return false;
    }
    if (term > hard_.term || role_ != raft_role::follower) {
        become_follower(term, now);
    }
    leader_ = from;
    heard_leader_ = true;
    last_leader_contact_ = now;
    reset_election_timer(now);
    return true;
}

void raft_core::on(const member_id& from, const append_request& m, instant now)
{
    if (!accepts_leader(from, m.term, m.follower_disk, now)) {
        if (m.follower_disk == self_.disk) {
            send(from, append_reply{hard_.term, false, log_.last_index(), m.round});
        }
        return;
    }
    if (m.confirmed) {
        confirmed_at_ = now;
    }
    const bool below_base = m.previous_index < log_.base().index;
    const std::optional<log_term> held = log_.term_at(m.previous_index);
    if (!below_base && (!held || *held != m.previous_term)) {
        const std::uint64_t last = log_.last_index().value();
        const std::uint64_t before = m.previous_index.value() - 1;
        const log_index hint(std::max(log_.base().index.value(), std::min(last, before)));
        send(from, append_reply{hard_.term, false, hint, m.round});
        return;
    }
    append_new(m);
    const std::uint64_t matched = m.previous_index.value() + m.entries.size();
    const log_index reached(std::max(matched, log_.base().index.value()));
    if (const log_index known = std::min(m.commit, reached); known > commit_) {
        commit_ = known;
    }
    send(from, append_reply{hard_.term, true, reached, m.round});
}

void raft_core::append_new(const append_request& m)
{
    for (const log_entry& entry : m.entries) {
        if (entry.index <= log_.base().index) {
            continue;
        }
        const std::optional<log_term> held = log_.term_at(entry.index);
        if (held && *held == entry.term) {
            continue;
        }
        if (held) {
            assert(entry.index > commit_ && "committed entries are never replaced");
            log_.truncate_from(entry.index);
            persisted_ = std::min(persisted_, log_.last_index());
            const bool earlier = output_.truncate_from && *output_.truncate_from < entry.index;
            output_.truncate_from = earlier ? output_.truncate_from : entry.index;
            auto& pending = output_.append;
            pending.erase(
                std::remove_if(pending.begin(), pending.end(),
                               [&](const log_entry& e) { return e.index >= entry.index; }),
                pending.end());
        }
        log_.append(entry);
        output_.append.push_back(entry);
    }
}

void raft_core::on(const member_id& from, const append_reply& m, instant now)
{
    if (m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    const auto found = progress_.find(from);
    if (role_ != raft_role::leader || m.term < hard_.term || found == progress_.end()) {
        return;
    }
    progress& p = found->second;
    p.last_heard = now;
    if (const auto round = rounds_.find(m.round); round != rounds_.end()) {
        p.confirmed_round = std::max(p.confirmed_round, round->second);
    }
    if (!m.success) {
        p.next = log_index(std::min(p.next.value() - 1, m.index.value()) + 1);
        if (p.next.value() <= p.match.value()) {
            p.next = log_index(p.match.value() + 1);
        }
        return;
    }
    p.snapshot_offset = 0;
    if (m.index > p.match) {
        p.match = m.index;
    }
    p.next = log_index(std::max(p.next.value(), p.match.value() + 1));
    advance_commit(now);
    const member_entry* member = find_member(from);
    if (member != nullptr && p.next <= log_.last_index() && p.match >= log_.base().index) {
        send_append(*member, now);
    }
}

void raft_core::advance_commit(instant now)
{
    std::vector<std::uint64_t> matches;
    for (const member_entry& m : log_.members()) {
        if (!m.voter) {
            continue;
        }
        const log_index match = m.id == self_ ? persisted_ : progress_[m.id].match;
        matches.push_back(match.value());
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index agreed(matches[std::min(quorum(), matches.size()) - 1]);
    // Only entries of the present term are committed by counting (Raft, section 5.4.2).
    if (agreed <= commit_ || log_.term_at(agreed) != hard_.term) {
        return;
    }
    commit_ = agreed;
    if (find_member(self_) == nullptr && log_.members_index() <= commit_) {
        become_follower(hard_.term, now);
        return;
    }
    broadcast(now);
}

void raft_core::note_quorum(instant now)
{
    std::vector<instant> rounds;
    for (const member_entry& m : log_.members()) {
        if (m.voter) {
            rounds.push_back(m.id == self_ ? now : progress_[m.id].confirmed_round);
        }
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    if (rounds.size() >= quorum() && rounds[quorum() - 1] > confirmed_at_) {
        confirmed_at_ = rounds[quorum() - 1];
    }
}

bool raft_core::leads_for_certain(instant now) const
{
    return role_ == raft_role::leader && now - confirmed_at_ < settings_.election_timeout;
}

void raft_core::on(const member_id& from, const snapshot_chunk& m, instant now)
{
    if (!accepts_leader(from, m.term, m.follower_disk, now)) {
        return;
    }
    if (m.index <= commit_) {
        send(from, append_reply{hard_.term, true, commit_, 0});
        return;
    }
    if (m.index != incoming_index_ || m.offset == 0) {
        incoming_index_ = m.index;
        incoming_snapshot_.clear();
    }
    if (m.offset == incoming_snapshot_.size()) {
        incoming_snapshot_ += m.data;
    }
    if (incoming_snapshot_.size() < m.total) {
        send(from, snapshot_reply{hard_.term, m.index, incoming_snapshot_.size()});
        return;
    }
    const snapshot received{m.index, m.index_term, m.members,
                            std::exchange(incoming_snapshot_, {})};
    const std::optional<log_term> held = log_.term_at(m.index);
    if (!held || *held != m.index_term) {
        log_ = replicated_log(received, {}, {});
    }
    else {
        log_.compact(received);
    }
    commit_ = m.index;
    delivered_ = m.index;
    persisted_ = log_.last_index();
    output_.append = log_.slice(log_.first_index(), log_.last_index().value());
    output_.truncate_from.reset();
    output_.committed.clear();
    output_.install = received;
    output_.hard = hard_;
    send(from, append_reply{hard_.term, true, m.index, 0});
}

void raft_core::on(const member_id& from, const snapshot_reply& m, instant now)
{
    if (m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    const auto found = progress_.find(from);
    const member_entry* member = find_member(from);
    if (role_ != raft_role::leader || found == progress_.end() || member == nullptr) {
        return;
    }
    found->second.last_heard = now;
    found->second.snapshot_offset = m.index == log_.base().index ? m.received : 0;
    send_snapshot(*member, found->second, now);
}

void raft_core::on(const member_id& from, const join_request& m, instant now)
{
    if (find_member(from) == nullptr) {
        joiners_[from] = {m, now};
    }
}

void raft_core::on(const member_id& from, const campaign_now& m, instant now)
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
    std::visit([&](const auto& body) { on(message.from, body, now); }, message.body);
}

absl::StatusOr<log_index> raft_core::propose(std::string command, instant now)
{
    if (role_ != raft_role::leader) {
        return absl::UnavailableError("this member does not lead");
    }
    log_entry entry;
    entry.kind = entry_kind::command;
    entry.data = std::move(command);
    append_own(std::move(entry));
    broadcast(now);
    return log_.last_index();
}

absl::Status raft_core::propose_members(member_list next, instant now)
{
    if (role_ != raft_role::leader) {
        return absl::UnavailableError("this member does not lead");
    }
    // A leader first commits an entry of its own term, then changes one member at a time.
    if (log_.members_index() > commit_ || log_.term_at(commit_) != hard_.term) {
        return absl::FailedPreconditionError("members: another change is under way");
    }
    log_entry entry;
    entry.kind = entry_kind::members;
    entry.members = std::move(next);
    append_own(std::move(entry));
    for (const member_entry& m : log_.members()) {
        progress& p = progress_[m.id];
        if (p.next < log_index(1)) {
            p.next = log_index(log_.last_index().value() + 1);
            p.last_heard = now;
        }
    }
    broadcast(now);
    return absl::OkStatus();
}

void raft_core::tend_members(instant now)
{
    if (log_.members_index() > commit_ || log_.term_at(commit_) != hard_.term) {
        return;
    }
    member_list next = log_.members();
    for (member_entry& m : next) {
        const progress& p = progress_[m.id];
        const bool caught_up =
            p.match.value() + learner_lag >= log_.last_index().value() && p.match >= log_index(1);
        if (!m.voter && caught_up && now - p.last_heard < settings_.election_timeout) {
            m.voter = true;
            joiners_.erase(m.id);
            (void)propose_members(next, now);
            return;
        }
    }
    for (const auto& [id, j] : joiners_) {
        const bool asks_still = now - j.heard < settings_.replace_after;
        if (asks_still && find_member(id) == nullptr && replace_returned(next, id, j, now)) {
            return;
        }
    }
}

bool raft_core::replace_returned(member_list next, const member_id& id, const joiner& j,
                                 instant now)
{
    // An instance enters by itself only in the place of its own former identity.
    const auto old = std::find_if(next.begin(), next.end(),
                                  [&](const member_entry& m) { return m.id.name == id.name; });
    if (old == next.end() || now - progress_[old->id].last_heard < settings_.replace_after) {
        return false;
    }
    // The old identity loses its vote first; the new one enters as a learner.
    if (old->voter && voters() > 1) {
        old->voter = false;
    }
    else {
        *old = {id, j.request.address, j.request.api_address, false};
    }
    return propose_members(std::move(next), now).ok();
}

void raft_core::on_persisted()
{
    persisted_ = log_.last_index();
}

void raft_core::deliver_committed()
{
    // What is handed out must be on this member's own disk as well.
    const log_index ready = std::min(commit_, persisted_);
    while (delivered_ < ready) {
        delivered_ = log_index(delivered_.value() + 1);
        output_.committed.push_back(log_.at(delivered_));
    }
}

raft_output raft_core::take_output()
{
    if (role_ == raft_role::leader && !output_.must_persist()) {
        advance_commit(last_broadcast_);
    }
    deliver_committed();
    return std::exchange(output_, {});
}

snapshot raft_core::make_snapshot(log_index index, std::string data) const
{
    const std::optional<log_term> term = log_.term_at(index);
    assert(term && index <= commit_ && "a snapshot is made of committed entries");
    return {index, *term, log_.members_at(index), std::move(data)};
}

void raft_core::on_snapshot_persisted(const snapshot& s)
{
    if (s.index > log_.base().index) {
        log_.compact(s);
    }
}

void raft_core::hand_over(instant now)
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
        send(best->id, campaign_now{hard_.term});
    }
    become_follower(hard_.term, now);
}

} // namespace fescuedyke
