#ifndef FESCUEDYKE_TRANSPORT_HTTP_SERVER_H
#define FESCUEDYKE_TRANSPORT_HTTP_SERVER_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/support/ids.h"
#include "fescuedyke/transport/connection_listener.h"
#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/socket.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>

/// \file
/// The HTTP/1.1 server for callers, targets and operators.

namespace fescuedyke {

/// Why the server or a client ended a connection.
enum class connection_end : std::uint8_t {
    /// The last response was sent, and the request or the server asked to close the connection.
    last_response,
    /// The client closed its sending direction or the whole connection.
    client_closed,
    /// The connection was reset, or sent data stayed unacknowledged for too long.
    connection_failed,
    /// The source of a streamed response body broke off.
    response_aborted,
    /// The server was destroyed.
    server_stopped,
};

/// Returns the name used in logs and metrics.
const char* to_string(connection_end reason);

/// A connection that ended before all of its requests were answered completely.
struct cut_connection {
    connection_end reason = connection_end::last_response;
    /// Requests passed to the handler that were not answered.
    std::size_t open_requests = 0;
    /// Responses known to the server of which at least one byte was not sent.
    std::size_t unsent_responses = 0;
    /// Requests that were not passed on, because they were read after the caller had left.
    std::size_t dropped_requests = 0;
    /// Received bytes of requests that were not parsed, read or not.
    std::size_t unparsed_bytes = 0;
};

/// Serves HTTP/1.1 on an event loop. Pipelined requests are accepted; the responses of a connection
/// are sent in the order of its requests.
class http_server {
public:
    struct handlers {
        /// A request was received. Its path contains the query.
        std::function<void(exchange_id, http_request)> on_request;
        /// An exchange ended before it was answered, because its connection was closed or the rest
        /// of its request body could not be read.
        std::function<void(exchange_id)> on_cancelled;
        /// A connection ended before all of its requests were answered. Optional.
        std::function<void(const cut_connection&)> on_cut = nullptr;
        /// Returns whether a request is pointless without its caller, so that it is not passed on
        /// if the caller has closed the connection before the request was read. Optional; by
        /// default no request is.
        std::function<bool(const http_request&)> needs_caller = nullptr;
    };

    /// Numbers exchanges from \p first_exchange on, so that several servers on one loop can use
    /// disjoint ranges.
    http_server(event_loop& loop, const http_limits& limits, handlers callbacks,
                std::uint64_t first_exchange = 1);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Fails with kUnavailable if the socket cannot be bound, for example because the address is in
    /// use, and with kInvalidArgument if the host is not an IPv4 address. Must be called before the
    /// loop runs or from its thread.
    absl::Status listen(const endpoint& address);

    /// Sends the response to the request of an exchange. Does nothing if the exchange has ended.
    /// May be called from any thread.
    void respond(exchange_id exchange, const http_response& response);

    /// Replaces the limits. On an open connection, the limits on head and body size take effect
    /// after its current request, or after its next one if it is idle.
    void set_limits(const http_limits& limits) { limits_ = limits; }

    /// Ends every connection after a last response, which has "Connection: close". All requests
    /// that were passed on are answered. The last request of a connection is the one that is being
    /// received or, if there is none, the newest open one. A connection without either, or with
    /// only one whose response is being sent, serves one more request.
    void begin_drain();
    /// Ends the connections that are idle and on which no further request has arrived.
    void close_idle();
    /// Stops accepting connections.
    void stop_listening() { listener_.stop(); }
    /// Returns how often a connection could not be accepted for lack of descriptors or memory.
    std::uint64_t failed_accepts() const { return listener_.failed_accepts(); }

    /// Returns the bytes reserved for request bodies over all connections.
    std::uint64_t buffered_bytes() const { return buffered_bytes_; }
    /// Returns whether no request is being received or open, all bytes of the responses were passed
    /// to their sockets, and no connection is still being closed. A connection is being closed from
    /// its last sent byte until the caller closes it too, or until the caller has received
    /// everything and a fixed time has passed.
    bool idle() const;
    /// Returns whether a request is being received or open, or bytes of a response wait to be
    /// passed to their socket.
    bool has_open_requests() const;
    /// Returns the requests of whose responses no byte was queued.
    std::size_t open_exchanges() const { return connection_by_exchange_.size(); }
    std::size_t connections() const { return connections_.size(); }
    /// Returns the connections whose responses were not sent completely.
    std::size_t connections_with_unsent_bytes() const;

private:
    class connection;

    void add_connection(int fd);
    void remove_connection(std::uint64_t id);
    void check_timeouts();

    event_loop& loop_;
    http_limits limits_;
    handlers handlers_;
    connection_listener listener_{loop_, [this](int fd) { add_connection(fd); }};
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
