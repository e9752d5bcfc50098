#ifndef FESCUEDYKE_CALL_MESSAGE_H
#define FESCUEDYKE_CALL_MESSAGE_H

#include "fescuedyke/call/body_stream.h"

#include <memory>
#include <string>
#include <vector>

/// \file
/// Requests and answers as they pass through the system, untouched by it.

namespace fescuedyke {

/// One header field; names keep their spelling and are compared without regard to case.
struct header {
    std::string name;
    std::string value;
};

/// A body, shared and never changed.
using payload = std::shared_ptr<const std::string>;

/// Bytes of a body that is held whole or flows; what flows without telling its length counts for as
/// much as is kept of it.
inline std::uint64_t body_size(const payload& body, const std::shared_ptr<body_reader>& flow)
{
    if (flow) {
        return flow->length().value_or(body_stream_capacity);
    }
    return body ? body->size() : 0;
}

/// What a caller asks of a target.
struct http_request {
    std::string method;
    /// Path and query as the target shall see them.
    std::string path;
    std::vector<header> headers;
    payload body;
    /// The body, when it is longer than is held whole; then there is no other.
    std::shared_ptr<body_reader> body_stream{};

    /// Bytes of the body, as far as they are told.
    std::uint64_t body_bytes() const { return body_size(body, body_stream); }
    /// Bytes that are held while the request is open.
    std::uint64_t held_bytes() const { return body_stream ? body_stream_capacity : body_bytes(); }
    /// Whether the body can be sent from its first byte on.
    bool is_replayable() const { return !body_stream || body_stream->can_rewind(); }
};

/// What a target answers.
struct http_response {
    int status = 0;
    std::vector<header> headers;
    payload body;
    /// The body, when it is longer than is held whole; then there is no other.
    std::shared_ptr<body_reader> body_stream{};

    /// Bytes of the body, as far as they are told.
    std::uint64_t body_bytes() const { return body_size(body, body_stream); }
};

/// Returns the value of the first header called \p name, or nullptr.
const std::string* find_header(const std::vector<header>& headers, const std::string& name);

/// Whether a header concerns one connection only and is never passed on.
bool is_hop_by_hop_header(const std::string& name);

} // namespace fescuedyke

#endif
