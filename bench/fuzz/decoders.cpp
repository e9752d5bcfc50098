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

/// What came out of reading messages: heads and bodies in their order, then how it ended.
using transcript = std::vector<std::string>;

std::string show(const std::vector<header>& headers)
{
    std::string text;
    for (const header& h : headers) {
        text += h.name + "=" + h.value + ";";
    }
    return text;
}

/// Gives \p bytes in pieces to \p take, again and again while it takes any of them. Returns false
/// once it fails.
bool give_in_pieces(const std::string& bytes, std::size_t step,
                    const std::function<read_progress(std::string&)>& take)
{
    std::string buffer;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        buffer.append(bytes, at, step);
        std::size_t before = buffer.size() + 1;
        while (!buffer.empty() && buffer.size() < before) {
            before = buffer.size();
            if (take(buffer) == read_progress::failed) {
                return false;
            }
        }
    }
    return true;
}

transcript read_requests(const std::string& bytes, std::size_t step)
{
    http_limits limits;
    limits.max_head_bytes = 4096;
    limits.max_body_bytes = 4096;
    request_reader reader(limits);
    transcript read;
    const bool good = give_in_pieces(bytes, step, [&](std::string& buffer) {
        const read_progress progress = reader.read(buffer);
        if (progress == read_progress::complete) {
            const http_request r = reader.take();
            read.push_back(r.method + " " + r.path + " " + show(r.headers) + *r.body);
        }
        return progress;
    });
    if (!good) {
        read.push_back("failed " + std::to_string(reader.error_status()));
    }
    return read;
}

transcript read_answers(const std::string& bytes, std::size_t step)
{
    response_reader reader;
    transcript read;
    const bool good = give_in_pieces(bytes, step, [&](std::string& buffer) {
        const read_progress progress = reader.read(buffer);
        if (progress == read_progress::complete) {
            const http_response a = reader.take();
            read.push_back(std::to_string(a.status) + " " + show(a.headers) + *a.body);
            reader.begin("GET");
        }
        return progress;
    });
    if (!good) {
        read.emplace_back("failed");
        return read;
    }
    read.emplace_back(reader.head_complete() && reader.finish_at_eof() ? "ends whole"
                                                                       : "ends cut off");
    return read;
}

/// What a reader makes of bytes must not depend on how they are cut into pieces.
template <class Read> std::string same_in_pieces(Read read, const std::string& bytes)
{
    const transcript whole = read(bytes, bytes.size() + 1);
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}}) {
        if (read(bytes, step) != whole) {
            return "in pieces of " + std::to_string(step) + " [" +
                   absl::StrJoin(read(bytes, step), "|") + "], else [" + absl::StrJoin(whole, "|") +
                   "]";
        }
    }
    return "";
}

http_request request_of(const std::string& bytes)
{
    http_request request;
    request.method = "GET";
    request.path = "/x";
    // One header a line, name and value apart by a colon.
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

std::string try_decoder(const std::string& input)
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
        // A head that never ends is only known to be bad once it ends.
        return same_in_pieces(read_requests, bytes + "\r\n\r\n");
    case 13:
        return same_in_pieces(read_answers, bytes + "\r\n\r\n");
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
        (void)platform::parse_request(request_of(bytes), service_name("s"));
        break;
    }
    return "";
}

} // namespace fescuedyke::fuzz
