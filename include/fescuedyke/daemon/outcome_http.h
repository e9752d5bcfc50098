#ifndef FESCUEDYKE_DAEMON_OUTCOME_HTTP_H
#define FESCUEDYKE_DAEMON_OUTCOME_HTTP_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/call/outcome.h"

#include <nlohmann/json_fwd.hpp>

/// \file
/// Conversion of outcomes to HTTP answers.

namespace fescuedyke {

/// Returns the answer to a caller: \p answer with the outcome as a header if the target answered;
/// otherwise an error with the outcome as headers and as a JSON body.
http_answer to_http(const outcome& result, const http_answer& answer);

/// Returns an answer with \p status and \p body as JSON.
http_answer json_answer(int status, const nlohmann::json& body);

} // namespace fescuedyke

#endif
