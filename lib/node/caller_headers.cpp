#include "fescuedyke/node/caller_headers.h"

#include "fescuedyke/policy/policy.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace fescuedyke {

namespace {

constexpr std::size_t longest_key = 128;
constexpr int most_client_attempts = 1'000'000;
constexpr std::int64_t longest_timeout_ms = 10 * 60 * 1000;

/// Set anew on the way to the target.
constexpr std::array<const char*, 3> hop_headers = {"content-length", "host", "expect"};

absl::Status faulty(const char* name, const std::string& what)
{
    return absl::InvalidArgumentError(std::string(name) + ": " + what);
}

template <class T> bool parse_number(const std::string& text, T& value, int base = 10)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

absl::Status read_parent(const std::string& text, caller_options& options)
{
    std::uint64_t id = 0;
    if (text.size() > 16 || !parse_number(text, id, 16)) {
        return faulty(call_header, "is not a token that a node gave");
    }
    options.parent = inbound_id(id);
    return absl::OkStatus();
}

absl::Status read_labels(const std::string& text, caller_options& options)
{
    absl::StatusOr<label_set> labels = parse_labels(text);
    if (!labels.ok()) {
        return faulty(labels_header, std::string(labels.status().message()));
    }
    options.labels = std::move(*labels);
    return absl::OkStatus();
}

absl::Status read_key(const std::string& text, caller_options& options)
{
    if (text.empty() || text.size() > longest_key) {
        return faulty(key_header, "must have from 1 to 128 bytes");
    }
    options.key = text;
    return absl::OkStatus();
}

absl::Status read_attempt(const std::string& text, caller_options& options)
{
    int attempt = 0;
    if (!parse_number(text, attempt) || attempt < 0 || attempt > most_client_attempts) {
        return faulty(attempt_header, "must be a whole number from 0 to 1000000");
    }
    options.client_attempt = attempt;
    return absl::OkStatus();
}

absl::Status read_timeout(const std::string& text, caller_options& options)
{
    std::int64_t timeout = 0;
    const bool has_unit = text.size() > 2 && text.compare(text.size() - 2, 2, "ms") == 0;
    const std::string digits = has_unit ? text.substr(0, text.size() - 2) : "";
    if (!parse_number(digits, timeout) || timeout < 1 || timeout > longest_timeout_ms) {
        return faulty(timeout_header, "must be from 1ms to 600000ms");
    }
    options.timeout = millis(timeout);
    return absl::OkStatus();
}

struct header_reader {
    const char* name;
    absl::Status (*read)(const std::string& text, caller_options& options);
};

constexpr std::array<header_reader, 5> readers = {{{call_header, read_parent},
                                                   {labels_header, read_labels},
                                                   {key_header, read_key},
                                                   {attempt_header, read_attempt},
                                                   {timeout_header, read_timeout}}};

const header_reader* find_reader(const std::string& name)
{
    const auto* found = std::find_if(readers.begin(), readers.end(), [&](const header_reader& r) {
        return absl::EqualsIgnoreCase(name, r.name);
    });
    return found == readers.end() ? nullptr : found;
}

bool is_hop_header(const std::string& name)
{
    return is_hop_by_hop_header(name) ||
           std::any_of(hop_headers.begin(), hop_headers.end(),
                       [&](const char* h) { return absl::EqualsIgnoreCase(name, h); });
}

} // namespace

absl::StatusOr<caller_options> read_caller_options(const std::vector<header>& headers)
{
    caller_options options;
    std::set<std::string> seen;
    for (const header& h : headers) {
        const header_reader* reader = find_reader(h.name);
        if (reader == nullptr) {
            continue;
        }
        if (!seen.insert(reader->name).second) {
            return faulty(reader->name, "is given twice");
        }
        if (absl::Status read = reader->read(h.value, options); !read.ok()) {
            return read;
        }
    }
    return options;
}

std::vector<header> forwarded_headers(const std::vector<header>& headers)
{
    std::vector<header> result;
    for (const header& h : headers) {
        if (!is_hop_header(h.name) && !absl::StartsWithIgnoreCase(h.name, "fescue-")) {
            result.push_back(h);
        }
    }
    return result;
}

bool says_not_run(const http_response& answer)
{
    constexpr int unavailable_status = 503;
    const std::string* told = find_header(answer.headers, not_run_header);
    return answer.status == unavailable_status && told != nullptr && *told == "true";
}

std::string call_token(inbound_id call)
{
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), call.value(), 16);
    return {text.data(), end.ptr};
}

} // namespace fescuedyke
