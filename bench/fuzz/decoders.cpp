#include "fuzz/decoders.h"

#include "fescuedyke/codec/call_codec.h"
#include "fescuedyke/control/messages.h"
#include "fescuedyke/daemon/http_api.h"
#include "fescuedyke/node/caller_headers.h"
#include "fescuedyke/once/idempotency_key.h"
#include "fescuedyke/policy/policy.h"
#include "fescuedyke/settings/process_settings.h"
#include "fescuedyke/transport/http_codec.h"
#include "platform/dialect.h"
#include "platform/document.h"
#include "platform/report.h"
#include "platform/settings.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace fescuedyke::fuzz {

namespace {

/// The heads and bodies of the messages that a reader parsed, in order, and then how parsing ended.
using parse_trace = std::vector<std::string>;

std::string to_text(const std::vector<header>& headers)
{
    std::string text;
    for (const header& h : headers) {
        text += h.name + "=" + h.value + ";";
    }
    return text;
}

/// Appends \p bytes to a buffer in chunks of \p chunk_size bytes. After each chunk, calls
/// \p consume on the buffer until it removes no more bytes. Returns false as soon as \p consume
/// fails.
bool feed_in_chunks(const std::string& bytes, std::size_t chunk_size,
                    const std::function<read_progress(std::string&)>& consume)
{
    std::string buffer;
    for (std::size_t at = 0; at < bytes.size(); at += chunk_size) {
        buffer.append(bytes, at, chunk_size);
        std::size_t before = buffer.size() + 1;
        while (!buffer.empty() && buffer.size() < before) {
            before = buffer.size();
            if (consume(buffer) == read_progress::failed) {
                return false;
            }
        }
    }
    return true;
}

parse_trace read_requests(const std::string& bytes, std::size_t chunk_size)
{
    http_limits limits;
    limits.max_head_bytes = 4096;
    limits.max_body_bytes = 4096;
    request_reader reader(limits);
    parse_trace events;
    const bool succeeded = feed_in_chunks(bytes, chunk_size, [&](std::string& buffer) {
        const read_progress progress = reader.read(buffer);
        if (progress == read_progress::complete) {
            const http_request r = reader.take();
            events.push_back(r.method + " " + r.path + " " + to_text(r.headers) + *r.body);
        }
        return progress;
    });
    if (!succeeded) {
        events.push_back("failed " + std::to_string(reader.error_status()));
    }
    return events;
}

parse_trace read_answers(const std::string& bytes, std::size_t chunk_size)
{
    response_reader reader;
    parse_trace events;
    const bool succeeded = feed_in_chunks(bytes, chunk_size, [&](std::string& buffer) {
        const read_progress progress = reader.read(buffer);
        if (progress == read_progress::complete) {
            const http_response a = reader.take();
            events.push_back(std::to_string(a.status) + " " + to_text(a.headers) + *a.body);
            reader.begin("GET");
        }
        return progress;
    });
    if (!succeeded) {
        events.emplace_back("failed");
        return events;
    }
    events.emplace_back(reader.head_complete() && reader.finish_at_eof()
                            ? "complete at end of stream"
                            : "truncated at end of stream");
    return events;
}

/// Checks that the result of a reader does not depend on how the bytes are split into chunks.
/// Returns a description of the difference, or an empty string.
template <class Read> std::string check_chunk_invariance(Read read, const std::string& bytes)
{
    const parse_trace whole = read(bytes, bytes.size() + 1);
    for (const std::size_t chunk_size : {std::size_t{1}, std::size_t{7}}) {
        if (read(bytes, chunk_size) != whole) {
            return "in chunks of " + std::to_string(chunk_size) + " bytes [" +
                   absl::StrJoin(read(bytes, chunk_size), "|") + "], in one chunk [" +
                   absl::StrJoin(whole, "|") + "]";
        }
    }
    return "";
}

http_request make_request(const std::string& bytes)
{
    http_request request;
    request.method = "GET";
    request.path = "/x";
    // Each line holds one header; a colon separates the name from the value.
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::size_t end = std::min(bytes.find('\n', at), bytes.size());
        const std::string line = bytes.substr(at, end - at);
        const std::size_t colon = std::min(line.find(':'), line.size());
        request.headers.push_back(
            {line.substr(0, colon), line.substr(std::min(colon + 1, line.size()))});
        at = end + 1;
    }
    return request;
}

} // namespace

std::string run_decoder(const std::string& input)
{
    if (input.empty()) {
        return "";
    }
    const std::string bytes = input.substr(1);
    switch (static_cast<unsigned char>(input[0]) % decoder_count) {
    case 0:
        (void)decode_call(bytes);
        break;
    case 1:
        (void)decode_reply(bytes);
        break;
    case 2:
        (void)decode_consensus(bytes);
        break;
    case 3:
        (void)decode_poll(bytes);
        break;
    case 4:
        (void)decode_poll_reply(bytes);
        break;
    case 5:
        (void)decode_member_sync(bytes);
        break;
    case 6:
        (void)decode_account_report(bytes);
        (void)decode_account_copies(bytes);
        (void)decode_account_copies_reply(bytes);
        break;
    case 7:
        (void)parse_caller_options({{labels_header, bytes}});
        break;
    case 8:
        (void)parse_idempotency_key(bytes);
        break;
    case 9:
        (void)parse_policy(bytes);
        break;
    case 10:
        (void)parse_announcement(bytes);
        (void)parse_policy_change(bytes);
        break;
    case 11:
        (void)parse_call_path(bytes);
        (void)parse_request_uri(bytes);
        (void)parse_settings(bytes);
        break;
    case 12:
        // A reader may reject a malformed head only when the head is complete, so the blank line
        // that ends it is appended.
        return check_chunk_invariance(read_requests, bytes + "\r\n\r\n");
    case 13:
        return check_chunk_invariance(read_answers, bytes + "\r\n\r\n");
    case 14:
        (void)platform::parse_document(bytes);
        break;
    case 15:
        (void)platform::parse_report("i-1", bytes);
        (void)platform::parse_deregistered_start(bytes);
        break;
    case 16:
        (void)platform::parse_settings(bytes);
        break;
    default:
        (void)platform::parse_request(make_request(bytes), service_name("s"));
        break;
    }
    return "";
}

} // namespace fescuedyke::fuzz
