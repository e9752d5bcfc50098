#include "fescuedyke/consensus/raft_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

constexpr millis join_request_interval{500};

/// Maximum number of entries that a learner may lack and still count as caught up.
constexpr std::uint64_t max_learner_lag_entries = 4;

} // namespace

std::size_t raft_core::voter_count() const
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

const member_entry* raft_core::find_member_by_name(const std::string& name) const
{
    const member_list& members = log_.members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const member_entry& m) { return m.id.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool raft_core::is_voter() const
{
    if (log_.empty()) {
        const member_entry* own = find_member_by_name(self_.name);
        return own != nullptr && own->voter;
    }
    const member_entry* own = find_member(self_);
    return own != nullptr && own->voter;
}

bool raft_core::is_member() const
{
    return !log_.empty() && find_member(self_) != nullptr;
}

void raft_core::send_join_requests(instant now)
{
    if (now - last_join_request_ < join_request_interval) {
        return;
    }
    last_join_request_ = now;
    for (const member_entry& m : log_.members()) {
        if (m.id.name != self_.name) {
            send(m.id, join_request{self_entry_.address, self_entry_.api_address});
        }
    }
}

void raft_core::handle(const member_id& from, const join_request& m, instant now)
{
    if (role_ != raft_role::leader && leader_ && *leader_ != from) {
        // Forward the request: the sender may know only members that are not the leader.
        output_.messages.push_back({*leader_, leader_address_, {from, sender_address_, m}});
    }
    if (find_member(from) == nullptr) {
        pending_joins_[from] = {m, now};
    }
}

absl::Status raft_core::propose_members(member_list next, instant now)
{
    if (role_ != raft_role::leader) {
        return absl::UnavailableError("this member is not the leader");
    }
    // A leader must commit an entry of its own term before it changes the membership, and it must
    // commit each change before the next.
    if (log_.members_index() > commit_index_ || log_.term_at(commit_index_) != hard_.term) {
        return absl::FailedPreconditionError("members: another membership change is in progress");
    }
    log_entry entry;
    entry.kind = entry_kind::members;
    entry.members = std::move(next);
    append_as_leader(std::move(entry));
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

const member_entry* raft_core::find_successor(const member_entry& m) const
{
    const member_list& members = log_.members();
    const auto found =
        std::find_if(members.rbegin(), members.rend(),
                     [&](const member_entry& other) { return other.id.name == m.id.name; });
    return found == members.rend() || found->id == m.id ? nullptr : &*found;
}

bool raft_core::is_silent(const member_entry& m, instant now) const
{
    // An instance that joined with another disk has lost this one. The wait rules out that another
    // process with the same name still uses it.
    const millis silence = find_successor(m) == nullptr ? settings_.member_silence_timeout
                                                        : settings_.election_timeout;
    const auto found = progress_.find(m.id);
    return m.id != self_ && found != progress_.end() && now - found->second.last_heard >= silence;
}

bool raft_core::is_caught_up(const member_id& id, instant now)
{
    const progress& p = progress_[id];
    if (p.match < log_index(1) || now - p.last_heard >= settings_.election_timeout) {
        return false;
    }
    // A busy log grows by many entries until the reply of a member arrives that lacks none.
    const bool keeps_up =
        p.caught_up_in_time && now - p.catch_up_started_at < settings_.election_timeout;
    return keeps_up || p.match.value() + max_learner_lag_entries >= log_.last_index().value();
}

void raft_core::update_catch_up(progress& p, instant now) const
{
    if (p.match < p.catch_up_index) {
        return;
    }
    p.caught_up_in_time = now - p.catch_up_started_at < settings_.election_timeout;
    p.catch_up_index = log_.last_index();
    p.catch_up_started_at = now;
}

bool raft_core::needs_vote_of(const member_entry& learner, instant now) const
{
    const member_list& members = log_.members();
    if (settings_.desired_voters == 0) {
        // The vote of the former disk of this instance goes first, so that the count stays the
        // same.
        return std::none_of(members.begin(), members.end(), [&](const member_entry& m) {
            return m.voter && m.id.name == learner.id.name;
        });
    }
    if (voter_count() != settings_.desired_voters) {
        return voter_count() < settings_.desired_voters;
    }
    return std::any_of(members.begin(), members.end(),
                       [&](const member_entry& m) { return m.voter && is_silent(m, now); });
}

bool raft_core::promote_learner(instant now)
{
    member_list next = log_.members();
    for (member_entry& m : next) {
        if (!m.voter && is_caught_up(m.id, now) && needs_vote_of(m, now)) {
            m.voter = true;
            pending_joins_.erase(m.id);
            (void)propose_members(next, now);
            return true;
        }
    }
    return false;
}

bool raft_core::may_remove(const member_entry& m, instant now)
{
    const bool keeps_count = settings_.desired_voters > 0;
    const member_entry* successor = find_successor(m);
    if (!m.voter) {
        return keeps_count || successor != nullptr;
    }
    // Remove a voter only after a learner was promoted in its place: with fewer voters, a change is
    // accepted on fewer disks.
    const bool has_extra_voter = keeps_count && voter_count() > settings_.desired_voters;
    const bool is_replaced =
        successor != nullptr &&
        (successor->voter || (!keeps_count && is_caught_up(successor->id, now)));
    return has_extra_voter || is_replaced;
}

bool raft_core::remove_silent_member(instant now)
{
    member_list next = log_.members();
    const auto removable = std::find_if(next.begin(), next.end(), [&](const member_entry& m) {
        return is_silent(m, now) && may_remove(m, now);
    });
    if (removable == next.end()) {
        return false;
    }
    next.erase(removable);
    return propose_members(std::move(next), now).ok();
}

bool raft_core::demote_extra_voter(instant now)
{
    const auto has_answered = [&](const member_entry& m) {
        return m.id == self_ || now - progress_[m.id].last_heard < settings_.election_timeout;
    };
    member_list next = log_.members();
    const bool all_answer = std::all_of(next.begin(), next.end(), [&](const member_entry& m) {
        return !m.voter || has_answered(m);
    });
    if (settings_.desired_voters == 0 || voter_count() <= settings_.desired_voters || !all_answer) {
        return false;
    }
    // The voter that a learner should replace answers again.
    const auto extra = std::find_if(next.rbegin(), next.rend(), [&](const member_entry& m) {
        return m.voter && m.id != self_;
    });
    extra->voter = false;
    return propose_members(std::move(next), now).ok();
}

bool raft_core::add_learner(const member_id& id, const pending_join& join, instant now)
{
    constexpr std::size_t max_spare_learners = 2;
    member_list next = log_.members();
    const bool has_room =
        settings_.desired_voters > 0 && next.size() < settings_.desired_voters + max_spare_learners;
    const auto is_former = [&](const member_entry& m) { return m.id.name == id.name; };
    const auto former_count = std::count_if(next.begin(), next.end(), is_former);
    const auto former = std::find_if(next.begin(), next.end(), is_former);
    // An instance may join with another disk once its former disk is silent.
    const bool replaces_former =
        former_count == 1 && former->id != self_ &&
        now - progress_[former->id].last_heard >= settings_.election_timeout;
    if (former_count == 0 ? !has_room : !replaces_former) {
        return false;
    }
    next.push_back({id, join.request.address, join.request.api_address, false});
    return propose_members(std::move(next), now).ok();
}

std::vector<member_id> raft_core::waiting_to_join(instant now) const
{
    std::vector<member_id> waiting;
    for (const auto& [id, join] : pending_joins_) {
        const bool still_requested = now - join.last_heard < settings_.member_silence_timeout;
        if (still_requested && find_member(id) == nullptr) {
            waiting.push_back(id);
        }
    }
    return waiting;
}

void raft_core::maintain_membership(instant now)
{
    if (log_.members_index() > commit_index_ || log_.term_at(commit_index_) != hard_.term) {
        return;
    }
    if (promote_learner(now)) {
        return;
    }
    for (const member_id& id : waiting_to_join(now)) {
        if (add_learner(id, pending_joins_.at(id), now)) {
            return;
        }
    }
    if (!remove_silent_member(now)) {
        demote_extra_voter(now);
    }
}

} // namespace fescuedyke
