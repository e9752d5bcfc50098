#include "fescuedyke/once/idempotency_key.h"
#include "fescuedyke/once/ownership.h"

#include "fescuedyke/support/hash.h"
#include "fescuedyke/support/uuid.h"

#include <utility>

namespace fescuedyke {

namespace {

constexpr std::size_t longest_home = 64;

} // namespace

absl::StatusOr<idempotency_key> parse_idempotency_key(const std::string& text)
{
    idempotency_key key;
    key.text = text;
    const auto colon = text.find(':');
    std::string uuid = text;
    if (colon != std::string::npos) {
        if (colon == 0 || colon > longest_home) {
            return absl::InvalidArgumentError("idempotency key has an invalid home");
        }
        key.home = region_name(text.substr(0, colon));
        uuid = text.substr(colon + 1);
    }
    const absl::StatusOr<wall_time> created = parse_uuid7_time(uuid);
    if (!created.ok()) {
        return created.status();
    }
    key.created = *created;
    key.bucket = bucket_index(static_cast<std::uint32_t>(stable_hash(text) % buckets_per_home));
    return key;
}

const bucket_grant* bucket_table::find(const service_name& service,
                                       const idempotency_key& key) const
{
    const auto found = homes.find({service, key.home});
    return found == homes.end() ? nullptr : &found->second[key.bucket.value()];
}

ownership::ownership(instance_id self, incarnation self_incarnation)
    : self_(std::move(self)), self_incarnation_(self_incarnation)
{
}

void ownership::on_table(const bucket_table& table, wall_time seen)
{
    if (table.version < table_version_) {
        return;
    }
    table_version_ = table.version;
    std::map<hold_key, bucket_hold> holds;
    for (const auto& [home, grants] : table.homes) {
        for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
            const bucket_grant& grant = grants[i];
            if (released_ || grant.owner != self_ || grant.owner_incarnation != self_incarnation_) {
                continue;
            }
            const hold_key key{home, bucket_index(i)};
            const auto known = holds_.find(key);
            if (known != holds_.end() && known->second.epoch == grant.epoch) {
                holds[key] = known->second;
                continue;
            }
            const auto history = histories_.find(key);
            const bool taken_over = history != histories_.end() && history->second == grant.epoch;
            holds[key] = bucket_hold{grant.epoch, grant.epoch == 1 || taken_over, seen};
        }
    }
    for (const auto& [key, hold] : holds_) {
        const auto kept = holds.find(key);
        if (kept == holds.end() || kept->second.epoch != hold.epoch) {
            lose(key, hold);
        }
    }
    holds_ = std::move(holds);
}

void ownership::on_lease(instant until, std::uint64_t table_version)
{
    if (table_version > table_version_) {
        return;
    }
    lease_until_ = until > lease_until_ ? until : lease_until_;
}

void ownership::release_all()
{
    released_ = true;
    for (const auto& [key, hold] : holds_) {
        lose(key, hold);
    }
    holds_.clear();
}

void ownership::lose(const hold_key& key, const bucket_hold& hold)
{
    lost_.push_back({key.first, key.second, hold});
}

void ownership::renew(incarnation next)
{
    self_incarnation_ = next;
    released_ = false;
    lease_until_ = instant();
    holds_.clear();
}

void ownership::on_history_taken_over(const bucket_home& home, bucket_index bucket,
                                      std::uint64_t epoch)
{
    histories_[{home, bucket}] = epoch;
    const auto found = holds_.find({home, bucket});
    if (found != holds_.end() && found->second.epoch == epoch) {
        found->second.history_complete = true;
    }
}

std::optional<bucket_hold> ownership::may_serve(const service_name& service,
                                                const idempotency_key& key, instant now) const
{
    if (now >= lease_until_) {
        return std::nullopt;
    }
    const auto found = holds_.find({{service, key.home}, key.bucket});
    if (found == holds_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace fescuedyke
