#include "fescuedyke/daemon/decision_log.h"

#include "fescuedyke/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

constexpr std::size_t max_request_id_bytes = 64;
constexpr double ms_per_second = 1000;

/// Makes the sampling independent of other uses of the same hash function.
constexpr std::uint64_t sampling_hash_seed = 0x666f6c6c6f77;

} // namespace

decision_log::decision_log(const decision_log_settings& settings, writer write)
    : settings_(settings), write_(std::move(write)), tokens_(settings.max_burst_lines)
{
}

bool decision_log::try_admit(const std::string& id, decision_kind kind, instant now)
{
    if (stable_hash(id, sampling_hash_seed) % settings_.sample_one_in == 0) {
        return true;
    }
    if (kind == decision_kind::routine) {
        return false;
    }
    const double elapsed_seconds =
        static_cast<double>((now - refilled_at_).count()) / ms_per_second;
    refilled_at_ = now;
    tokens_ = std::min(settings_.max_burst_lines,
                       tokens_ + elapsed_seconds * settings_.max_lines_per_second);
    if (tokens_ < 1) {
        ++suppressed_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

void decision_log::write(const std::string& event, const std::string& id, nlohmann::json details)
{
    if (suppressed_ > logged_suppressed_) {
        write_("decisions-not-written", {{"lines", suppressed_ - logged_suppressed_}});
        logged_suppressed_ = suppressed_;
    }
    details["request"] = id.substr(0, max_request_id_bytes);
    write_(event, details);
}

} // namespace fescuedyke
