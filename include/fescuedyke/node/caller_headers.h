#ifndef FESCUEDYKE_NODE_CALLER_HEADERS_H
#define FESCUEDYKE_NODE_CALLER_HEADERS_H

#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/call/message.h"
#include "fescuedyke/call/target_notice.h"
#include "fescuedyke/policy/labels.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

/// \file
/// HTTP headers that callers and targets exchange with their node.

namespace fescuedyke {

/// Header names, in lower case.
constexpr const char* call_header = "fescue-call";
constexpr const char* labels_header = "fescue-labels";
constexpr const char* key_header = "fescue-key";
constexpr const char* attempt_header = "fescue-attempt";
constexpr const char* timeout_header = "fescue-timeout";
/// Set by a target on a 503 response to state that it did not execute the request.
constexpr const char* not_run_header = "fescue-not-run";

/// Set by a target on its responses: the calls per second that it takes from all nodes together,
/// and `1` if it leaves.
constexpr const char* rate_limit_header = "fescue-rate-limit";
constexpr const char* leaving_header = "fescue-leaving";

/// Options that a caller set in the headers of its request.
struct caller_options {
    /// The inbound call that the caller is serving; unset for a root call.
    std::optional<inbound_id> parent;
    label_set labels;
    std::string key;
    int client_attempt = 0;
    std::optional<millis> timeout;
};

/// Parses the headers meant for the node. Fails with kInvalidArgument, naming the header, on a
/// malformed value, a value out of range, or a header given twice.
absl::StatusOr<caller_options> parse_caller_options(const std::vector<header>& headers);

/// Returns \p headers without those meant for the node, the hop-by-hop headers, and those that the
/// node sets anew.
std::vector<header> filter_forwarded_headers(const std::vector<header>& headers);

/// Returns whether a target's \p response states that the call was not executed.
bool reports_not_run(const http_response& response);

/// Returns what a target states about itself in the headers of \p response, which have the names
/// \p rate_limit_name and \p leaving_name. Of several limits, the smallest one applies.
target_notice read_notice(const http_response& response, const char* rate_limit_name,
                          const char* leaving_name);

/// Returns the token that a target sends in the requests it makes while it serves \p call.
std::string format_call_token(inbound_id call);

} // namespace fescuedyke

#endif
