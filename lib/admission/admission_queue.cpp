#include "fescuedyke/admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>

namespace fescuedyke {

namespace {

constexpr std::size_t min_queue_capacity = 2;

/// Time before a queued call can no longer meet its deadline at which a running idempotent call is
/// preempted for it. Must exceed the interval between calls of expire().
constexpr millis preemption_margin{25};

/// Maximum time for which a call is queued because of the rate limit. Other targets may have room.
constexpr millis max_rate_wait{250};

} // namespace

admission_queue::admission_queue(const admission_settings& settings)
    : settings_(settings), limit_(settings.slots, settings.adaptive),
      saturation_limit_(settings.slots)
{
}

int admission_queue::effective_limit() const
{
    const double warm_up_limit = std::ceil(limit_.slots() * warm_up_share_);
    return std::max(1, std::min({limit_.current(), saturation_limit_.current(),
                                 static_cast<int>(warm_up_limit)}));
}

std::size_t admission_queue::queue_capacity() const
{
    const auto by_slots = std::max(min_queue_capacity, static_cast<std::size_t>(effective_limit()));
    return std::min(by_slots, rate_.calls_in(max_rate_wait).value_or(by_slots));
}

bool admission_queue::cannot_meet_deadline(const admission_entry& entry, std::size_t ahead,
                                           instant now) const
{
    const double rounds = static_cast<double>(ahead) / effective_limit();
    const bool must_wait = running() >= effective_limit();
    const double slot_wait = must_wait ? (rounds + 0.5) * limit_.service_time() : 0.0;
    const auto rate_wait = static_cast<double>(rate_.time_until(ahead, now).count());
    const double wait = std::max(slot_wait, rate_wait);
    return wait + limit_.min_service_time() > static_cast<double>(entry.deadline.since_origin());
}

std::size_t admission_queue::position_of(rank priority_rank) const
{
    // A linear walk is cheap because queue_capacity() bounds the queue by the limit.
    const auto end = queue_.lower_bound({priority_rank, next_arrival_});
    return static_cast<std::size_t>(std::distance(queue_.begin(), end));
}

std::optional<inbound_id> admission_queue::find_preemptible(rank priority_rank) const
{
    const admission_entry* lowest_priority = nullptr;
    for (const auto& [id, call] : running_) {
        const admission_entry& entry = call.entry;
        const bool lower_class = entry.priority_rank.cls() > priority_rank.cls();
        if (entry.idempotent && lower_class &&
            (lowest_priority == nullptr || entry.priority_rank > lowest_priority->priority_rank)) {
            lowest_priority = &entry;
        }
    }
    return lowest_priority == nullptr ? std::nullopt
                                      : std::optional<inbound_id>(lowest_priority->id);
}

bool admission_queue::preempt_for(const admission_entry& entry, instant now,
                                  admission_result& result)
{
    const std::optional<inbound_id> victim = settings_.preemption && rate_.admits(now)
                                                 ? find_preemptible(entry.priority_rank)
                                                 : std::nullopt;
    if (!victim) {
        return false;
    }
    remove_running(*victim);
    result.preempted.push_back(*victim);
    return true;
}

void admission_queue::enqueue(const admission_entry& entry)
{
    const queue_key key{entry.priority_rank, next_arrival_++};
    queue_.emplace(key, entry);
    queued_ids_.emplace(entry.id, key);
    bytes_held_ += entry.bytes;
}

void admission_queue::dispatch(const admission_entry& entry, instant now, admission_result& result)
{
    rate_.on_dispatched(now);
    running_.emplace(entry.id, running_call{entry, running() + 1});
    bytes_held_ += entry.bytes;
    result.dispatched.push_back(entry.id);
}

void admission_queue::shed(const admission_entry& entry, outcome_reason reason,
                           admission_result& result)
{
    result.shed.push_back({entry.id, reason});
}

admission_result admission_queue::offer(const admission_entry& entry, instant now)
{
    admission_result result;
    if (bytes_held_ + entry.bytes > settings_.memory_bytes) {
        shed(entry, outcome_reason::memory_full, result);
        return result;
    }
    admission_entry relative = entry;
    relative.deadline = instant((entry.deadline - now).count());
    const bool has_free_slot = running() < effective_limit() && queue_.empty() && rate_.admits(now);
    if (has_free_slot && !cannot_meet_deadline(relative, 0, now)) {
        dispatch(entry, now, result);
        return result;
    }
    const std::size_t position = position_of(entry.priority_rank);
    if (rate_.time_until(position, now) > max_rate_wait) {
        if (!queue_.empty()) {
            level_.on_shed(now, std::prev(queue_.end())->first.first);
        }
        shed(entry, outcome_reason::overloaded, result);
        return result;
    }
    if (cannot_meet_deadline(relative, position, now)) {
        const auto time_left = static_cast<double>(relative.deadline.since_origin());
        if (!has_free_slot && time_left > limit_.min_service_time() &&
            preempt_for(entry, now, result)) {
            dispatch(entry, now, result);
            return result;
        }
        level_.on_shed(now, rank::from_value(std::int64_t{entry.priority_rank.value()} - 1));
        shed(entry, outcome_reason::doomed, result);
        return result;
    }
    if (queue_.size() < queue_capacity()) {
        enqueue(entry);
        return result;
    }
    const auto tail = std::prev(queue_.end());
    if (entry.priority_rank >= tail->first.first) {
        if (preempt_for(entry, now, result)) {
            enqueue(entry);
            dispatch_queued(now, result);
            return result;
        }
        level_.on_shed(now, tail->first.first);
        shed(entry, outcome_reason::overloaded, result);
        return result;
    }
    const admission_entry evicted = tail->second;
    const bool was_queued = remove_queued(evicted.id);
    assert(was_queued && "the last queue entry must have a queued id");
    (void)was_queued;
    enqueue(entry);
    if (preempt_for(evicted, now, result)) {
        enqueue(evicted);
        dispatch_queued(now, result);
        return result;
    }
    level_.on_shed(now, std::prev(queue_.end())->first.first);
    shed(evicted, outcome_reason::overloaded, result);
    return result;
}

void admission_queue::remove_running(inbound_id id)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    bytes_held_ -= found->second.entry.bytes;
    running_.erase(found);
}

