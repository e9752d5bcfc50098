#ifndef FESCUEDYKE_NODE_CALLER_HEADERS_H
#define FESCUEDYKE_NODE_CALLER_HEADERS_H

#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/call/message.h"
#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

/// \file
/// The headers by which callers and targets speak to their node.

namespace fescuedyke {

/// Names of the headers, in lower case.
constexpr const char* call_header = "fescue-call";
constexpr const char* labels_header = "fescue-labels";
constexpr const char* key_header = "fescue-key";
constexpr const char* attempt_header = "fescue-attempt";
constexpr const char* timeout_header = "fescue-timeout";
/// On a target's 503 answer: the request did not run.
constexpr const char* not_run_header = "fescue-not-run";

/// What a caller asked of its node.
struct caller_options {
    /// The call that the caller is serving; nothing at a root.
    std::optional<inbound_id> parent;
    label_set labels;
    std::string key;
    int client_attempt = 0;
    std::optional<millis> timeout;
};

/// Reads the headers meant for the node. Fails with kInvalidArgument, naming the header, on a
/// malformed value, a value out of range, or a header given twice.
absl::StatusOr<caller_options> parse_caller_options(const std::vector<header>& headers);

/// Returns \p headers without those meant for the node and those of the connection.
std::vector<header> filter_forwarded_headers(const std::vector<header>& headers);

/// Returns whether a target's \p answer says that the call did not run.
bool reports_not_run(const http_answer& answer);

/// Returns the token that a target hands back in its calls below \p call.
std::string format_call_token(inbound_id call);

} // namespace fescuedyke

#endif
