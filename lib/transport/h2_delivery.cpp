#include "fescuedyke/transport/h2_connection.h"

#include <utility>

/// \file
/// The delivery of received requests and responses of an HTTP/2 session.

namespace fescuedyke {

void h2_connection::finish_receiving(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.refused) {
        return;
    }
    stream_state& s = found->second;
    if (s.incoming_body) {
        s.incoming_body->finish();
        return;
    }
    if (!s.complete) {
        deliver(stream, s, {std::move(s.received)});
    }
}

void h2_connection::deliver(std::int32_t stream, stream_state& state, h2_message message)
{
    state.complete = true;
    if (role_ == role::server) {
        state.waiting = std::move(message);
        received_requests_.push_back(stream);
        return;
    }
    state.delivered = true;
    events_.on_response(stream, std::move(message));
}

void h2_connection::deliver_requests()
{
    reads_before_delivery_ = 0;
    while (!received_requests_.empty() && !closed_) {
        const std::int32_t stream = received_requests_.front();
        received_requests_.pop_front();
        const auto found = streams_.find(stream);
        if (found != streams_.end()) {
            deliver_request(stream, found->second);
        }
    }
}

void h2_connection::deliver_request(std::int32_t stream, stream_state& state)
{
    if (state.waiting) {
        state.delivered = true;
        const h2_message message = std::move(*std::exchange(state.waiting, std::nullopt));
        events_.on_request(stream, state.path, message);
    }
}

void h2_connection::end_request(std::int32_t stream, stream_state& state, bool cancelled)
{
    if (!events_.needs_caller(state.path)) {
        deliver_request(stream, state);
    }
    if (state.delivered && cancelled) {
        events_.on_request_cancelled(stream);
    }
}

} // namespace fescuedyke
