#include "fescuedyke/consensus/raft_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

/// Maximum number of heartbeat rounds whose send time is kept to match replies to them.
constexpr std::size_t max_tracked_rounds = 64;

} // namespace

void raft_core::append_as_leader(log_entry entry)
{
    entry.index = log_index(log_.last_index().value() + 1);
    entry.term = hard_.term;
    log_.append(entry);
    output_.append.push_back(std::move(entry));
}

void raft_core::broadcast(instant now)
{
    last_broadcast_ = now;
    ++current_round_;
    round_sent_at_[current_round_] = now;
    while (round_sent_at_.size() > max_tracked_rounds) {
        round_sent_at_.erase(round_sent_at_.begin());
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
    request.commit_index = commit_index_;
    request.follower_disk_id = to.id.disk_id;
    request.round = current_round_;
    request.quorum_confirmed = holds_leader_lease(now);
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
    chunk.follower_disk_id = to.id.disk_id;
    p.last_sent = now;
    send(to.id, std::move(chunk));
}

bool raft_core::accept_leader(const member_id& from, log_term term, std::uint64_t disk_id,
                              instant now)
{
    if (disk_id != self_.disk_id || term < hard_.term) {
        return false;
    }
    if (term > hard_.term || role_ != raft_role::follower) {
        become_follower(term, now);
    }
    leader_ = from;
    leader_address_ = sender_address_;
    has_heard_leader_ = true;
    last_leader_contact_ = now;
    reset_election_timer(now);
    return true;
}

void raft_core::handle(const member_id& from, const append_request& m, instant now)
{
    if (!accept_leader(from, m.term, m.follower_disk_id, now)) {
        if (m.follower_disk_id == self_.disk_id) {
            send(from, append_reply{hard_.term, false, log_.last_index(), m.round});
        }
        return;
    }
    const bool below_base = m.previous_index < log_.base().index;
    const std::optional<log_term> local_term = log_.term_at(m.previous_index);
    if (!below_base && (!local_term || *local_term != m.previous_term)) {
        const std::uint64_t last = log_.last_index().value();
        const std::uint64_t before = m.previous_index.value() - 1;
        const log_index hint(std::max(log_.base().index.value(), std::min(last, before)));
        send(from, append_reply{hard_.term, false, hint, m.round});
        return;
    }
    append_received(m);
    const std::uint64_t matched = m.previous_index.value() + m.entries.size();
    const log_index match_index(std::max(matched, log_.base().index.value()));
    if (const log_index new_commit = std::min(m.commit_index, match_index);
        new_commit > commit_index_) {
        commit_index_ = new_commit;
    }
    // The state of this member is as recent as the leader's confirmation only if no committed entry
    // is missing here.
    if (m.quorum_confirmed && commit_index_ >= m.commit_index) {
        quorum_confirmed_at_ = now;
    }
    send(from, append_reply{hard_.term, true, match_index, m.round});
}

void raft_core::append_received(const append_request& m)
{
    for (const log_entry& entry : m.entries) {
        if (entry.index <= log_.base().index) {
            continue;
        }
        const std::optional<log_term> local_term = log_.term_at(entry.index);
        if (local_term && *local_term == entry.term) {
            continue;
        }
        if (local_term) {
            assert(entry.index > commit_index_ && "committed entries must not be replaced");
            log_.truncate_from(entry.index);
            persisted_index_ = std::min(persisted_index_, log_.last_index());
            const bool truncates_earlier =
                output_.truncate_from && *output_.truncate_from < entry.index;
            output_.truncate_from = truncates_earlier ? output_.truncate_from : entry.index;
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

void raft_core::handle(const member_id& from, const append_reply& m, instant now)
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
    if (const auto round = round_sent_at_.find(m.round); round != round_sent_at_.end()) {
        p.confirmed_round_sent_at = std::max(p.confirmed_round_sent_at, round->second);
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
    update_catch_up(p, now);
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
        const log_index match = m.id == self_ ? persisted_index_ : progress_[m.id].match;
        matches.push_back(match.value());
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index quorum_index(matches[std::min(quorum_size(), matches.size()) - 1]);
    // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
    if (quorum_index <= commit_index_ || log_.term_at(quorum_index) != hard_.term) {
        return;
    }
    commit_index_ = quorum_index;
    if (find_member(self_) == nullptr && log_.members_index() <= commit_index_) {
        become_follower(hard_.term, now);
        return;
    }
    broadcast(now);
}

void raft_core::update_quorum_confirmation(instant now)
{
    std::vector<instant> confirmed_times;
    for (const member_entry& m : log_.members()) {
        if (m.voter) {
            confirmed_times.push_back(m.id == self_ ? now
                                                    : progress_[m.id].confirmed_round_sent_at);
        }
    }
    std::sort(confirmed_times.begin(), confirmed_times.end(), std::greater<>());
    if (confirmed_times.size() >= quorum_size() &&
        confirmed_times[quorum_size() - 1] > quorum_confirmed_at_) {
        quorum_confirmed_at_ = confirmed_times[quorum_size() - 1];
    }
}

bool raft_core::holds_leader_lease(instant now) const
{
    return role_ == raft_role::leader && now - quorum_confirmed_at_ < settings_.election_timeout;
}

void raft_core::handle(const member_id& from, const snapshot_chunk& m, instant now)
{
    if (!accept_leader(from, m.term, m.follower_disk_id, now)) {
        return;
    }
    if (m.index <= commit_index_) {
        send(from, append_reply{hard_.term, true, commit_index_, 0});
        return;
    }
    if (m.index != incoming_snapshot_index_ || m.offset == 0) {
        incoming_snapshot_index_ = m.index;
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
    const std::optional<log_term> local_term = log_.term_at(m.index);
    if (!local_term || *local_term != m.index_term) {
        log_ = replicated_log(received, {}, {});
    }
    else {
        log_.compact(received);
    }
    commit_index_ = m.index;
    delivered_index_ = m.index;
    persisted_index_ = log_.last_index();
    output_.append = log_.slice(log_.first_index(), log_.last_index().value());
    output_.truncate_from.reset();
    output_.committed.clear();
    output_.snapshot_to_install = received;
    output_.hard = hard_;
    send(from, append_reply{hard_.term, true, m.index, 0});
}

void raft_core::handle(const member_id& from, const snapshot_reply& m, instant now)
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

absl::StatusOr<log_index> raft_core::propose(std::string command, instant now)
{
    if (role_ != raft_role::leader) {
        return absl::UnavailableError("this member is not the leader");
    }
    log_entry entry;
    entry.kind = entry_kind::command;
    entry.data = std::move(command);
    append_as_leader(std::move(entry));
    broadcast(now);
    return log_.last_index();
}

void raft_core::on_persisted()
{
    persisted_index_ = log_.last_index();
}

void raft_core::deliver_committed()
{
    // Deliver only entries that are also durable on this member's own disk.
    const log_index deliverable = std::min(commit_index_, persisted_index_);
    while (delivered_index_ < deliverable) {
        delivered_index_ = log_index(delivered_index_.value() + 1);
        output_.committed.push_back(log_.at(delivered_index_));
    }
}

snapshot raft_core::make_snapshot(log_index index, std::string data) const
{
    const std::optional<log_term> term = log_.term_at(index);
    assert(term && index <= commit_index_ && "a snapshot must cover only committed entries");
    return {index, *term, log_.members_at(index), std::move(data)};
}

void raft_core::on_snapshot_persisted(const snapshot& s)
{
    if (s.index > log_.base().index) {
        log_.compact(s);
    }
}

} // namespace fescuedyke
