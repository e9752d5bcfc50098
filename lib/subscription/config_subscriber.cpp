#include "fescuedyke/subscription/config_subscriber.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Round-trip times are compared in steps of this size. Among members in the same step, one that is
/// already being polled is preferred, so that small variations do not cause a switch.
constexpr millis round_trip_step{16};

} // namespace

config_subscriber::config_subscriber(const subscriber_settings& settings,
                                     std::vector<member_seed> seeds)
    : settings_(settings)
{
    for (member_seed& seed : seeds) {
        members_[seed.name].address = std::move(seed.address);
    }
}

void config_subscriber::on_record(const node_record& record, bool wants_lease)
{
    record_changed_ = record_changed_ || is_later(record, record_);
    record_ = record;
    wants_lease_ = wants_lease;
}

bool config_subscriber::is_available(const member_status& m, instant now) const
{
    return now >= m.backoff_until;
}

std::vector<std::string> config_subscriber::selected_members(instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, m] : members_) {
        names.push_back(name);
    }
    const auto sort_key = [&](const std::string& name) {
        const member_status& m = members_.at(name);
        return std::make_tuple(!is_available(m, now), settings_.prefers_leader && name != leader_,
                               m.round_trip.count() / round_trip_step.count(),
                               polled_members_.count(name) == 0, m.last_reply);
    };
    std::stable_sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        return sort_key(a) < sort_key(b);
    });
    names.resize(std::min(names.size(), settings_.members_per_round));
    return names;
}

void config_subscriber::extend_backoff(member_status& m, millis initial_backoff, instant now) const
{
    constexpr int max_doublings = 3;
    const int doublings = std::min(m.consecutive_failures, max_doublings);
    ++m.consecutive_failures;
    m.backoff_until =
        now + std::min(initial_backoff * (std::int64_t{1} << doublings), settings_.max_backoff);
}

void config_subscriber::mark_failed(const open_poll& failed, instant now)
{
    const std::string& member = failed.member;
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return;
    }
    // Polls sent during a back-off, which happens if too few other members are available, fail for
    // the same reason as the poll that started it.
    if (is_available(found->second, failed.sent_at)) {
        const bool renews_leases = settings_.prefers_leader && member == leader_;
        extend_backoff(found->second,
                       renews_leases ? settings_.initial_leader_backoff : settings_.initial_backoff,
                       now);
    }
    // Discard the member's view if another member can provide one; otherwise keep it, because it is
    // the only view available.
    const bool has_alternative = std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
        return m.first != member && m.second.replied && is_available(m.second, now);
    });
    if (has_alternative) {
        view_.remove_member(member);
    }
}

subscriber_output config_subscriber::tick(instant now)
{
    subscriber_output output;
    std::vector<std::uint64_t> timed_out;
    for (const auto& [number, p] : open_polls_) {
        if (now - p.sent_at > settings_.poll_timeout) {
            timed_out.push_back(number);
        }
    }
    for (const std::uint64_t number : timed_out) {
        on_failed(number, now);
    }
    const bool due = !has_polled_ || now - last_round_sent_ >= settings_.poll_period;
    if (!due && !record_changed_) {
        return output;
    }
    has_polled_ = true;
    last_round_sent_ = now;
    record_changed_ = false;
    const std::vector<std::string> selected = selected_members(now);
    polled_members_ = {selected.begin(), selected.end()};
    for (const std::string& name : selected) {
        const bool has_open_poll =
            std::any_of(open_polls_.begin(), open_polls_.end(),
                        [&](const auto& p) { return p.second.member == name; });
        if (has_open_poll) {
            record_changed_ = due ? record_changed_ : true;
            continue;
        }
        outgoing_poll p;
        p.number = next_number_++;
        p.address = members_[name].address;
        p.poll = {record_,
                  version_,
                  owners_.version,
                  view_.known_epoch(name),
                  view_.known_version(name),
                  wants_lease_};
        open_polls_[p.number] = {name, now};
        output.polls.push_back(std::move(p));
    }
    return output;
}

void config_subscriber::on_failed(std::uint64_t number, instant now)
{
    const auto found = open_polls_.find(number);
    if (found == open_polls_.end()) {
        return;
    }
    const open_poll failed = found->second;
    open_polls_.erase(found);
    mark_failed(failed, now);
}

void config_subscriber::update_members(const poll_reply& reply)
{
    if (!reply.leader.empty()) {
        leader_ = reply.leader;
    }
    for (const member_entry& m : reply.members) {
        if (!m.address.host.empty()) {
            members_[m.id.name].address = m.address;
        }
    }
    remove_unlisted_members(reply);
}

void config_subscriber::remove_unlisted_members(const poll_reply& reply)
{
    for (auto it = members_.begin(); it != members_.end();) {
        const bool listed =
            std::any_of(reply.members.begin(), reply.members.end(),
                        [&](const member_entry& m) { return m.id.name == it->first; });
        // A member that was removed from the group no longer receives updates, so do not poll it.
        it = listed || reply.members.empty() ? std::next(it) : members_.erase(it);
    }
}

