#include "fescuedyke/subscription/config_subscriber.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Members whose round trips differ by less count as equally near; the one asked so far stays.
constexpr millis same_distance{16};

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

bool config_subscriber::is_good(const member_standing& m, instant now) const
{
    return now >= m.avoid_until;
}

std::vector<std::string> config_subscriber::chosen(instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, m] : members_) {
        names.push_back(name);
    }
    const auto order = [&](const std::string& name) {
        const member_standing& m = members_.at(name);
        return std::make_tuple(!is_good(m, now), settings_.follows_leader && name != leader_,
                               m.round_trip.count() / same_distance.count(),
                               asked_.count(name) == 0, m.last_reply);
    };
    std::stable_sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        return order(a) < order(b);
    });
    names.resize(std::min(names.size(), settings_.members_at_once));
    return names;
}

void config_subscriber::avoid(const std::string& member, instant now)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return;
    }
    constexpr int most_doublings = 3;
    const int doublings = std::min(found->second.failures, most_doublings);
    ++found->second.failures;
    found->second.avoid_until =
        now + std::min(settings_.avoid * (std::int64_t{1} << doublings), settings_.longest_avoid);
    // What it told is not relied on while others tell more; with no other it is all there is.
    const bool others = std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
        return m.first != member && m.second.replied && is_good(m.second, now);
    });
    if (others) {
        view_.drop(member);
    }
}

subscriber_output config_subscriber::tick(instant now)
{
    subscriber_output output;
    std::vector<std::uint64_t> late;
    for (const auto& [number, p] : open_) {
        if (now - p.sent > settings_.poll_timeout) {
            late.push_back(number);
        }
    }
    for (const std::uint64_t number : late) {
        on_failed(number, now);
    }
    const bool due = !polled_ || now - last_round_ >= settings_.poll_period;
    if (!due && !record_changed_) {
        return output;
    }
    polled_ = true;
    last_round_ = now;
    record_changed_ = false;
    const std::vector<std::string> next = chosen(now);
    asked_ = {next.begin(), next.end()};
    for (const std::string& name : next) {
        const bool busy = std::any_of(open_.begin(), open_.end(),
                                      [&](const auto& p) { return p.second.member == name; });
        if (busy) {
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
        open_[p.number] = {name, now};
        output.polls.push_back(std::move(p));
    }
    return output;
}

void config_subscriber::on_failed(std::uint64_t number, instant now)
{
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    const std::string member = found->second.member;
    open_.erase(found);
    avoid(member, now);
}

void config_subscriber::note_members(const poll_reply& reply)
{
    if (!reply.leader.empty()) {
        leader_ = reply.leader;
    }
    for (const member_entry& m : reply.members) {
        if (!m.address.host.empty()) {
            members_[m.id.name].address = m.address;
        }
    }
    forget_unlisted(reply);
}

void config_subscriber::forget_unlisted(const poll_reply& reply)
{
    for (auto it = members_.begin(); it != members_.end();) {
        const bool listed =
            std::any_of(reply.members.begin(), reply.members.end(),
                        [&](const member_entry& m) { return m.id.name == it->first; });
        // A member that was taken out is no longer told anything.
        it = listed || reply.members.empty() ? std::next(it) : members_.erase(it);
    }
}

subscriber_output config_subscriber::on_reply(std::uint64_t number, const poll_reply& reply,
                                              instant now)
{
    subscriber_output output;
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return output;
    }
    const open_poll asked = found->second;
    open_.erase(found);
    const auto standing = members_.find(asked.member);
    if (standing == members_.end()) {
        // It was taken out of the group while it was asked.
        return output;
    }
    member_standing& m = standing->second;
    m.failures = reply.beacon_age > settings_.beacon_limit ? m.failures : 0;
    m.last_reply = now;
    m.beacon_age = reply.beacon_age;
    const millis took = now - asked.sent;
    m.round_trip = m.replied ? millis((m.round_trip.count() * 3 + took.count()) / 4) : took;
    m.replied = true;
    if (reply.beacon_age > settings_.beacon_limit) {
        avoid(asked.member, now);
        // Versions only go upwards, so that what an old member tells can be taken, but it does not
        // make the node's configuration fresh.
        take_policies(reply, output);
        take_document(reply, output);
        return output;
    }
    note_members(reply);
    fresh_at_ = now;
    ever_fresh_ = true;
    take_policies(reply, output);
    take_document(reply, output);
    take_owners(reply, output);
    take_view(reply, now, output);
    if (reply.lease) {
        output.events.emplace_back(lease_renewed{asked.sent + *reply.lease, reply.owners_version});
    }
    return output;
}

void config_subscriber::take_policies(const poll_reply& reply, subscriber_output& output)
{
    for (const policy_record& record : reply.policies) {
        const std::string key = policy_key(record.owner, record.name);
        policy_record& held = records_[key];
        if (record.changed_in <= held.changed_in) {
            continue;
        }
        held = record;
        policies_.erase(key);
        if (record.removed) {
            continue;
        }
        // Members accept only what parses; a policy that a later program wrote may not here.
        if (absl::StatusOr<policy> parsed = parse_policy(record.yaml); parsed.ok()) {
            policies_[key] = std::move(*parsed);
        }
    }
    const bool newer = reply.version > version_;
    version_ = std::max(version_, reply.version);
    if (ever_fresh_ && (newer || !told_policies_)) {
        told_policies_ = true;
        output.events.emplace_back(
            policies_updated{std::make_shared<policy_set>(version_, policies_)});
    }
}

void config_subscriber::take_document(const poll_reply& reply, subscriber_output& output)
{
    if (reply.document && reply.document->changed_in > document_.changed_in) {
        document_ = *reply.document;
    }
    if (ever_fresh_ && document_.changed_in > told_document_) {
        told_document_ = document_.changed_in;
        output.document = document_;
    }
}

void config_subscriber::take_owners(const poll_reply& reply, subscriber_output& output)
{
    if (reply.owners_version <= owners_.version) {
        return;
    }
    for (const auto& [home, grants] : reply.owners) {
        bucket_grants& held = owners_.homes[home];
        for (const auto& [bucket, grant] : grants) {
            if (bucket < buckets_per_home && grant.changed_in > held[bucket].changed_in) {
                held[bucket] = grant;
            }
        }
    }
    owners_.version = reply.owners_version;
    output.events.emplace_back(owners_updated{std::make_shared<bucket_table>(owners_)});
}

void config_subscriber::take_view(const poll_reply& reply, instant now, subscriber_output& output)
{
    view_.on_delta(reply.member, reply.view);
    // What another member told before it was left for this one may have ended since.
    const std::vector<std::string> asked = chosen(now);
    for (const std::string& member : view_.members()) {
        const bool current = std::find(asked.begin(), asked.end(), member) != asked.end();
        if (!current && member != reply.member) {
            view_.drop(member);
        }
    }
    if (view_.changed()) {
        output.events.emplace_back(targets_updated{std::make_shared<target_view>(view_.build())});
    }
}

bool config_subscriber::is_fresh(instant now) const
{
    return ever_fresh_ && now - fresh_at_ <= settings_.beacon_limit * 2;
}

} // namespace fescuedyke
