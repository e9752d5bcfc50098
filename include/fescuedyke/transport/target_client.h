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
#include <variant>
#include <vector>

/// \file
/// Requests to the target beside a node, over kept connections.

namespace fescuedyke {

/// The target's whole answer, or why there is none.
using target_result = std::variant<http_answer, target_failure>;

/// What is sent to a target.
struct target_request {
    endpoint address;
    shared_request request;
    /// Headers that the node adds.
    std::vector<header> extra_headers;
    /// Whether the request may be sent again when a kept connection dies under it.
    bool may_resend = false;
    /// Whether a long answer may be delivered with its body still to come.
    bool may_stream_response = false;
    /// A header that the answer must bring back as it was sent; what does not is no answer to this
    /// request.
    std::optional<header> required_echo{};
};

class target_client {
public:
    using callback = std::function<void(target_result)>;

    explicit target_client(event_loop& loop);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    /// Sends a request named \p id; \p done is called once, make_loop_signal, unless the request is
    /// cancelled before.
    void send(std::uint64_t id, const target_request& request, callback done);

    /// Closes the request's connection, by which the target learns of the cancellation.
    void cancel(std::uint64_t id);

    /// Closes the connections that wait for requests.
    void close_idle();

    std::uint64_t connections_made() const { return connections_made_; }

private:
    class connection;

    std::shared_ptr<connection> take_idle(const target_request& request);
    void start(std::uint64_t id, const target_request& request, callback done,
               bool new_connection_only);
    void on_idle(const std::shared_ptr<connection>& c);
    void on_closed(const std::shared_ptr<connection>& c);

    event_loop& loop_;
    std::uint64_t connections_made_ = 0;
    std::vector<std::shared_ptr<connection>> idle_;
    std::map<std::uint64_t, std::shared_ptr<connection>> busy_;
};

} // namespace fescuedyke

#endif
