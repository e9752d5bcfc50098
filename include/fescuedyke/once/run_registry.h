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
/// The owner's records of unrepeatable work: each key runs at most once.

namespace fescuedyke {

/// Bounds of the records.
struct run_registry_settings {
    /// How long after its creation a key may still be used.
    millis retention{10 * 60 * 1000};
    /// Greatest difference between any two wall clocks that take part.
    millis max_clock_skew{500};
    std::size_t max_records = 100'000;
    /// Largest answer that is kept for resends, in bytes.
    std::size_t max_kept_answer_bytes = 64U << 10U;
    /// Most bytes of kept answers in all.
    std::size_t max_total_kept_bytes = 8U << 20U;
};

/// What an owner does with a request under a key.
enum class run_action {
    /// The key may run now; the caller reports how that ends.
    run,
    /// The key is running; the request waits for the same answer.
    join,
    /// The key has run; its answer is given again.
    replay,
    /// Answered at once with the result.
    refuse
};

struct run_decision {
    run_action action = run_action::refuse;
    outcome result;
    http_answer answer;
};

/// How far one key has come.
enum class run_state : std::uint8_t { running, answered, unknown, fenced };

/// One key's record, as it is also handed to the next owner.
struct run_record {
    run_state state = run_state::running;
    wall_time created;
    /// The client's try that the record is about.
    int client_attempt = 0;
    bool answer_kept = false;
    http_answer answer;
};

/// Records by key. "Not run" about a key is said together with a fence: from then on only a later
/// try, numbered higher by the client, may run, so that no delayed copy makes it untrue.
class run_registry {
public:
    explicit run_registry(const run_registry_settings& settings);

    /// Decides on a request under \p key that this instance may serve by \p hold.
    run_decision begin(const idempotency_key& key, int client_attempt, const held_bucket& held,
                       wall_time now);

    /// The run ended with the whole answer.
    void on_answered(const idempotency_key& key, const http_answer& answer);

    /// The run may or may not have happened.
    void on_unknown(const idempotency_key& key);

    /// The run provably did not happen; tries up to the recorded one never will.
    void on_not_run(const idempotency_key& key);

    /// Drops the records of keys that are too old to be used.
    void remove_expired(wall_time now);

    /// Takes over a former owner's record. A record that is here already stays.
    void import_record(const std::string& key, const run_record& record);

    /// Returns all records, for handing them over.
    const std::map<std::string, run_record>& records() const { return records_; }

    std::size_t size() const { return records_.size(); }

private:
    run_decision begin_recorded(run_record& record, int client_attempt, bool too_old);
    run_decision begin_new(const idempotency_key& key, int client_attempt, const held_bucket& held,
                           wall_time now);
    void fence(const idempotency_key& key, int client_attempt);

    run_registry_settings settings_;
    std::size_t kept_bytes_ = 0;
    std::map<std::string, run_record> records_;
    std::multimap<wall_time, std::string> by_creation_;
};

} // namespace fescuedyke

#endif
