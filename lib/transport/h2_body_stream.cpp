// Bodies of an HTTP/2 connection. The flow-control window of a stream with a streamed body is
// reopened as its reader consumes the body.

#include "fescuedyke/transport/h2_connection.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Largest accepted message, or largest accepted part of it before a streamed body, in bytes.
constexpr std::size_t max_message_bytes = 64U << 20U;

} // namespace

void h2_connection::begin_sending(std::int32_t stream, h2_outgoing_message message)
{
    stream_state& s = streams_[stream];
    s.sending = std::move(message);
    if (s.sending.body_stream) {
        s.pass = s.sending.body_stream->rewind(
            make_loop_callback(&h2_connection::resume_sending, stream));
    }
    schedule_flush();
}

body_callback h2_connection::make_loop_callback(void (h2_connection::*step)(std::int32_t),
                                                std::int32_t stream)
{
    return [this, alive = std::weak_ptr<bool>(alive_), &loop = loop_, step, stream] {
        loop.post([this, alive, step, stream] {
            const std::shared_ptr<bool> still_alive = alive.lock();
            if (still_alive && *still_alive && !closed_) {
                (this->*step)(stream);
            }
        });
    };
}

void h2_connection::resume_sending(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && std::exchange(found->second.deferred, false)) {
        nghttp2_session_resume_data(session_, stream);
        schedule_flush();
    }
}

ssize_t h2_connection::read_body(nghttp2_session* session, std::int32_t stream,
                                 std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
                                 nghttp2_data_source* source, void* self)
{
    (void)session;
    (void)source;
    auto& streams = static_cast<h2_connection*>(self)->streams_;
    const auto found = streams.find(stream);
    if (found == streams.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    stream_state& s = found->second;
    const std::size_t total = s.sending.size();
    if (s.sent == total && s.sending.body_stream) {
        return read_streamed_body(s, buffer, length, flags);
    }
    const std::size_t head = s.sending.head.size();
    const bool in_head = s.sent < head;
    const std::string& part = in_head || !s.sending.body ? s.sending.head : *s.sending.body;
    const std::size_t from = in_head ? s.sent : s.sent - head;
    const std::size_t count = std::min(length, s.sent < total ? part.size() - from : 0);
    std::copy_n(part.data() + from, count, buffer);
    s.sent += count;
    if (s.sent == total && !s.sending.body_stream) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

ssize_t h2_connection::read_streamed_body(stream_state& s, std::uint8_t* buffer, std::size_t length,
                                          std::uint32_t* flags)
{
    body_reader& body = *s.sending.body_stream;
    const std::size_t count = body.read(s.pass, reinterpret_cast<char*>(buffer), length);
    switch (body.state(s.pass)) {
    case body_state::complete:
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        break;
    case body_state::aborted:
        // nghttp2 resets the stream, which tells the peer that the body is incomplete.
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    case body_state::open:
        s.deferred = count == 0;
        break;
    }
    return s.deferred ? ssize_t{NGHTTP2_ERR_DEFERRED} : static_cast<ssize_t>(count);
}

void h2_connection::handle_data(std::int32_t stream, std::string_view data)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.refused) {
        nghttp2_session_consume(session_, stream, data.size());
        return;
    }
    stream_state& s = found->second;
    if (!s.incoming_body && s.received.size() + data.size() > max_message_bytes) {
        s.refused = true;
        s.received = std::string();
        nghttp2_session_consume(session_, stream, data.size());
        reset(stream, NGHTTP2_CANCEL);
        return;
    }
    if (s.prefix_bytes) {
        handle_streamed_data(stream, s, data);
        return;
    }
    nghttp2_session_consume(session_, stream, data.size());
    s.received.append(data);
}

void h2_connection::handle_streamed_data(std::int32_t stream, stream_state& state,
                                         std::string_view data)
{
    // The connection window is reopened at once, so that a body that waits for its reader does not
    // block other streams.
    nghttp2_session_consume_connection(session_, data.size());
    const std::size_t head = std::min(data.size(), *state.prefix_bytes - state.received.size());
    if (!state.incoming_body) {
        state.received.append(data.substr(0, head));
        nghttp2_session_consume_stream(session_, stream, head);
        if (state.received.size() == *state.prefix_bytes) {
            begin_streaming(stream, state);
        }
    }
    const std::string_view rest = data.substr(state.incoming_body ? head : data.size());
    if (!rest.empty()) {
        state.incoming_body->write(rest);
        update_stream_window(stream);
    }
}

void h2_connection::begin_streaming(std::int32_t stream, stream_state& state)
{
    state.incoming_body = std::make_unique<body_writer>(state.streamed_bytes);
    state.incoming_body->set_change_callback(
        make_loop_callback(&h2_connection::update_stream_window, stream));
    // The prefix is copied, not moved: its size shows that all further data belongs to the body.
    deliver(stream, state, {state.received, state.incoming_body->make_reader()});
}

void h2_connection::update_stream_window(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || !found->second.incoming_body) {
        return;
    }
    stream_state& s = found->second;
    const std::uint64_t consumed_bytes = s.incoming_body->consumed_bytes();
    if (consumed_bytes > s.released_window_bytes) {
        nghttp2_session_consume_stream(
            session_, stream, static_cast<std::size_t>(consumed_bytes - s.released_window_bytes));
        s.released_window_bytes = consumed_bytes;
        schedule_flush();
    }
    if (s.incoming_body->reader_gone()) {
        // Once a response has been sent, the rest of the request body is not needed; a response
        // that nobody reads is not needed at all.
        if (role_ == role::client) {
            reset(stream, NGHTTP2_CANCEL);
        }
        else if (s.response_sent) {
            reset(stream, NGHTTP2_NO_ERROR);
        }
    }
}

int h2_connection::on_frame_sent(nghttp2_session* session, const nghttp2_frame* frame, void* self)
{
    (void)session;
    h2_connection& c = *static_cast<h2_connection*>(self);
    const bool ends =
        frame->hd.type == NGHTTP2_DATA && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto found = ends ? c.streams_.find(frame->hd.stream_id) : c.streams_.end();
    if (found != c.streams_.end() && c.role_ == role::server) {
        found->second.response_sent = true;
        c.update_stream_window(frame->hd.stream_id);
    }
    return 0;
}

} // namespace fescuedyke
