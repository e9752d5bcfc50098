#ifndef FESCUEDYKE_TRANSPORT_HTTP_SERVER_H
#define FESCUEDYKE_TRANSPORT_HTTP_SERVER_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/socket.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>

/// \file
/// HTTP/1.1 towards callers, targets and operators.

namespace fescuedyke {

/// Serves on an event loop. Requests that follow on a connection before the first is answered are
/// taken as well; their answers go out in the order of the requests.
class http_server {
public:
    struct handlers {
        /// The path of the request is the whole path and query.
        std::function<void(exchange_id, http_request)> on_request;
        /// The caller closed its connection before its answer.
        std::function<void(exchange_id)> on_cancelled;
    };

    /// Exchanges of several servers on one loop are told apart by their \p first_exchange number.
    http_server(event_loop& loop, const http_limits& limits, handlers h,
                std::uint64_t first_exchange = 1);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Fails with kUnavailable when the address is taken. Called before the loop runs or in it.
    absl::Status listen(const endpoint& address);

    /// Answers an exchange once; one that is gone is passed over. May be called from any thread.
    void respond(exchange_id exchange, const http_answer& answer);

    /// In force for what is read from now on.
    void set_limits(const http_limits& limits) { limits_ = limits; }

    /// Every answer from now on asks the caller to close its connection.
    void begin_drain() { draining_ = true; }
    /// Closes connections on which no request is open.
    void close_idle();
    /// Takes no more connections.
    void stop_listening();

    /// Bytes of bodies reserved_bytes for all connections.
    std::uint64_t buffered_bytes() const { return buffered_bytes_; }
    std::size_t open_exchanges() const { return connection_by_exchange_.size(); }
    std::size_t connections() const { return connections_.size(); }

private:
    class connection;

    void accept_connections();
    void remove_connection(std::uint64_t connection);
    void check_timeouts();

    event_loop& loop_;
    http_limits limits_;
    handlers handlers_;
    int fd_ = -1;
    bool draining_ = false;
    bool timeout_check_scheduled_ = false;
    std::uint64_t buffered_bytes_ = 0;
    std::uint64_t next_exchange_;
    std::uint64_t next_connection_ = 1;
    std::map<std::uint64_t, std::shared_ptr<connection>> connections_;
    std::map<exchange_id, std::uint64_t> connection_by_exchange_;
    std::shared_ptr<bool> alive_;
};

} // namespace fescuedyke

#endif
