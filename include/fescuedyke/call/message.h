#ifndef FESCUEDYKE_CALL_MESSAGE_H
#define FESCUEDYKE_CALL_MESSAGE_H

#include "fescuedyke/call/body_stream.h"

#include <memory>
#include <string>
#include <vector>

/// \file
/// HTTP requests and responses, whose content is forwarded unchanged.

namespace fescuedyke {

/// An HTTP header field. Names keep their spelling and are compared case-insensitively.
struct header {
    std::string name;
    std::string value;
};

/// Longest name and longest value of a header, in bytes: what the HTTP library stores.
constexpr std::size_t max_header_bytes = 65'533;

/// An immutable, shared message body.
using payload = std::shared_ptr<const std::string>;

/// Returns the size in bytes of a buffered or streamed body. A stream of unknown length counts as
/// the capacity of its buffer.
inline std::uint64_t body_size(const payload& body, const std::shared_ptr<body_reader>& stream)
{
    if (stream) {
        return stream->length().value_or(body_stream_capacity_bytes);
    }
    return body ? body->size() : 0;
}

/// A caller's request to a target.
struct http_request {
    std::string method;
    /// Path and query as they are sent to the target.
    std::string path;
    std::vector<header> headers;
    payload body;
    /// Set instead of \c body when the body exceeds \c max_buffered_body_bytes.
    std::shared_ptr<body_reader> body_stream{};

    /// Returns the size of the body in bytes; see body_size().
    std::uint64_t body_bytes() const { return body_size(body, body_stream); }
    /// Returns the number of body bytes that memory is reserved for while the request is open.
    std::uint64_t held_bytes() const
    {
        return body_stream ? body_stream_capacity_bytes : body_bytes();
    }
    /// Returns whether the body can be sent from its first byte.
    bool is_replayable() const { return !body_stream || body_stream->can_rewind(); }
};

/// A target's response.
struct http_response {
    int status = 0;
    std::vector<header> headers;
    payload body;
    /// Set instead of \c body when the body exceeds \c max_buffered_body_bytes.
    std::shared_ptr<body_reader> body_stream{};

    /// Returns the size of the body in bytes; see body_size().
    std::uint64_t body_bytes() const { return body_size(body, body_stream); }
};

/// Returns whether a response that is not an interim one may have the status (RFC 9110, 15).
inline bool is_final_status(int status)
{
    constexpr int min_final_status = 200;
    constexpr int max_status = 599;
    return status >= min_final_status && status <= max_status;
}

/// Returns the value of the first header with the given \p name, or nullptr.
const std::string* find_header(const std::vector<header>& headers, const std::string& name);

/// Returns whether a header concerns a single connection and is therefore not forwarded.
bool is_hop_by_hop_header(const std::string& name);

/// Returns \p headers without the hop-by-hop headers, which include those that a Connection header
/// names.
std::vector<header> end_to_end_headers(const std::vector<header>& headers);

} // namespace fescuedyke

#endif
