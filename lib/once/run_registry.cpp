#include "fescuedyke/once/run_registry.h"

#include <algorithm>

namespace fescuedyke {

namespace {

run_decision refused(outcome result)
{
    run_decision d;
    d.step = run_step::refuse;
    d.result = result;
    return d;
}

run_decision stepping(run_step step)
{
    run_decision d;
    d.step = step;
    return d;
}

} // namespace

run_registry::run_registry(const run_registry_settings& settings) : settings_(settings) {}

run_decision run_registry::begin(const idempotency_key& key, int client_attempt,
                                 const bucket_hold& hold, wall_time now)
{
    const auto found = records_.find(key.text);
    if (found != records_.end()) {
        const bool too_old = key.created + settings_.retention < now;
        return resume(found->second, client_attempt, too_old);
    }
    return begin_new(key, client_attempt, hold, now);
}

run_decision run_registry::resume(run_record& record, int client_attempt, bool too_old)
{
    switch (record.state) {
    case run_state::running:
        // Should the run come to nothing, the fence must hold for this try as well.
        record.client_attempt = std::max(record.client_attempt, client_attempt);
        return stepping(run_step::join);
    case run_state::unknown:
        return refused(outcome::unknown(outcome_reason::connection_lost));
    case run_state::fenced: {
        if (client_attempt <= record.client_attempt || too_old) {
            return refused(outcome::not_run(outcome_reason::key_fenced));
        }
        record.state = run_state::running;
        record.client_attempt = client_attempt;
        return stepping(run_step::run);
    }
    case run_state::answered:
        break;
    }
    if (!record.answer_kept) {
        return refused(outcome::unknown(outcome_reason::answer_not_kept));
    }
    run_decision d = stepping(run_step::replay);
    d.answer = record.answer;
    return d;
}

run_decision run_registry::begin_new(const idempotency_key& key, int client_attempt,
                                     const bucket_hold& hold, wall_time now)
{
    // Whether such an old key ever ran has been forgotten.
    if (key.created + settings_.retention < now) {
        return refused(outcome::unknown(outcome_reason::key_too_old));
    }
    // A former owner may have run keys stamped up to two clock errors after this owner's grant:
    // one between the client and the former owner, one between the two owners.
    if (!hold.history_complete && key.created <= hold.granted + settings_.clock_error * 2) {
        return refused(outcome::unknown(outcome_reason::ownership_changed));
    }
    if (records_.size() >= settings_.max_records) {
        return refused(outcome::not_run(outcome_reason::memory_full));
    }
    if (key.created > now + settings_.clock_error) {
        fence(key, client_attempt);
        return refused(outcome::not_run(outcome_reason::key_from_future));
    }
    run_record& record = records_[key.text];
    record.created = key.created;
    record.client_attempt = client_attempt;
    by_age_.emplace(key.created, key.text);
    return stepping(run_step::run);
}

void run_registry::fence(const idempotency_key& key, int client_attempt)
{
    run_record record;
    record.state = run_state::fenced;
    record.created = key.created;
    record.client_attempt = client_attempt;
    take_over(key.text, record);
}

void run_registry::on_answered(const idempotency_key& key, const http_response& answer)
{
    const auto found = records_.find(key.text);
    if (found == records_.end()) {
        return;
    }
    found->second.state = run_state::answered;
    const std::size_t bytes = answer.body_bytes();
    if (bytes <= settings_.max_kept_answer && kept_bytes_ + bytes <= settings_.max_kept_bytes) {
        found->second.answer = answer;
        found->second.answer_kept = true;
        kept_bytes_ += bytes;
    }
}

void run_registry::on_unknown(const idempotency_key& key)
{
    const auto found = records_.find(key.text);
    if (found != records_.end()) {
        found->second.state = run_state::unknown;
    }
}

void run_registry::on_not_run(const idempotency_key& key)
{
    const auto found = records_.find(key.text);
    if (found != records_.end()) {
        found->second.state = run_state::fenced;
    }
}

void run_registry::forget_old(wall_time now)
{
    const wall_time oldest = now - settings_.retention - settings_.clock_error * 2;
    while (!by_age_.empty() && by_age_.begin()->first < oldest) {
        const auto found = records_.find(by_age_.begin()->second);
        if (found != records_.end()) {
            kept_bytes_ -= found->second.answer_kept ? found->second.answer.body_bytes() : 0;
            records_.erase(found);
        }
        by_age_.erase(by_age_.begin());
    }
}

void run_registry::take_over(const std::string& key, const run_record& record)
{
    if (!records_.emplace(key, record).second) {
        return;
    }
    by_age_.emplace(record.created, key);
    kept_bytes_ += record.answer_kept ? record.answer.body_bytes() : 0;
}

} // namespace fescuedyke
