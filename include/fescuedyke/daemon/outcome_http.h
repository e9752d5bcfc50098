#ifndef FESCUEDYKE_DAEMON_OUTCOME_HTTP_H
#define FESCUEDYKE_DAEMON_OUTCOME_HTTP_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"

#include <nlohmann/json_fwd.hpp>

/// \file
/// Outcomes as callers see them over HTTP.

namespace fescuedyke {

/// Returns the answer to a caller: the target's own, or the outcome as headers and a JSON body.
http_response to_http(const outcome& result, const http_response& answer);

/// Returns an answer of \p status with \p body as JSON.
http_response json_answer(int status, const nlohmann::json& body);

} // namespace fescuedyke

#endif