subscriber_output config_subscriber::on_reply(std::uint64_t number, const poll_reply& reply,
                                              instant now)
{
    subscriber_output output;
    const auto found = open_polls_.find(number);
    if (found == open_polls_.end()) {
        return output;
    }
    const open_poll answered_poll = found->second;
    open_polls_.erase(found);
    const auto member = members_.find(answered_poll.member);
    if (member == members_.end()) {
        // The member was removed from the group while the poll was open.
        return output;
    }
    member_status& m = member->second;
    m.consecutive_failures = reply.quorum_confirmation_age > settings_.max_quorum_confirmation_age
                                 ? m.consecutive_failures
                                 : 0;
    m.last_reply = now;
    m.quorum_confirmation_age = reply.quorum_confirmation_age;
    const millis round_trip = now - answered_poll.sent_at;
    m.round_trip =
        m.replied ? millis((m.round_trip.count() * 3 + round_trip.count()) / 4) : round_trip;
    m.replied = true;
    if (reply.quorum_confirmation_age > settings_.max_quorum_confirmation_age) {
        mark_failed(answered_poll, now);
        // Even an old hint is better than none: a fresh reply of any member corrects it.
        leader_ = leader_.empty() ? reply.leader : leader_;
        // Older versions are ignored, so it is safe to apply what a stale member sent, but the
        // reply does not make the node's configuration fresh.
        apply_policies(reply, output);
        apply_document(reply, output);
        return output;
    }
    update_members(reply);
    last_fresh_reply_at_ = now;
    has_fresh_reply_ = true;
    apply_policies(reply, output);
    apply_document(reply, output);
    apply_owners(reply, output);
    apply_view(reply, now, output);
    if (reply.lease) {
        output.events.emplace_back(
            lease_renewed{answered_poll.sent_at + *reply.lease, reply.owners_version});
    }
    return output;
}

void config_subscriber::apply_policies(const poll_reply& reply, subscriber_output& output)
{
    for (const policy_record& record : reply.policies) {
        const std::string key = policy_key(record.owner, record.name);
        policy_record& current = policy_records_[key];
        if (record.changed_in <= current.changed_in) {
            continue;
        }
        current = record;
        policies_.erase(key);
        if (record.removed) {
            continue;
        }
        // Members accept only policies that they can parse, but this node may run an older program
        // that cannot parse a policy accepted by a newer one.
        if (absl::StatusOr<policy> parsed = parse_policy(record.yaml); parsed.ok()) {
            policies_[key] = std::move(*parsed);
        }
    }
    const bool newer = reply.version > version_;
    version_ = std::max(version_, reply.version);
    if (has_fresh_reply_ && (newer || !policies_published_)) {
        policies_published_ = true;
        output.events.emplace_back(
            policies_updated{std::make_shared<policy_set>(version_, policies_)});
    }
}

void config_subscriber::apply_document(const poll_reply& reply, subscriber_output& output)
{
    if (reply.document && reply.document->changed_in > document_.changed_in) {
        document_ = *reply.document;
    }
    if (has_fresh_reply_ && document_.changed_in > published_document_version_) {
        published_document_version_ = document_.changed_in;
        output.document = document_;
    }
}

void config_subscriber::apply_owners(const poll_reply& reply, subscriber_output& output)
{
    if (reply.owners_version <= owners_.version) {
        return;
    }
    for (const auto& [home, grants] : reply.owners) {
        bucket_grants& current = owners_.homes[home];
        for (const auto& [bucket, grant] : grants) {
            if (bucket < buckets_per_home && grant.changed_in > current[bucket].changed_in) {
                current[bucket] = grant;
            }
        }
    }
    owners_.version = reply.owners_version;
    output.events.emplace_back(owners_updated{std::make_shared<bucket_table>(owners_)});
}

void config_subscriber::apply_view(const poll_reply& reply, instant now, subscriber_output& output)
{
    view_.on_delta(reply.member, reply.view);
    // Targets in the view of a member that is no longer polled may have left since its last reply.
    const std::vector<std::string> selected = selected_members(now);
    for (const std::string& member : view_.members()) {
        const bool is_selected =
            std::find(selected.begin(), selected.end(), member) != selected.end();
        if (!is_selected && member != reply.member) {
            view_.remove_member(member);
        }
    }
    if (view_.changed()) {
        output.events.emplace_back(targets_updated{std::make_shared<target_view>(view_.build())});
    }
}

bool config_subscriber::is_fresh(instant now) const
{
    return has_fresh_reply_ &&
           now - last_fresh_reply_at_ <= settings_.max_quorum_confirmation_age * 2;
}

} // namespace fescuedyke
