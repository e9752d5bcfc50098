// Bodies of a connection that flow: each stream is let on as fast as its reader takes it.

#include "fescuedyke/transport/h2_connection.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

void h2_connection::begin_sending(std::int32_t stream, frame body)
{
    stream_state& s = streams_[stream];
    s.sending = std::move(body);
    if (s.sending.flow) {
        s.reading = s.sending.flow->rewind(later(&h2_connection::send_on, stream));
    }
    schedule_flush();
}

body_callback h2_connection::later(void (h2_connection::*step)(std::int32_t), std::int32_t stream)
{
    return [this, alive = std::weak_ptr<bool>(alive_), &loop = loop_, step, stream] {
        loop.post([this, alive, step, stream] {
            const std::shared_ptr<bool> still = alive.lock();
            if (still && *still && !closed_) {
                (this->*step)(stream);
            }
        });
    };
}

void h2_connection::send_on(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && std::exchange(found->second.waits, false)) {
        nghttp2_session_resume_data(session_, stream);
        schedule_flush();
    }
}

ssize_t h2_connection::read_flow(stream_state& s, std::uint8_t* buffer, std::size_t length,
                                 std::uint32_t* flags)
{
    body_reader& flow = *s.sending.flow;
    const std::size_t count = flow.read(s.reading, reinterpret_cast<char*>(buffer), length);
    switch (flow.state(s.reading)) {
    case body_state::complete:
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        break;
    case body_state::aborted:
        // The stream is reset, by which the other side learns that the rest will not come.
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    case body_state::open:
        s.waits = count == 0;
        break;
    }
    return s.waits ? ssize_t{NGHTTP2_ERR_DEFERRED} : static_cast<ssize_t>(count);
}

void h2_connection::take_data(std::int32_t stream, std::string_view data)
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && found->second.head_bytes && !found->second.refused) {
        take_flowing(stream, found->second, data);
        return;
    }
    nghttp2_session_consume(session_, stream, data.size());
    if (found != streams_.end() && !found->second.refused) {
        found->second.received.append(data);
    }
}

void h2_connection::take_flowing(std::int32_t stream, stream_state& state, std::string_view data)
{
    // A body that waits for its reader must not hold up other streams.
    nghttp2_session_consume_connection(session_, data.size());
    const std::size_t head = std::min(data.size(), *state.head_bytes - state.received.size());
    if (!state.incoming) {
        state.received.append(data.substr(0, head));
        nghttp2_session_consume_stream(session_, stream, head);
        if (state.received.size() == *state.head_bytes) {
            begin_flow(stream, state);
        }
    }
    const std::string_view rest = data.substr(state.incoming ? head : data.size());
    if (!rest.empty()) {
        state.incoming->write(rest);
        let_flow(stream);
    }
}

void h2_connection::begin_flow(std::int32_t stream, stream_state& state)
{
    state.incoming = std::make_unique<body_writer>(state.flow_bytes);
    state.incoming->set_change_callback(later(&h2_connection::let_flow, stream));
    // The head is kept, so that what comes next is known to be behind it.
    deliver(stream, state, {state.received, state.incoming->make_reader()});
}

void h2_connection::let_flow(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || !found->second.incoming) {
        return;
    }
    stream_state& s = found->second;
    const std::uint64_t taken = s.incoming->consumed_bytes();
    if (taken > s.consumed) {
        nghttp2_session_consume_stream(session_, stream,
                                       static_cast<std::size_t>(taken - s.consumed));
        s.consumed = taken;
        schedule_flush();
    }
    if (s.incoming->reader_gone()) {
        // An answered request needs the rest of its body no more, and an unwanted response none.
        if (side_ == side::client) {
            reset(stream, NGHTTP2_CANCEL);
        }
        else if (s.answered) {
            reset(stream, NGHTTP2_NO_ERROR);
        }
    }
}

int h2_connection::on_sent(nghttp2_session* session, const nghttp2_frame* frame, void* self)
{
    (void)session;
    h2_connection& c = *static_cast<h2_connection*>(self);
    const bool ends =
        frame->hd.type == NGHTTP2_DATA && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto found = ends ? c.streams_.find(frame->hd.stream_id) : c.streams_.end();
    if (found != c.streams_.end() && c.side_ == side::server) {
        found->second.answered = true;
        c.let_flow(frame->hd.stream_id);
    }
    return 0;
}

} // namespace fescuedyke
