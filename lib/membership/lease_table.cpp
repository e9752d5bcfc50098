#include "fescuedyke/membership/lease_table.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace fescuedyke {

namespace {

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

void lease_table::on_report(const node_record& record, config_version in_force, instant now)
{
    const auto found = held_.find(record.instance);
    const bool known = found != held_.end();
    // A late message of a former incarnation neither changes nor keeps alive the present one.
    if (known && is_later(found->second.status.record, record)) {
        return;
    }
    held_node& node = held_[record.instance];
    node.last_heard = now;
    const node_status next{record, true, in_force};
    if (known && same_status(node.status, next) && node.status.in_force == in_force) {
        return;
    }
    node.status = next;
    node.changed = ++held_version_;
    refresh(record.instance, now);
}

std::uint64_t lease_table::on_member_delta(const std::string& member, const member_delta& delta,
                                           instant now)
{
    learned_member& learned = learned_[member];
    learned.last_heard = now;
    std::set<instance_id> touched;
    if (delta.from == 0 || delta.epoch != learned.epoch) {
        if (delta.from != 0) {
            return 0;
        }
        for (const auto& [instance, status] : learned.nodes) {
            touched.insert(instance);
        }
        learned.nodes.clear();
        learned.epoch = delta.epoch;
    }
    else if (delta.from > learned.version) {
        return learned.version;
    }
    for (const node_status& change : delta.changes) {
        learned.nodes[change.record.instance] = change;
        touched.insert(change.record.instance);
    }
    learned.version = delta.version;
    for (const instance_id& instance : touched) {
        refresh(instance, now);
    }
    return learned.version;
}

node_status lease_table::best_of(const instance_id& instance) const
{
    node_status best;
    bool any = false;
    const auto consider = [&](const node_status& s) {
        const bool later = any && is_later(s.record, best.record);
        const bool as_late = any && !later && !is_later(best.record, s.record);
        const config_version reached = as_late ? std::max(best.in_force, s.in_force) : s.in_force;
        if (!any || later || (as_late && s.live)) {
            best = s;
            any = true;
        }
        best.in_force = later || as_late ? reached : best.in_force;
    };
    if (const auto held = held_.find(instance); held != held_.end()) {
        consider(held->second.status);
    }
    for (const auto& [member, learned] : learned_) {
        const auto found = learned.nodes.find(instance);
        if (found != learned.nodes.end()) {
            consider(found->second);
        }
    }
    return best;
}

void lease_table::refresh(const instance_id& instance, instant now)
{
    node_status next = best_of(instance);
    const auto known = effective_.find(instance);
    if (next.record.instance != instance) {
        if (known == effective_.end()) {
            return;
        }
        next = known->second;
        next.live = false;
    }
    if (known != effective_.end() && same_status(known->second, next)) {
        // What a node has in force concerns operators, not other nodes.
        known->second.in_force = next.in_force;
        return;
    }
    effective_[instance] = next;
    changed_[instance] = ++version_;
    if (next.live) {
        gone_since_.erase(instance);
    }
    else {
        gone_since_.emplace(instance, now);
    }
}

void lease_table::expire(instant now)
{
    std::vector<instance_id> touched;
    for (auto& [instance, node] : held_) {
        if (node.status.live && now - node.last_heard > settings_.node_lease) {
            node.status.live = false;
            node.changed = ++held_version_;
            touched.push_back(instance);
        }
    }
    for (auto it = learned_.begin(); it != learned_.end();) {
        if (now - it->second.last_heard <= settings_.member_lease) {
            ++it;
            continue;
        }
        for (const auto& [instance, status] : it->second.nodes) {
            touched.push_back(instance);
        }
        it = learned_.erase(it);
    }
    for (const instance_id& instance : touched) {
        refresh(instance, now);
    }
    forget(now);
}

void lease_table::forget(instant now)
{
    for (auto it = gone_since_.begin(); it != gone_since_.end();) {
        if (now - it->second <= settings_.gone_memory) {
            ++it;
            continue;
        }
        oldest_delta_ = std::max(oldest_delta_, changed_[it->first]);
        held_.erase(it->first);
        effective_.erase(it->first);
        changed_.erase(it->first);
        it = gone_since_.erase(it);
    }
}

member_delta lease_table::held_since(std::uint64_t epoch, std::uint64_t known) const
{
    const bool whole = epoch != epoch_ || known == 0 || known > held_version_;
    member_delta delta;
    delta.epoch = epoch_;
    delta.from = whole ? 0 : known;
    delta.version = held_version_;
    for (const auto& [instance, node] : held_) {
        if (node.changed > delta.from) {
            delta.changes.push_back(node.status);
        }
    }
    return delta;
}

view_delta lease_table::view_since(std::uint64_t epoch, std::uint64_t known) const
{
    const bool whole = epoch != epoch_ || known == 0 || known > version_ || known < oldest_delta_;
    view_delta delta;
    delta.epoch = epoch_;
    delta.from = whole ? 0 : known;
    delta.version = version_;
    for (const auto& [instance, status] : effective_) {
        const bool changed = changed_.at(instance) > delta.from;
        const bool told = whole ? status.live && status.record.target.has_value() : true;
        if (changed && told) {
            delta.changes.push_back(status);
        }
    }
    return delta;
}

std::vector<node_record> lease_table::live_nodes() const
{
    std::vector<node_record> result;
    for (const auto& [instance, status] : effective_) {
        if (status.live) {
            result.push_back(status.record);
        }
    }
    return result;
}

bool lease_table::holds(const instance_id& instance) const
{
    const auto found = held_.find(instance);
    return found != held_.end() && found->second.status.live;
}

} // namespace fescuedyke