void admission_queue::dispatch_queued(instant now, admission_result& result)
{
    while (!queue_.empty() && running() < effective_limit() && rate_.admits(now)) {
        const admission_entry entry = queue_.begin()->second;
        remove_queued(entry.id);
        const double time_left = static_cast<double>((entry.deadline - now).count());
        if (time_left <= 0 || time_left < limit_.min_service_time()) {
            shed(entry, outcome_reason::doomed, result);
            continue;
        }
        dispatch(entry, now, result);
    }
}

admission_result admission_queue::finish(inbound_id id, bool answered, millis elapsed, instant now)
{
    admission_result result;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return result;
    }
    if (answered) {
        limit_.on_completed(now, elapsed, running());
        const running_call& call = found->second;
        saturation_limit_.on_completed(call.entry.flow, call.running_at_dispatch, elapsed, now);
    }
    remove_running(id);
    dispatch_queued(now, result);
    return result;
}

admission_result admission_queue::finish_refused(inbound_id id, instant now)
{
    admission_result result;
    if (running_.count(id) == 0) {
        return result;
    }
    limit_.on_target_shed(now, running());
    remove_running(id);
    dispatch_queued(now, result);
    return result;
}

bool admission_queue::remove_queued(inbound_id id)
{
    const auto found = queued_ids_.find(id);
    if (found == queued_ids_.end()) {
        return false;
    }
    const auto entry = queue_.find(found->second);
    assert(entry != queue_.end() && "every queued id must have a queue entry");
    bytes_held_ -= entry->second.bytes;
    queue_.erase(entry);
    queued_ids_.erase(found);
    return true;
}

admission_result admission_queue::expire(instant now)
{
    admission_result result;
    std::vector<inbound_id> expired;
    std::vector<admission_entry> at_risk;
    for (const auto& [key, entry] : queue_) {
        const double time_left = static_cast<double>((entry.deadline - now).count());
        if (time_left <= 0) {
            expired.push_back(entry.id);
        }
        else if (time_left <=
                 limit_.min_service_time() + static_cast<double>(preemption_margin.count())) {
            at_risk.push_back(entry);
        }
    }
    for (const admission_entry& entry : at_risk) {
        if (preempt_for(entry, now, result)) {
            remove_queued(entry.id);
            dispatch(entry, now, result);
        }
    }
    for (const inbound_id id : expired) {
        remove_queued(id);
        result.shed.push_back({id, outcome_reason::doomed});
    }
    dispatch_queued(now, result);
    return result;
}

void admission_queue::set_slots(int slots)
{
    if (slots != limit_.slots()) {
        limit_ = concurrency_limit(slots, settings_.adaptive);
        saturation_limit_ = saturation_limit(slots);
    }
}

void admission_queue::set_warm_up_share(double share)
{
    warm_up_share_ = std::clamp(share, 0.0, 1.0);
}

load_report admission_queue::report(instant now) const
{
    load_report report;
    report.level = level_.current(now);
    report.chain_level = report.level;
    report.in_progress = running() + queued();
    report.limit = effective_limit();
    const double rounds = static_cast<double>(queued()) / effective_limit();
    const double expected = limit_.service_time() * (1.0 + rounds);
    report.expected_time = millis(static_cast<std::int64_t>(expected));
    const double wait = running() < effective_limit() ? 0.0 : limit_.service_time() * rounds;
    const millis rate_wait = rate_.time_until(queue_.size(), now);
    report.rate_limit = rate_.rate();
    report.queue_time = std::max(millis(static_cast<std::int64_t>(wait)), rate_wait);
    return report;
}

} // namespace fescuedyke
