#ifndef FESCUEDYKE_DAEMON_OUTCOME_HTTP_H
#define FESCUEDYKE_DAEMON_OUTCOME_HTTP_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"

#include <nlohmann/json_fwd.hpp>

/// \file
/// Conversion of outcomes to HTTP responses.

namespace fescuedyke {

/// Returns the response to a caller: the target's \p response with the outcome as a header if the
/// target answered; otherwise an error with the outcome as headers and as a JSON body.
http_response to_http(const outcome& result, const http_response& response);

/// Returns a response with \p status and \p body as JSON.
http_response json_response(int status, const nlohmann::json& body);

} // namespace fescuedyke

#endif
