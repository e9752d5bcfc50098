#include "fescuedyke/once/ownership.h"
#include "fescuedyke/once/idempotency_key.h"

#include "fescuedyke/support/hash.h"
#include "fescuedyke/support/uuid.h"

#include <utility>

namespace fescuedyke {

namespace {

constexpr std::size_t max_home_bytes = 64;

} // namespace

absl::StatusOr<idempotency_key> parse_idempotency_key(const std::string& text)
{
    idempotency_key key;
    key.text = text;
    const auto colon = text.find(':');
    std::string uuid = text;
    if (colon != std::string::npos) {
        if (colon == 0 || colon > max_home_bytes) {
            return absl::InvalidArgumentError(
                "idempotency key: home region must be 1 to 64 bytes long");
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

void ownership::on_table(const bucket_table& table, wall_time received_at)
{
    if (table.version < table_version_) {
        return;
    }
    table_version_ = table.version;
    std::map<bucket_key, held_bucket> held_buckets;
    for (const auto& [home, grants] : table.homes) {
        for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
            const bucket_grant& grant = grants[i];
            if (released_ || grant.owner != self_ || grant.owner_incarnation != self_incarnation_) {
                continue;
            }
            const bucket_key key{home, bucket_index(i)};
            const auto known = held_buckets_.find(key);
            if (known != held_buckets_.end() && known->second.epoch == grant.epoch) {
                held_buckets[key] = known->second;
                continue;
            }
            const auto imported_epoch = imported_epochs_.find(key);
            const bool imported =
                imported_epoch != imported_epochs_.end() && imported_epoch->second == grant.epoch;
            held_buckets[key] = held_bucket{grant.epoch, grant.epoch == 1 || imported, received_at};
        }
    }
    for (const auto& [key, held] : held_buckets_) {
        const auto kept = held_buckets.find(key);
        if (kept == held_buckets.end() || kept->second.epoch != held.epoch) {
            add_lost(key, held);
        }
    }
    held_buckets_ = std::move(held_buckets);
}

void ownership::on_lease_renewed(instant until, std::uint64_t table_version)
{
    if (table_version > table_version_) {
        return;
    }
    lease_until_ = until > lease_until_ ? until : lease_until_;
}

void ownership::release_all()
{
    released_ = true;
    for (const auto& [key, held] : held_buckets_) {
        add_lost(key, held);
    }
    held_buckets_.clear();
}

void ownership::add_lost(const bucket_key& key, const held_bucket& held)
{
    lost_.push_back({key.first, key.second, held});
}

void ownership::rejoin(incarnation next)
{
    self_incarnation_ = next;
    released_ = false;
    lease_until_ = instant();
    held_buckets_.clear();
}

void ownership::on_history_imported(const bucket_home& home, bucket_index bucket,
                                    std::uint64_t epoch)
{
    imported_epochs_[{home, bucket}] = epoch;
    const auto found = held_buckets_.find({home, bucket});
    if (found != held_buckets_.end() && found->second.epoch == epoch) {
        found->second.history_complete = true;
    }
}

std::optional<held_bucket> ownership::find_servable(const service_name& service,
                                                    const idempotency_key& key, instant now) const
{
    if (now >= lease_until_) {
        return std::nullopt;
    }
    const auto found = held_buckets_.find({{service, key.home}, key.bucket});
    if (found == held_buckets_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace fescuedyke
