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
/// Requests to other processes of the system over one long-lived connection each. A connection
/// that cannot be made, or whose other side gives no sign of life while requests are open, is
/// closed, and its requests fail.

namespace fescuedyke {

/// A response, or why there is none.
using peer_result = std::variant<h2_message, stream_failure>;

/// Names a request until it ends.
using peer_request_id = strong<struct peer_request_id_tag, std::uint64_t>;

class peer_client {
public:
    using callback = std::function<void(peer_result)>;

    explicit peer_client(event_loop& loop);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends \p body to \p path at \p address. \p done is called once, later, unless the request is
    /// cancelled before.
    peer_request_id send(const endpoint& address, const std::string& path, frame body,
                         const callback& done);

    /// Gives a request up; its callback is not called any more.
    void cancel(peer_request_id id);

    std::size_t connections() const { return links_.size(); }

private:
    class link;
    using link_key = std::pair<std::string, std::uint16_t>;

    std::shared_ptr<link> link_to(const endpoint& address);
    void retire(const endpoint& address);
    void tend();
    void schedule_tending();

    event_loop& loop_;
    std::uint64_t next_ = 1;
    bool tending_ = false;
    std::map<link_key, std::shared_ptr<link>> links_;
    /// Connections that take no new requests but still have some open.
    std::vector<std::shared_ptr<link>> retired_;
    std::map<peer_request_id, std::weak_ptr<link>> requests_;
    std::shared_ptr<bool> alive_;
};

} // namespace fescuedyke

#endif
