#ifndef FESCUEDYKE_TRANSPORT_PEER_CLIENT_H
#define FESCUEDYKE_TRANSPORT_PEER_CLIENT_H

#include "fescuedyke/transport/h2_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Requests to other processes of the system over one long-lived HTTP/2 connection per process. A
/// connection is closed, and its requests fail, if it cannot be established in time, or if nothing
/// is received over it for too long while requests are open.

namespace fescuedyke {

/// A response, or the reason why there is none.
using peer_result = std::variant<h2_message, stream_failure>;

/// Identifies a request until it ends.
using peer_request_id = strong<struct peer_request_id_tag, std::uint64_t>;

/// Sends requests to other processes and keeps one connection to each of them.
class peer_client {
public:
    using callback = std::function<void(peer_result)>;

    explicit peer_client(event_loop& loop);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends \p message to \p path at \p address. \p done is called once, after send() has
    /// returned, unless the request is cancelled before.
    peer_request_id send(const endpoint& address, const std::string& path,
                         h2_outgoing_message message, const callback& done);

    /// Cancels a request; its callback will not be called.
    void cancel(peer_request_id id);

    /// Returns the number of peers with a current connection, which may already be closed.
    std::size_t connections() const { return connections_.size(); }

private:
    class connection;
    using connection_key = std::pair<std::string, std::uint16_t>;

    std::shared_ptr<connection> connection_to(const endpoint& address);
    void start_draining(const endpoint& address);
    void check_liveness();
    void schedule_liveness_check();

    event_loop& loop_;
    std::uint64_t next_request_ = 1;
    bool liveness_check_scheduled_ = false;
    std::map<connection_key, std::shared_ptr<connection>> connections_;
    /// Connections that accept no new requests but still have open ones.
    std::vector<std::shared_ptr<connection>> draining_;
    std::map<peer_request_id, std::weak_ptr<connection>> connection_by_request_;
    std::shared_ptr<bool> alive_;
};

} // namespace fescuedyke

#endif
