#ifndef FESCUEDYKE_TRANSPORT_PEER_SERVER_H
#define FESCUEDYKE_TRANSPORT_PEER_SERVER_H

#include "fescuedyke/transport/connection_listener.h"
#include "fescuedyke/transport/h2_connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file
/// The HTTP/2 server for requests from other processes of the system.

namespace fescuedyke {

/// Identifies a received request until it is answered or cancelled.
using peer_stream_id = strong<struct peer_stream_id_tag, std::uint64_t>;

/// Accepts HTTP/2 connections from other processes and passes their requests to handlers.
class peer_server {
public:
    struct handlers {
        std::function<void(peer_stream_id, const std::string& path, h2_message)> on_request;
        /// The peer cancelled the request, or its connection was lost.
        std::function<void(peer_stream_id)> on_cancelled;
        /// Returns whether a request of \p bytes may be buffered; otherwise the request is refused
        /// before its body is read.
        std::function<bool(std::uint64_t bytes)> may_accept;
        /// Returns whether a request to \p path is pointless without its sender, so that it is not
        /// passed on if its cancellation or the end of its connection arrived with it. Optional; by
        /// default no request is.
        std::function<bool(const std::string& path)> needs_caller = nullptr;
    };

    peer_server(event_loop& loop, handlers callbacks);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Fails with kUnavailable if the socket cannot be bound, for example because the address is in
    /// use, and with kInvalidArgument if the host is not an IPv4 address.
    absl::Status listen(const endpoint& address);

    /// Sends the response to a request. Does nothing if the request was cancelled.
    void respond(peer_stream_id id, h2_outgoing_message message);

    /// Returns the requests that are not answered, or whose response was not sent completely.
    std::size_t open_streams() const;
    /// Returns the connections with bytes that wait to be sent.
    std::size_t connections_with_unsent_bytes() const;

    /// Returns the size in bytes of the memory that all connections hold for sending.
    std::size_t output_memory() const;

    /// Returns whether all requests were answered and all responses were sent.
    bool idle() const { return open_streams() == 0 && connections_with_unsent_bytes() == 0; }
    std::size_t connections() const { return sessions_.size(); }
    /// Returns how often a connection could not be accepted for lack of descriptors or memory.
    std::uint64_t failed_accepts() const { return listener_.failed_accepts(); }

    /// Stops accepting connections and tells all peers to send no more requests.
    void shut_down();

private:
    class session;

    void add_connection(int fd);
    void remove_session(std::uint64_t id);

    event_loop& loop_;
    handlers handlers_;
    connection_listener listener_{loop_, [this](int fd) { add_connection(fd); }};
    std::uint64_t next_session_ = 1;
    std::uint64_t next_stream_ = 1;
    std::map<std::uint64_t, std::shared_ptr<session>> sessions_;
    struct stream_location {
        std::uint64_t session = 0;
        std::int32_t stream = 0;
    };
    std::map<peer_stream_id, stream_location> open_requests_;
};

} // namespace fescuedyke

#endif
