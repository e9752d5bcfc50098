#ifndef FESCUEDYKE_ONCE_RUN_REGISTRY_H
#define FESCUEDYKE_ONCE_RUN_REGISTRY_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"
#include "fescuedyke/once/idempotency_key.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// The owner's deduplication records for non-idempotent calls: each key runs at most once.

namespace fescuedyke {

/// Limits of the registry.
struct run_registry_settings {
    /// Time after its creation for which a key is valid.
    millis retention{10 * 60 * 1000};
    /// Maximum difference between any two wall clocks in the system.
    millis max_clock_skew{500};
    std::size_t max_records = 100'000;
    /// Maximum size of a response that is stored for replay.
    std::size_t max_stored_response_bytes = 64U << 10U;
    /// Maximum total size of the stored responses.
    std::size_t max_total_stored_bytes = 8U << 20U;
};

/// The action that an owner takes on a request with a key.
enum class run_action {
    /// Run the call and report its result to the registry afterwards.
    run,
    /// A call with the key is running; wait for its response.
    join,
    /// A call with the key has completed; replay its response.
    replay,
    /// Reply immediately with \c run_decision::result.
    refuse
};

struct run_decision {
    run_action action = run_action::refuse;
    /// Outcome of a refused request.
    outcome result;
    /// Response to replay.
    http_response response;
};

/// Progress of one key.
enum class run_state : std::uint8_t { running, answered, unknown, fenced };

/// The record of one key. The next owner receives it in the same form.
struct run_record {
    run_state state = run_state::running;
    wall_time created;
    /// The highest client attempt number that the record covers.
    int client_attempt = 0;
    bool response_stored = false;
    http_response response;
};

/// Stores one record per key. A key that is reported as "not run" is also fenced: afterwards only
/// an attempt with a higher client attempt number may run, so that a delayed copy of the request
/// cannot make the report false.
class run_registry {
public:
    explicit run_registry(const run_registry_settings& settings);

    /// Decides on a request with \p key, whose bucket \p held this instance may serve.
    run_decision begin(const idempotency_key& key, int client_attempt, const held_bucket& held,
                       wall_time now);

    /// Records that the call completed with \p response.
    void on_answered(const idempotency_key& key, const http_response& response);

    /// Records that the call may or may not have run.
    void on_unknown(const idempotency_key& key);

    /// Records that the call provably did not run, and fences all attempts up to the recorded one.
    void on_not_run(const idempotency_key& key);

    /// Removes the records of keys that are no longer valid.
    void remove_expired(wall_time now);

    /// Imports a record of a former owner. An existing record of the key is not replaced.
    void import_record(const std::string& key, const run_record& record);

    /// Returns all records, for the handover.
    const std::map<std::string, run_record>& records() const { return records_; }

    std::size_t size() const { return records_.size(); }

private:
    run_decision begin_recorded(run_record& record, int client_attempt, bool too_old);
    run_decision begin_new(const idempotency_key& key, int client_attempt, const held_bucket& held,
                           wall_time now);
    void fence(const idempotency_key& key, int client_attempt);

    run_registry_settings settings_;
    std::size_t stored_bytes_ = 0;
    std::map<std::string, run_record> records_;
    std::multimap<wall_time, std::string> by_creation_;
};

} // namespace fescuedyke

#endif
