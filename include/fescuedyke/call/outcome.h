#ifndef FESCUEDYKE_CALL_OUTCOME_H
#define FESCUEDYKE_CALL_OUTCOME_H

#include "fescuedyke/support/time.h"

#include <cstdint>
#include <string>

/// \file
/// What became of a call. Exactly one outcome reaches the caller and one enters the account.

namespace fescuedyke {

/// The three things that can be said truthfully of a call.
enum class outcome_kind : std::uint8_t {
    /// The whole answer of the call itself is there.
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
    service_overloaded,
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
    target_shed,
    target_unreachable,
    peer_unreachable,
    connection_lost,
    timed_out,
    cancelled,
    preempted,
    truncated,
    answer_not_kept
};

/// Number of reasons; decoders refuse numbers from here on.
constexpr std::size_t outcome_reason_count =
    static_cast<std::size_t>(outcome_reason::answer_not_kept) + 1;

/// Returns the name used in headers, logs and accounts.
const char* to_string(outcome_kind kind);
const char* to_string(outcome_reason reason);

/// An outcome with what the caller needs to decide on another try.
struct outcome {
    outcome_kind kind = outcome_kind::answered;
    outcome_reason reason = outcome_reason::none;
    /// Whether another try may help.
    bool retry_helps = false;
    /// How long to wait before another try.
    millis retry_after;

    static outcome answered() { return {}; }
    /// Returns "not run" with the advice on retries that goes with \p reason.
    static outcome not_run(outcome_reason reason);
    /// Returns "unknown" with the advice on retries that goes with \p reason.
    static outcome unknown(outcome_reason reason);
};

/// Returns whether a refusal for \p reason concerns one instance only, so that another target of
/// the same service may still take the call.
bool is_instance_specific(outcome_reason reason);

} // namespace fescuedyke

#endif
