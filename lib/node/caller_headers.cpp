#include "fescuedyke/node/caller_headers.h"

#include "fescuedyke/policy/policy.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace fescuedyke {

namespace {

constexpr std::size_t max_key_bytes = 128;
constexpr int max_client_attempt = 1'000'000;
constexpr std::int64_t max_timeout_ms = 10 * 60 * 1000;

/// Headers that the node sets anew on the request to the target.
constexpr std::array<const char*, 3> replaced_headers = {"content-length", "host", "expect"};

absl::Status header_error(const char* name, const std::string& what)
{
    return absl::InvalidArgumentError(std::string(name) + ": " + what);
}

template <class T> bool parse_number(const std::string& text, T& value, int base = 10)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

absl::Status parse_call_header(const std::string& text, caller_options& options)
{
    std::uint64_t id = 0;
    if (text.size() > 16 || !parse_number(text, id, 16)) {
        return header_error(call_header,
                            "must be a call token issued by a node (up to 16 hexadecimal digits)");
    }
    options.parent = inbound_id(id);
    return absl::OkStatus();
}

absl::Status parse_labels_header(const std::string& text, caller_options& options)
{
    absl::StatusOr<label_set> labels = parse_labels(text);
    if (!labels.ok()) {
        return header_error(labels_header, std::string(labels.status().message()));
    }
    options.labels = std::move(*labels);
    return absl::OkStatus();
}

absl::Status parse_key_header(const std::string& text, caller_options& options)
{
    if (text.empty() || text.size() > max_key_bytes) {
        return header_error(key_header, "must be 1 to 128 bytes long");
    }
    options.key = text;
    return absl::OkStatus();
}

absl::Status parse_attempt_header(const std::string& text, caller_options& options)
{
    int attempt = 0;
    if (!parse_number(text, attempt) || attempt < 0 || attempt > max_client_attempt) {
        return header_error(attempt_header, "must be an integer from 0 to 1000000");
    }
    options.client_attempt = attempt;
    return absl::OkStatus();
}

absl::Status parse_timeout_header(const std::string& text, caller_options& options)
{
    std::int64_t timeout = 0;
    const bool has_unit = text.size() > 2 && text.compare(text.size() - 2, 2, "ms") == 0;
    const std::string digits = has_unit ? text.substr(0, text.size() - 2) : "";
    if (!parse_number(digits, timeout) || timeout < 1 || timeout > max_timeout_ms) {
        return header_error(timeout_header, "must be a duration from 1ms to 600000ms");
    }
    options.timeout = millis(timeout);
    return absl::OkStatus();
}

struct header_parser {
    const char* name;
    absl::Status (*parse)(const std::string& text, caller_options& options);
};

constexpr std::array<header_parser, 5> parsers = {{{call_header, parse_call_header},
                                                   {labels_header, parse_labels_header},
                                                   {key_header, parse_key_header},
                                                   {attempt_header, parse_attempt_header},
                                                   {timeout_header, parse_timeout_header}}};

const header_parser* find_parser(const std::string& name)
{
    const auto* found = std::find_if(parsers.begin(), parsers.end(), [&](const header_parser& p) {
        return absl::EqualsIgnoreCase(name, p.name);
    });
    return found == parsers.end() ? nullptr : found;
}

bool is_connection_or_replaced_header(const std::string& name)
{
    return is_hop_by_hop_header(name) ||
           std::any_of(replaced_headers.begin(), replaced_headers.end(),
                       [&](const char* h) { return absl::EqualsIgnoreCase(name, h); });
}

} // namespace

absl::StatusOr<caller_options> parse_caller_options(const std::vector<header>& headers)
{
    caller_options options;
    std::set<std::string> seen_names;
    for (const header& h : headers) {
        const header_parser* parser = find_parser(h.name);
        if (parser == nullptr) {
            continue;
        }
        if (!seen_names.insert(parser->name).second) {
            return header_error(parser->name, "must not be given more than once");
        }
        if (absl::Status parsed = parser->parse(h.value, options); !parsed.ok()) {
            return parsed;
        }
    }
    return options;
}

std::vector<header> filter_forwarded_headers(const std::vector<header>& headers)
{
    std::vector<header> result;
    for (const header& h : headers) {
        if (!is_connection_or_replaced_header(h.name) &&
            !absl::StartsWithIgnoreCase(h.name, "fescue-")) {
            result.push_back(h);
        }
    }
    return result;
}

target_notice read_notice(const http_response& response, const char* rate_limit_name,
                          const char* leaving_name)
{
    target_notice notice;
    for (const header& h : response.headers) {
        if (absl::EqualsIgnoreCase(h.name, leaving_name)) {
            notice.leaving = notice.leaving || absl::StripAsciiWhitespace(h.value) == "1";
        }
        if (!absl::EqualsIgnoreCase(h.name, rate_limit_name)) {
            continue;
        }
        const std::optional<call_rate> rate = parse_call_rate(h.value);
        if (!rate) {
            notice.rate_limit_malformed = true;
            continue;
        }
        notice.rate_limit = std::min(notice.rate_limit.value_or(*rate), *rate);
    }
    return notice;
}

bool reports_not_run(const http_response& response)
{
    constexpr int unavailable_status = 503;
    const std::string* flag = find_header(response.headers, not_run_header);
    return response.status == unavailable_status && flag != nullptr && *flag == "true";
}

std::string format_call_token(inbound_id call)
{
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), call.value(), 16);
    return {text.data(), end.ptr};
}

} // namespace fescuedyke
