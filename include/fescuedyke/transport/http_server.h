#ifndef FESCUEDYKE_TRANSPORT_HTTP_SERVER_H
#define FESCUEDYKE_TRANSPORT_HTTP_SERVER_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/support/ids.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>

/// \file
/// HTTP/1.1 towards callers, targets and operators, by Pistache.

namespace fescuedyke {

struct http_server_settings {
    endpoint address;
    int threads = 2;
    /// Largest request, head and body together, in bytes.
    std::size_t max_request_bytes = (64U << 20U) + (64U << 10U);
};

/// Serves on threads of its own. The handlers are called on those threads; answers may be given
/// from any thread.
class http_server {
public:
    struct handlers {
        /// The path of the request is the whole path and query.
        std::function<void(exchange_id, http_request)> on_request;
        /// The caller closed its connection before its answer.
        std::function<void(exchange_id)> on_gone;
    };

    http_server(const http_server_settings& settings, handlers h);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Fails with kUnavailable when the address is taken.
    absl::Status start();

    /// Answers an exchange once; one that is gone is passed over.
    void answer(exchange_id exchange, const http_answer& answer);

    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescuedyke

#endif
