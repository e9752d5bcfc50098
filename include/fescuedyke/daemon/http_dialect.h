#ifndef FESCUEDYKE_DAEMON_HTTP_DIALECT_H
#define FESCUEDYKE_DAEMON_HTTP_DIALECT_H

#include "fescuedyke/call/outcome.h"
#include "fescuedyke/node/actions.h"
#include "fescuedyke/transport/target_client.h"

/// \file
/// How a node speaks HTTP with its callers and its target.

namespace fescuedyke {

/// What differs between the ways in which callers and targets are spoken to.
class http_dialect {
public:
    virtual ~http_dialect() = default;

    /// Returns the answer to a caller: the target's own, or the outcome.
    virtual http_answer to_caller(const outcome& result, const http_answer& answer) const = 0;

    /// Returns what is sent to the target for \p call; the address is filled in by others.
    virtual target_request to_target(const dispatch_call& call) const = 0;

    /// Returns the name by which the caller knows the request; empty if it gave none.
    virtual std::string request_id(const http_request& request) const = 0;

    /// Returns whether the target says that it did not run the call.
    virtual bool says_not_run(const http_answer& answer) const = 0;
};

/// The product's own headers, as docs/CALLERS.md tells them.
class native_dialect final : public http_dialect {
public:
    http_answer to_caller(const outcome& result, const http_answer& answer) const override;
    target_request to_target(const dispatch_call& call) const override;
    std::string request_id(const http_request& request) const override;
    bool says_not_run(const http_answer& answer) const override;
};

} // namespace fescuedyke

#endif
