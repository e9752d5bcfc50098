#ifndef FESCUEDYKE_TRANSPORT_TARGET_CLIENT_H
#define FESCUEDYKE_TRANSPORT_TARGET_CLIENT_H

#include "fescuedyke/node/actions.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/transport/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

/// \file
/// Requests to the target of a node over persistent connections.

namespace fescuedyke {

/// The target's response, or the reason why there is none.
using target_result = std::variant<http_response, target_failure>;

/// The failure of a connection to a target while a request was being sent.
struct failed_send {
    std::error_code error;
    /// Number of bytes received since the request was started.
    std::uint64_t received_bytes = 0;
};

/// Bytes of a target that are no response.
struct malformed_response {
    std::string error;
    /// Number of bytes received since the request was started.
    std::uint64_t received_bytes = 0;
};

/// A request to send to a target.
struct target_request {
    endpoint address;
    shared_request request;
    /// Headers added by the node.
    std::vector<header> extra_headers;
    /// Whether the request may be sent again if the persistent connection that carried it breaks.
    bool may_resend = false;
    /// Whether a long response may be delivered before its body is complete, as a streamed body.
    bool may_stream_response = false;
    /// Time until the deadline of the call. A streamed response body that lasts longer is
    /// truncated.
    std::optional<millis> time_left{};
    /// A header that the response must repeat unchanged. A response without it belongs to another
    /// request.
    std::optional<header> required_echo{};
    /// A header that the response must repeat unchanged if it has one of this name.
    std::optional<header> optional_echo{};
    /// Called when the request is sent again on a new connection; may be empty.
    std::function<void()> on_resent{};
    /// Called before the result of the request if its connection failed before it was sent whole;
    /// may be empty.
    std::function<void(const failed_send&)> on_failed_send{};
    /// Called before the result of the request if the target sent bytes that are no response, or
    /// when a body that was already delivered in part ends with such bytes; may be empty.
    std::function<void(const malformed_response&)> on_malformed_response{};
};

/// Sends requests to targets and reuses idle connections.
class target_client {
public:
    using callback = std::function<void(target_result)>;

    explicit target_client(event_loop& loop);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    /// Sends a request under the identifier \p id, which the calling code assigns. \p done is
    /// called once, unless the request is cancelled before. It may be called before send() returns
    /// if a reused connection turns out to be broken.
    void send(std::uint64_t id, const target_request& request, callback done);

    /// Cancels a request by closing its connection, by which the target learns of the cancellation.
    void cancel(std::uint64_t id);

    /// Closes all idle connections.
    void close_idle();

    /// Returns the number of connections opened so far.
    std::uint64_t connections_made() const { return connections_made_; }

private:
    class connection;

    std::shared_ptr<connection> take_idle(const target_request& request);
    void start(std::uint64_t id, const target_request& request, callback done,
               bool new_connection_only);
    /// Keeps a connection for reuse, and closes the idle connections that are past their deadline.
    void on_idle(const std::shared_ptr<connection>& c);
    void on_closed(const std::shared_ptr<connection>& c);
    void remove_busy(const std::shared_ptr<connection>& c);

    event_loop& loop_;
    std::uint64_t connections_made_ = 0;
    std::vector<std::shared_ptr<connection>> idle_;
    /// Connections by request, until the response was received and the request was sent completely.
    std::map<std::uint64_t, std::shared_ptr<connection>> busy_;
};

} // namespace fescuedyke

#endif
