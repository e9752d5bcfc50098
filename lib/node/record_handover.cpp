#include "fescuedyke/node/record_handover.h"

#include <algorithm>
#include <optional>

namespace fescuedyke {

namespace {

/// Time to wait until a bucket can be handed over. Afterwards its records are dropped, and the next
/// owner answers "unknown" for the keys of the bucket.
constexpr millis next_owner_timeout{5000};

/// Returns the grant that directly follows the lost one, or nullptr if there is none yet.
const bucket_grant* find_next_grant(const bucket_table& table, const ownership::lost_bucket& lost)
{
    const auto home = table.homes.find(lost.home);
    if (home == table.homes.end()) {
        return nullptr;
    }
    const bucket_grant& grant = home->second[lost.bucket.value()];
    const bool follows = grant.epoch == lost.held.epoch + 1 && !grant.owner.value().empty();
    return follows ? &grant : nullptr;
}

/// Returns the records of the bucket, or nullopt while one of its keys is still running.
std::optional<std::map<std::string, run_record>>
collect_settled_records(const run_registry& registry, const ownership::lost_bucket& lost)
{
    std::map<std::string, run_record> records;
    for (const auto& [text, record] : registry.records()) {
        const absl::StatusOr<idempotency_key> key = parse_idempotency_key(text);
        if (!key.ok() || key->bucket != lost.bucket || key->home != lost.home.second) {
            continue;
        }
        if (record.state == run_state::running) {
            return std::nullopt;
        }
        records[text] = record;
    }
    return records;
}

} // namespace

record_handover::record_handover(const run_registry_settings& settings) : settings_(settings) {}

void record_handover::on_buckets_lost(const std::vector<ownership::lost_bucket>& lost, moment at)
{
    for (const ownership::lost_bucket& bucket : lost) {
        // Without a complete history, the records are complete only once all keys created before
        // the grant of this instance have expired.
        const wall_time history_known_from =
            bucket.held.first_seen + settings_.retention + settings_.max_clock_skew * 2;
        if (bucket.held.history_complete || at.wall > history_known_from) {
            waiting_.push_back({bucket, at.now});
        }
    }
}

void record_handover::advance(const bucket_table& table, const run_registry& registry,
                              const target_chooser& chooser, moment at, node_actions& actions)
{
    const auto done = [&](const waiting_bucket& w) {
        if (at.now - w.since > next_owner_timeout) {
            return true;
        }
        const bucket_grant* grant = find_next_grant(table, w.bucket);
        const target_info* owner =
            grant == nullptr ? nullptr : chooser.find(w.bucket.home.first, grant->owner);
        if (owner == nullptr) {
            return false;
        }
        std::optional<std::map<std::string, run_record>> records =
            collect_settled_records(registry, w.bucket);
        if (!records) {
            return false;
        }
        actions.emplace_back(
            hand_over_records{owner->instance,
                              owner->node_address,
                              {w.bucket.home, w.bucket.bucket, grant->epoch, std::move(*records)}});
        return true;
    };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), done), waiting_.end());
}

} // namespace fescuedyke
