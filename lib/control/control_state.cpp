#include "fescuedyke/control/control_state.h"

#include "fescuedyke/control/control_fields.h"
#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cassert>

namespace fescuedyke {

namespace {

/// Maximum number of change results kept to answer retries. At the design target of 630 changes a
/// day, this covers about a month.
constexpr std::size_t max_stored_results = 20'000;

/// Maximum number of targets whose departures are kept. Reports arrive seconds late at most.
constexpr std::size_t max_stored_departures = 1024;

struct state_snapshot {
    config_version version;
    std::map<std::string, policy_record> policies;
    bucket_table owners;
    route_document document;
    std::map<std::string, change_result> results;
    std::vector<std::string> result_order;
    /// Oldest first.
    std::vector<target_departure> departures;
};

/// A snapshot of a program that did not record departures.
struct state_snapshot_without_departures {
    state_snapshot state;
};

template <class A> void fields(A& a, state_snapshot& x)
{
    a(x.version, x.policies, x.owners, x.document, x.results, x.result_order, x.departures);
}

template <class A> void fields(A& a, state_snapshot_without_departures& x)
{
    state_snapshot& s = x.state;
    a(s.version, s.policies, s.owners, s.document, s.results, s.result_order);
}

absl::StatusOr<state_snapshot> decode_state_snapshot(const std::string& bytes)
{
    absl::StatusOr<state_snapshot> latest = decode<state_snapshot>(bytes, "snapshot");
    if (latest.ok()) {
        return latest;
    }
    absl::StatusOr<state_snapshot_without_departures> earlier =
        decode<state_snapshot_without_departures>(bytes, "snapshot");
    if (!earlier.ok()) {
        return earlier.status();
    }
    return std::move(earlier->state);
}

} // namespace

std::string change_id_of(std::uint64_t base, const std::string& text)
{
    const std::uint64_t first_hash = stable_hash(text, base);
    const std::uint64_t second_hash = stable_hash(text, ~base);
    return std::to_string(first_hash) + "-" + std::to_string(second_hash);
}

std::string policy_key(const owner_name& owner, const std::string& name)
{
    return owner.value() + "/" + name;
}

const change_result* control_state::find_result(const std::string& change_id) const
{
    const auto found = results_.find(change_id);
    return found == results_.end() ? nullptr : &found->second;
}

change_result control_state::apply(const policy_change& change)
{
    if (const change_result* known = find_result(change.change_id)) {
        return *known;
    }
    const std::string key = policy_key(change.owner, change.name);
    const auto found = policies_.find(key);
    const bool exists = found != policies_.end();
    const std::uint64_t current = exists && !found->second.removed ? found->second.version : 0;
    change_result result;
    if (current != change.based_on || (change.remove && current == 0)) {
        result = {change_code::conflict, current, version_};
    }
    else {
        version_ = config_version(version_.value() + 1);
        policy_record& record = policies_[key];
        record.owner = change.owner;
        record.name = change.name;
        record.yaml = change.remove ? "" : change.yaml;
        record.removed = change.remove;
        record.is_private = change.is_private;
        record.changed_in = version_;
        ++record.version;
        result = {change_code::accepted, change.remove ? 0 : record.version, version_};
    }
    store_result(change.change_id, result);
    return result;
}

change_result control_state::apply(const document_change& change)
{
    if (const change_result* known = find_result(change.change_id)) {
        return *known;
    }
    change_result result;
    if (change.based_on != document_.version || change.version <= document_.version) {
        result = {change_code::conflict, document_.version, version_};
    }
    else {
        version_ = config_version(version_.value() + 1);
        document_ = {change.version, version_, change.text};
        result = {change_code::accepted, change.version, version_};
    }
    store_result(change.change_id, result);
    return result;
}

void control_state::store_result(const std::string& change_id, const change_result& result)
{
    results_[change_id] = result;
    result_order_.push_back(change_id);
    if (result_order_.size() > max_stored_results) {
        results_.erase(result_order_.front());
        result_order_.pop_front();
    }
}

void control_state::apply(const owner_change& change)
{
    ++owners_.version;
    bucket_grants& grants = owners_.homes[change.home];
    for (const owner_change::grant& g : change.grants) {
        assert(g.bucket < buckets_per_home && "decode_command() checks the bucket");
        bucket_grant& current = grants[g.bucket];
        if (!current.owner.value().empty()) {
            current.former_owner = current.owner;
            current.former_incarnation = current.owner_incarnation;
        }
        current.owner = g.owner;
        current.owner_incarnation = g.owner_incarnation;
        current.epoch += g.owner.value().empty() ? 0 : 1;
        current.changed_in = owners_.version;
    }
}

void control_state::apply(const target_departure& departure)
{
    if (has_departed(departure)) {
        return;
    }
    if (departures_.count(departure.identity) == 0) {
        departure_order_.push_back(departure.identity);
    }
    departures_[departure.identity] = departure;
    if (departure_order_.size() > max_stored_departures) {
        departures_.erase(departure_order_.front());
        departure_order_.pop_front();
    }
}

bool control_state::has_departed(const target_departure& departure) const
{
    const auto found = departures_.find(departure.identity);
    return found != departures_.end() && found->second.covers(departure);
}

std::vector<policy_record> control_state::changed_since(config_version known) const
{
    std::vector<policy_record> result;
    for (const auto& [key, record] : policies_) {
        if (record.changed_in > known) {
            result.push_back(record);
        }
    }
    return result;
}

std::string control_state::encode_snapshot() const
{
    state_snapshot s{version_, policies_, owners_, document_, results_, {}, {}};
    s.result_order.assign(result_order_.begin(), result_order_.end());
    for (const std::string& identity : departure_order_) {
        s.departures.push_back(departures_.at(identity));
    }
    return encode(s);
}

absl::StatusOr<control_state> control_state::decode_snapshot(const std::string& bytes)
{
    absl::StatusOr<state_snapshot> s = decode_state_snapshot(bytes);
    if (!s.ok()) {
        return absl::DataLossError(s.status().message());
    }
    control_state state;
    state.version_ = s->version;
    state.policies_ = std::move(s->policies);
    state.owners_ = std::move(s->owners);
    state.document_ = std::move(s->document);
    state.results_ = std::move(s->results);
    state.result_order_.assign(s->result_order.begin(), s->result_order.end());
    for (const target_departure& departure : s->departures) {
        state.apply(departure);
    }
    return state;
}

std::string encode_command(const control_command& command)
{
    return encode(command);
}

absl::StatusOr<control_command> decode_command(const std::string& bytes)
{
    absl::StatusOr<control_command> command = decode<control_command>(bytes, "command");
    if (!command.ok()) {
        return command;
    }
    if (const auto* owners = std::get_if<owner_change>(&*command)) {
        const bool in_range =
            std::all_of(owners->grants.begin(), owners->grants.end(),
                        [](const auto& g) { return g.bucket < buckets_per_home; });
        if (!in_range) {
            return absl::InvalidArgumentError("command: bucket out of range");
        }
    }
    return command;
}

} // namespace fescuedyke
