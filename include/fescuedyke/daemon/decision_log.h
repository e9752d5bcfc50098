#ifndef FESCUEDYKE_DAEMON_DECISION_LOG_H
#define FESCUEDYKE_DAEMON_DECISION_LOG_H

#include "fescuedyke/support/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// \file
/// Selects the decisions on requests that are written to the log, so that its volume stays bounded.

namespace fescuedyke {

struct decision_log_settings {
    /// One in this many requests is sampled: every hop writes all lines about it, whatever the
    /// outcome.
    std::uint64_t sample_one_in = 128;
    /// Rate limit on abnormal lines about requests that are not sampled, as a token bucket: lines
    /// per second and size of the bucket.
    double max_lines_per_second = 20;
    double max_burst_lines = 100;
};

/// Kind of decision that a line reports.
enum class decision_kind : std::uint8_t {
    /// The request is processed without a failure.
    routine,
    /// The request was refused, retried or cancelled, or it failed.
    abnormal
};

/// Samples requests by a hash of their id, so that every instance samples the same ones.
class decision_log {
public:
    using writer = std::function<void(const std::string& event, const nlohmann::json& details)>;

    decision_log(const decision_log_settings& settings, writer write);

    /// Returns whether a line about the request \p id may be written at \p now. All lines
    /// about sampled requests may be written, other routine lines may not. An abnormal line about a
    /// request that is not sampled takes a token from the bucket; without a token, it is counted as
    /// suppressed.
    bool try_admit(const std::string& id, decision_kind kind, instant now);

    /// Writes a line about the request \p id, which is truncated to 64 bytes. If lines were
    /// suppressed since the last call, first writes a line with their number.
    void write(const std::string& event, const std::string& id, nlohmann::json details);

    /// Returns the number of abnormal lines suppressed by the rate limit.
    std::uint64_t suppressed() const { return suppressed_; }

private:
    decision_log_settings settings_;
    writer write_;
    double tokens_;
    instant refilled_at_;
    std::uint64_t suppressed_ = 0;
    std::uint64_t logged_suppressed_ = 0;
};

} // namespace fescuedyke

#endif
