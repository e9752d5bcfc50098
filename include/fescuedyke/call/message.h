#ifndef FESCUEDYKE_CALL_MESSAGE_H
#define FESCUEDYKE_CALL_MESSAGE_H

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

/// What a caller asks of a target.
struct http_request {
    std::string method;
    /// Path and query as the target shall see them.
    std::string path;
    std::vector<header> headers;
    payload body;

    std::size_t body_bytes() const { return body ? body->size() : 0; }
};

/// What a target answers.
struct http_answer {
    int status = 0;
    std::vector<header> headers;
    payload body;

    std::size_t body_bytes() const { return body ? body->size() : 0; }
};

/// Returns the value of the first header called \p name, or nullptr.
const std::string* find_header(const std::vector<header>& headers, const std::string& name);

/// Whether a header concerns one connection only and is never passed on.
bool is_connection_header(const std::string& name);

} // namespace fescuedyke

#endif
