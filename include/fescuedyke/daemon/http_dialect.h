#ifndef FESCUEDYKE_DAEMON_HTTP_DIALECT_H
#define FESCUEDYKE_DAEMON_HTTP_DIALECT_H

#include "fescuedyke/call/outcome.h"
#include "fescuedyke/node/actions.h"
#include "fescuedyke/transport/target_client.h"

/// \file
/// The HTTP conventions between a node and its callers and target.

namespace fescuedyke {

/// Translates between the node's calls and outcomes and the HTTP messages of callers and targets.
class http_dialect {
public:
    virtual ~http_dialect() = default;

    /// Returns the response to the caller: the target's \p response if \p result is
    /// outcome_kind::answered; otherwise a response that reports \p result.
    virtual http_response to_caller(const outcome& result, const http_response& response) const = 0;

    /// Returns the request to send to the target for \p call. Its address is not set.
    virtual target_request to_target(const dispatch_call& call) const = 0;

    /// Returns the id that the caller gave the request, or an empty string.
    virtual std::string request_id(const http_request& request) const = 0;

    /// Returns whether \p response states that the target did not run the call.
    virtual bool reports_not_run(const http_response& response) const = 0;

    /// Returns what the target states about itself in \p response.
    virtual target_notice notice_of(const http_response& response) const = 0;
};

/// Uses the headers of this project, which docs/CALLERS.md describes.
class native_dialect final : public http_dialect {
public:
    http_response to_caller(const outcome& result, const http_response& response) const override;
    target_request to_target(const dispatch_call& call) const override;
    std::string request_id(const http_request& request) const override;
    bool reports_not_run(const http_response& response) const override;
    target_notice notice_of(const http_response& response) const override;
};

} // namespace fescuedyke

#endif
