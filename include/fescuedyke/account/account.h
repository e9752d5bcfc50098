#ifndef FESCUEDYKE_ACCOUNT_ACCOUNT_H
#define FESCUEDYKE_ACCOUNT_ACCOUNT_H

#include "fescuedyke/call/outcome.h"
#include "fescuedyke/policy/policy.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/support/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

/// \file
/// The account of a node: how many calls it received, and with which outcomes they ended.

namespace fescuedyke {

/// Side of a call at which it is counted.
enum class account_side : std::uint8_t {
    /// Calls that arrived at the node of the target.
    served,
    /// Calls that callers submitted to the node, for any service.
    sent
};

/// Identifies the calls that one row counts.
struct account_key {
    account_side side = account_side::served;
    owner_name owner;
    service_name service;
    priority_class cls = priority_class::normal;

    friend bool operator==(const account_key& a, const account_key& b)
    {
        return std::tie(a.side, a.owner, a.service, a.cls) ==
               std::tie(b.side, b.owner, b.service, b.cls);
    }
    friend bool operator<(const account_key& a, const account_key& b)
    {
        return std::tie(a.side, a.owner, a.service, a.cls) <
               std::tie(b.side, b.owner, b.service, b.cls);
    }
};

/// Number of calls by outcome. \c received always equals the sum of the other counts.
struct account_row {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    /// Indexed by outcome_reason, as is \c unknown.
    std::array<std::uint64_t, outcome_reason_count> not_run{};
    std::array<std::uint64_t, outcome_reason_count> unknown{};
    std::uint64_t in_progress = 0;

    std::uint64_t total_not_run() const;
    std::uint64_t total_unknown() const;
    /// Returns whether \c received equals the sum of the other counts.
    bool is_conserved() const;

    account_row& operator+=(const account_row& other);

    friend bool operator==(const account_row& a, const account_row& b)
    {
        return a.received == b.received && a.answered == b.answered && a.not_run == b.not_run &&
               a.unknown == b.unknown && a.in_progress == b.in_progress;
    }
};

/// A non-idempotent request whose outcome is unknown.
struct unknown_outcome {
    account_key row_key;
    /// Idempotency key of the request.
    std::string key;
    outcome_reason reason = outcome_reason::none;
    wall_time key_created;
};

/// Counts the calls of one node since its process started.
class account {
public:
    /// Counts a call that starts.
    void on_received(const account_key& key);
    /// Counts the outcome of a call that was counted by on_received() under the same key.
    void on_ended(const account_key& key, const outcome& result);
    /// Adds a non-idempotent request to unknown_outcomes(). Does not change the rows.
    void on_unknown_outcome(const unknown_outcome& entry);

    const std::map<account_key, account_row>& rows() const { return rows_; }
    /// Returns a number that increases with every change of the rows.
    std::uint64_t revision() const { return revision_; }
    /// Returns the most recent non-idempotent requests with an unknown outcome. The number is
    /// limited; the oldest are dropped first.
    const std::deque<unknown_outcome>& unknown_outcomes() const { return unknown_outcomes_; }

private:
    std::uint64_t revision_ = 0;
    std::map<account_key, account_row> rows_;
    std::deque<unknown_outcome> unknown_outcomes_;
};

} // namespace fescuedyke

#endif
