#ifndef FESCUEDYKE_CALL_OUTCOME_H
#define FESCUEDYKE_CALL_OUTCOME_H

#include "fescuedyke/support/time.h"

#include <cstdint>
#include <string>

/// \file
/// The outcome of a call. Exactly one is returned to the caller, and exactly one is entered into
/// the account.

namespace fescuedyke {

/// What is known about the execution of a call.
enum class outcome_kind : std::uint8_t {
    /// The complete response to the call was received.
    answered,
    /// The request provably did not run.
    not_run,
    /// The request may have run.
    unknown
};

/// Why a call was not answered.
enum class outcome_reason : std::uint8_t {
    none,
    overloaded,
    /// No available target of the service admits the rank of the call.
    service_overloaded,
    /// The deadline has passed or can no longer be met.
    doomed,
    draining,
    no_target,
    not_ready,
    too_large,
    memory_full,
    bad_request,
    key_missing,
    key_invalid,
    key_too_old,
    key_from_future,
    key_fenced,
    not_owner,
    ownership_changed,
    /// The target's response states that the target did not execute the call.
    target_shed,
    /// The receiving node has no such target, its target's announcement has expired, it could not
    /// send the request to the target, or the target was announced for another service before the
    /// call ended.
    target_unreachable,
    /// The target's node provably did not process the call, for example because no connection to it
    /// could be established.
    peer_unreachable,
    connection_lost,
    timed_out,
    cancelled,
    preempted,
    truncated,
    /// The call with this key was answered, but the response was not stored for replay.
    answer_not_kept
};

/// Number of reasons; decoders reject this value and greater ones.
constexpr std::size_t outcome_reason_count =
    static_cast<std::size_t>(outcome_reason::answer_not_kept) + 1;

/// Returns the name that is used in headers, logs and accounts.
const char* to_string(outcome_kind kind);
const char* to_string(outcome_reason reason);

/// An outcome with advice for the caller on retries.
struct outcome {
    outcome_kind kind = outcome_kind::answered;
    outcome_reason reason = outcome_reason::none;
    /// Whether a retry may succeed.
    bool retry_helps = false;
    /// Time to wait before a retry.
    millis retry_after;

    static outcome answered() { return {}; }
    /// Returns "not run" with the retry advice for \p reason.
    static outcome not_run(outcome_reason reason);
    /// Returns "unknown" with the retry advice for \p reason.
    static outcome unknown(outcome_reason reason);
};

/// Returns whether a refusal for \p reason concerns a single instance, so that another target of
/// the same service may accept the call.
bool is_instance_specific(outcome_reason reason);

} // namespace fescuedyke

#endif
