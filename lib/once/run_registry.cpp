#include "fescuedyke/once/run_registry.h"

#include <algorithm>

namespace fescuedyke {

namespace {

run_decision make_refusal(outcome result)
{
    run_decision d;
    d.action = run_action::refuse;
    d.result = result;
    return d;
}

run_decision make_decision(run_action action)
{
    run_decision d;
    d.action = action;
    return d;
}

} // namespace

run_registry::run_registry(const run_registry_settings& settings) : settings_(settings) {}

run_decision run_registry::begin(const idempotency_key& key, int client_attempt,
                                 const held_bucket& held, wall_time now)
{
    const auto found = records_.find(key.text);
    if (found != records_.end()) {
        const bool too_old = key.created + settings_.retention < now;
        return begin_recorded(found->second, client_attempt, too_old);
    }
    return begin_new(key, client_attempt, held, now);
}

run_decision run_registry::begin_recorded(run_record& record, int client_attempt, bool too_old)
{
    switch (record.state) {
    case run_state::running:
        // If the call turns out not to have run, the fence must cover this attempt as well.
        record.client_attempt = std::max(record.client_attempt, client_attempt);
        return make_decision(run_action::join);
    case run_state::unknown:
        return make_refusal(outcome::unknown(outcome_reason::connection_lost));
    case run_state::fenced: {
        if (client_attempt <= record.client_attempt || too_old) {
            return make_refusal(outcome::not_run(outcome_reason::key_fenced));
        }
        record.state = run_state::running;
        record.client_attempt = client_attempt;
        return make_decision(run_action::run);
    }
    case run_state::answered:
        break;
    }
    if (!record.response_stored) {
        return make_refusal(outcome::unknown(outcome_reason::answer_not_kept));
    }
    run_decision d = make_decision(run_action::replay);
    d.response = record.response;
    return d;
}

run_decision run_registry::begin_new(const idempotency_key& key, int client_attempt,
                                     const held_bucket& held, wall_time now)
{
    // The record of such an old key would have been removed, so the key may have run before.
    if (key.created + settings_.retention < now) {
        return make_refusal(outcome::unknown(outcome_reason::key_too_old));
    }
    // A former owner may have run keys with timestamps up to twice the clock skew after the grant
    // of this owner: once between the client and the former owner, once between the two owners.
    if (!held.history_complete && key.created <= held.first_seen + settings_.max_clock_skew * 2) {
        return make_refusal(outcome::unknown(outcome_reason::ownership_changed));
    }
    if (records_.size() >= settings_.max_records) {
        return make_refusal(outcome::not_run(outcome_reason::memory_full));
    }
    if (key.created > now + settings_.max_clock_skew) {
        fence(key, client_attempt);
        return make_refusal(outcome::not_run(outcome_reason::key_from_future));
    }
    run_record& record = records_[key.text];
    record.created = key.created;
    record.client_attempt = client_attempt;
    by_creation_.emplace(key.created, key.text);
    return make_decision(run_action::run);
}

void run_registry::fence(const idempotency_key& key, int client_attempt)
{
    run_record record;
    record.state = run_state::fenced;
    record.created = key.created;
    record.client_attempt = client_attempt;
    import_record(key.text, record);
}

void run_registry::on_answered(const idempotency_key& key, const http_response& response)
{
    const auto found = records_.find(key.text);
    if (found == records_.end()) {
        return;
    }
    found->second.state = run_state::answered;
    const std::size_t bytes = response.body_bytes();
    if (bytes <= settings_.max_stored_response_bytes &&
        stored_bytes_ + bytes <= settings_.max_total_stored_bytes) {
        found->second.response = response;
        found->second.response_stored = true;
        stored_bytes_ += bytes;
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

void run_registry::remove_expired(wall_time now)
{
    const wall_time oldest = now - settings_.retention - settings_.max_clock_skew * 2;
    while (!by_creation_.empty() && by_creation_.begin()->first < oldest) {
        const auto found = records_.find(by_creation_.begin()->second);
        if (found != records_.end()) {
            stored_bytes_ -=
                found->second.response_stored ? found->second.response.body_bytes() : 0;
            records_.erase(found);
        }
        by_creation_.erase(by_creation_.begin());
    }
}

void run_registry::import_record(const std::string& key, const run_record& record)
{
    if (!records_.emplace(key, record).second) {
        return;
    }
    by_creation_.emplace(record.created, key);
    stored_bytes_ += record.response_stored ? record.response.body_bytes() : 0;
}

} // namespace fescuedyke
