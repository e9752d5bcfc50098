#ifndef FESCUEDYKE_DAEMON_DECISION_LOG_H
#define FESCUEDYKE_DAEMON_DECISION_LOG_H

#include "fescuedyke/support/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// \file
/// Which decisions on requests are written to the log, so that its volume stays bounded.

namespace fescuedyke {

struct decision_log_settings {
    /// Of this many requests one is followed at every hop, whatever becomes of it.
    std::uint64_t sample_one_in = 128;
    /// Lines a second on refusals and failures of requests that are not followed, and how many may
    /// come at once.
    double max_lines_per_second = 20;
    double max_burst_lines = 100;
};

/// What a line is about.
enum class decision_kind : std::uint8_t {
    /// All goes its routine way.
    routine,
    /// A request was refused, sent again, cancelled or failed.
    abnormal
};

/// Requests are chosen by a hash of their id, which is the same on every instance.
class decision_log {
public:
    using writer = std::function<void(const std::string& event, const nlohmann::json& details)>;

    decision_log(const decision_log_settings& settings, writer write);

    /// Whether a line about the request would be written at \p now; takes its place if so.
    bool try_admit(const std::string& request, decision_kind kind, instant now);

    /// Writes a line. \p request is cut at a bounded length.
    void write(const std::string& event, const std::string& request, nlohmann::json details);

    /// Lines on abnormal that were not written.
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
