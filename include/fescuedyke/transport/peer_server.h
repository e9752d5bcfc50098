#ifndef FESCUEDYKE_TRANSPORT_PEER_SERVER_H
#define FESCUEDYKE_TRANSPORT_PEER_SERVER_H

#include "fescuedyke/transport/h2_connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file
/// Takes requests from other processes of the system.

namespace fescuedyke {

/// Names a request that came in until it is answered or gone.
using peer_stream_id = strong<struct peer_stream_id_tag, std::uint64_t>;

class peer_server {
public:
    struct handlers {
        std::function<void(peer_stream_id, const std::string& path, h2_message)> on_request;
        std::function<void(peer_stream_id)> on_cancelled;
        /// Whether a request of so many bytes may be taken in; otherwise it is refused unread.
        std::function<bool(std::uint64_t bytes)> may_accept;
    };

    peer_server(event_loop& loop, handlers h);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Fails with kUnavailable when the address is taken.
    absl::Status listen(const endpoint& address);

    /// Answers a request; one that is gone is passed over.
    void respond(peer_stream_id id, h2_outgoing_message body);

    /// Takes no more connections, and tells all clients to send no more requests.
    void shut_down();

private:
    class session;

    void accept_connections();
    void remove_session(std::uint64_t session);

    event_loop& loop_;
    handlers handlers_;
    int fd_ = -1;
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
