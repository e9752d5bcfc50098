#include "fescuedyke/call/context.h"
#include "fescuedyke/support/hash.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace fescuedyke {

namespace {

constexpr std::array<const char*, 8> hop_by_hop_headers = {
    "connection",          "keep-alive", "proxy-connection",  "proxy-authenticate",
    "proxy-authorization", "te",         "transfer-encoding", "upgrade"};

constexpr std::uint64_t subpriority_hash_seed = 0x6c6f74;

struct reason_traits {
    const char* name;
    bool retry_helps;
    int retry_after_ms;
    bool instance_specific;
};

constexpr reason_traits traits_by_reason[outcome_reason_count] = {
    {"none", false, 0, false},
    {"overloaded", true, 200, true},
    {"service-overloaded", true, 1000, false},
    {"doomed", true, 200, true},
    {"draining", true, 0, true},
    {"no-target", true, 1000, false},
    {"not-ready", true, 500, true},
    {"too-large", false, 0, false},
    {"memory-full", true, 500, true},
    {"bad-request", false, 0, false},
    {"key-missing", false, 0, false},
    {"key-invalid", false, 0, false},
    {"key-too-old", false, 0, false},
    {"key-from-future", false, 0, false},
    {"key-fenced", true, 0, false},
    {"not-owner", true, 500, false},
    {"ownership-changed", false, 0, false},
    {"target-shed", true, 200, true},
    {"target-unreachable", true, 200, true},
    {"peer-unreachable", true, 200, true},
    {"connection-lost", true, 0, false},
    {"timed-out", true, 200, false},
    {"cancelled", false, 0, false},
    {"preempted", true, 200, false},
    {"truncated", true, 0, false},
    {"answer-not-kept", false, 0, false},
};

const reason_traits& traits_of(outcome_reason reason)
{
    return traits_by_reason[static_cast<std::size_t>(reason)];
}

outcome make_outcome(outcome_kind kind, outcome_reason reason)
{
    const reason_traits& traits = traits_of(reason);
    return {kind, reason, traits.retry_helps, millis(traits.retry_after_ms)};
}

} // namespace

std::uint16_t subpriority_of(root_id root)
{
    return static_cast<std::uint16_t>(stable_hash(root.value(), subpriority_hash_seed));
}

bool is_hop_by_hop_header(const std::string& name)
{
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](const char* h) { return absl::EqualsIgnoreCase(name, h); });
}

std::vector<header> end_to_end_headers(const std::vector<header>& headers)
{
    std::vector<std::string> options;
    for (const header& h : headers) {
        if (!absl::EqualsIgnoreCase(h.name, "connection")) {
            continue;
        }
        for (const auto part : absl::StrSplit(h.value, ',')) {
            options.emplace_back(absl::StripAsciiWhitespace(part));
        }
    }
    std::vector<header> result;
    for (const header& h : headers) {
        const bool is_option =
            std::any_of(options.begin(), options.end(),
                        [&](const std::string& o) { return absl::EqualsIgnoreCase(o, h.name); });
        if (!is_option && !is_hop_by_hop_header(h.name)) {
            result.push_back(h);
        }
    }
    return result;
}

const std::string* find_header(const std::vector<header>& headers, const std::string& name)
{
    for (const header& h : headers) {
        if (absl::EqualsIgnoreCase(h.name, name)) {
            return &h.value;
        }
    }
    return nullptr;
}

const char* to_string(outcome_kind kind)
{
    switch (kind) {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

const char* to_string(outcome_reason reason)
{
    return traits_of(reason).name;
}

outcome outcome::not_run(outcome_reason reason)
{
    return make_outcome(outcome_kind::not_run, reason);
}

outcome outcome::unknown(outcome_reason reason)
{
    return make_outcome(outcome_kind::unknown, reason);
}

bool is_instance_specific(outcome_reason reason)
{
    return traits_of(reason).instance_specific;
}

} // namespace fescuedyke
