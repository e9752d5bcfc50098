#include "fescuedyke/membership/lease_table.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace fescuedyke {

namespace {

/// Compares everything except the active configuration version.
bool same_status(const node_status& a, const node_status& b)
{
    const node_record& x = a.record;
    const node_record& y = b.record;
    return a.live == b.live && x.node_incarnation == y.node_incarnation && x.sequence == y.sequence;
}

} // namespace

bool is_later(const node_record& a, const node_record& b)
{
    return std::tie(a.node_incarnation, a.sequence) > std::tie(b.node_incarnation, b.sequence);
}

lease_table::lease_table(const membership_settings& settings, std::uint64_t epoch)
    : settings_(settings), epoch_(epoch)
{
}

void lease_table::on_report(const node_record& record, config_version active_config_version,
                            instant now)
{
    const auto found = held_.find(record.instance);
    const bool known = found != held_.end();
    // A late report of an earlier incarnation neither changes the record nor renews the lease.
    if (known && is_later(found->second.status.record, record)) {
        return;
    }
    leased_node& node = held_[record.instance];
    node.last_heard = now;
    const node_status next{record, true, active_config_version};
    if (known && same_status(node.status, next) &&
        node.status.active_config_version == active_config_version) {
        return;
    }
    node.status = next;
    node.change_version = ++held_version_;
    update_merged(record.instance, now);
}

std::uint64_t lease_table::on_member_delta(const std::string& member, const member_delta& delta,
                                           instant now)
{
    remote_member& remote = remote_members_[member];
    remote.last_heard = now;
    std::set<instance_id> affected;
    if (delta.from_version == 0 || delta.epoch != remote.epoch) {
        if (delta.from_version != 0) {
            return 0;
        }
        for (const auto& [instance, status] : remote.nodes) {
            affected.insert(instance);
        }
        remote.nodes.clear();
        remote.epoch = delta.epoch;
    }
    else if (delta.from_version > remote.version) {
        return remote.version;
    }
    for (const node_status& change : delta.changes) {
        remote.nodes[change.record.instance] = change;
        affected.insert(change.record.instance);
    }
    remote.version = delta.version;
    for (const instance_id& instance : affected) {
        update_merged(instance, now);
    }
    return remote.version;
}

node_status lease_table::latest_status_of(const instance_id& instance) const
{
    node_status best;
    bool has_best = false;
    const auto consider = [&](const node_status& s) {
        const bool later = has_best && is_later(s.record, best.record);
        const bool same_record = has_best && !later && !is_later(best.record, s.record);
        const config_version latest_config_version =
            same_record ? std::max(best.active_config_version, s.active_config_version)
                        : s.active_config_version;
        if (!has_best || later || (same_record && s.live)) {
            best = s;
            has_best = true;
        }
        best.active_config_version =
            later || same_record ? latest_config_version : best.active_config_version;
    };
    if (const auto held = held_.find(instance); held != held_.end()) {
        consider(held->second.status);
    }
    for (const auto& [member, remote] : remote_members_) {
        const auto found = remote.nodes.find(instance);
        if (found != remote.nodes.end()) {
            consider(found->second);
        }
    }
    return best;
}

void lease_table::update_merged(const instance_id& instance, instant now)
{
    node_status next = latest_status_of(instance);
    const auto known = merged_.find(instance);
    if (next.record.instance != instance) {
        if (known == merged_.end()) {
            return;
        }
        next = known->second;
        next.live = false;
    }
    if (known != merged_.end() && same_status(known->second, next)) {
        // The active configuration version is only shown to operators, so a change of it alone is
        // not distributed to other nodes.
        known->second.active_config_version = next.active_config_version;
        return;
    }
    merged_[instance] = next;
    change_versions_[instance] = ++version_;
    if (next.live) {
        tombstoned_at_.erase(instance);
    }
    else {
        tombstoned_at_.emplace(instance, now);
    }
}

void lease_table::expire(instant now)
{
    std::vector<instance_id> affected;
    for (auto& [instance, node] : held_) {
        if (node.status.live && now - node.last_heard > settings_.node_lease) {
            node.status.live = false;
            node.change_version = ++held_version_;
            affected.push_back(instance);
        }
    }
    for (auto it = remote_members_.begin(); it != remote_members_.end();) {
        if (now - it->second.last_heard <= settings_.member_lease) {
            ++it;
            continue;
        }
        for (const auto& [instance, status] : it->second.nodes) {
            affected.push_back(instance);
        }
        it = remote_members_.erase(it);
    }
    for (const instance_id& instance : affected) {
        update_merged(instance, now);
    }
    expire_tombstones(now);
}

void lease_table::expire_tombstones(instant now)
{
    for (auto it = tombstoned_at_.begin(); it != tombstoned_at_.end();) {
        if (now - it->second <= settings_.tombstone_retention) {
            ++it;
            continue;
        }
        oldest_delta_base_ = std::max(oldest_delta_base_, change_versions_[it->first]);
        held_.erase(it->first);
        merged_.erase(it->first);
        change_versions_.erase(it->first);
        it = tombstoned_at_.erase(it);
    }
}

member_delta lease_table::held_changes_since(std::uint64_t epoch, std::uint64_t known) const
{
    const bool full = epoch != epoch_ || known == 0 || known > held_version_;
    member_delta delta;
    delta.epoch = epoch_;
    delta.from_version = full ? 0 : known;
    delta.version = held_version_;
    for (const auto& [instance, node] : held_) {
        if (node.change_version > delta.from_version) {
            delta.changes.push_back(node.status);
        }
    }
    return delta;
}

view_delta lease_table::view_changes_since(std::uint64_t epoch, std::uint64_t known) const
{
    const bool full =
        epoch != epoch_ || known == 0 || known > version_ || known < oldest_delta_base_;
    view_delta delta;
    delta.epoch = epoch_;
    delta.from_version = full ? 0 : known;
    delta.version = version_;
    for (const auto& [instance, status] : merged_) {
        const bool changed = change_versions_.at(instance) > delta.from_version;
        const bool relevant = full ? status.live && status.record.target.has_value() : true;
        if (changed && relevant) {
            delta.changes.push_back(status);
        }
    }
    return delta;
}

std::vector<node_record> lease_table::live_nodes() const
{
    std::vector<node_record> result;
    for (const auto& [instance, status] : merged_) {
        if (status.live) {
            result.push_back(status.record);
        }
    }
    return result;
}

bool lease_table::holds_lease(const instance_id& instance) const
{
    const auto found = held_.find(instance);
    return found != held_.end() && found->second.status.live;
}

} // namespace fescuedyke
