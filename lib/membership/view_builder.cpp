#include "fescuedyke/membership/view_builder.h"

namespace fescuedyke {

namespace {

target_info make_target(const node_record& record)
{
    target_info info;
    info.instance = record.instance;
    info.node_incarnation = record.node_incarnation;
    info.node_address = record.address;
    info.location = record.location;
    info.service = record.target->service;
    info.owner = record.owner;
    info.identity = record.target->identity;
    info.target_incarnation = record.target->target_incarnation;
    info.labels = record.target->labels;
    info.slots = record.target->slots;
    info.state = record.target->state;
    return info;
}

} // namespace

bool view_builder::on_delta(const std::string& member, const view_delta& delta)
{
    member_view& received = members_[member];
    if (delta.from_version == 0) {
        changed_ = true;
        received.nodes.clear();
    }
    else if (delta.epoch != received.epoch || delta.from_version > received.version) {
        received.version = 0;
        return false;
    }
    received.epoch = delta.epoch;
    received.version = delta.version;
    for (const node_status& change : delta.changes) {
        changed_ = true;
        received.nodes[change.record.instance] = change;
    }
    return true;
}

void view_builder::remove_member(const std::string& member)
{
    changed_ = members_.erase(member) > 0 || changed_;
}

std::vector<std::string> view_builder::members() const
{
    std::vector<std::string> names;
    for (const auto& [name, received] : members_) {
        names.push_back(name);
    }
    return names;
}

std::uint64_t view_builder::known_version(const std::string& member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? 0 : found->second.version;
}

std::uint64_t view_builder::known_epoch(const std::string& member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? 0 : found->second.epoch;
}

target_view view_builder::build()
{
    std::map<instance_id, node_status> merged;
    for (const auto& [member, received] : members_) {
        for (const auto& [instance, status] : received.nodes) {
            const auto found = merged.find(instance);
            if (found == merged.end() || is_later(status.record, found->second.record)) {
                merged[instance] = status;
                continue;
            }
            if (!is_later(found->second.record, status.record)) {
                found->second.live = found->second.live || status.live;
            }
        }
    }
    target_view view;
    view.version = ++version_;
    for (const auto& [instance, status] : merged) {
        if (status.live && status.record.target) {
            view.services[status.record.target->service].push_back(make_target(status.record));
        }
    }
    changed_ = false;
    return view;
}

} // namespace fescuedyke
