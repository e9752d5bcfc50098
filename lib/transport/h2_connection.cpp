#include "fescuedyke/transport/h2_connection.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace fescuedyke {

namespace {

constexpr std::uint32_t max_concurrent_streams = 20'000;

/// The stream window equals the part of a streamed body that can be rewound: until the receiver
/// reads the body, the sender cannot send more of it than it is able to resend.
constexpr std::int32_t stream_window_bytes = body_replay_bytes;
constexpr std::int32_t connection_window_bytes = 16 << 20;
constexpr std::size_t read_buffer_bytes = 64U << 10U;

/// Maximum number of reads before other work of the event loop is done.
constexpr int max_reads_per_event = 2;

/// Maximum number of reads after which received requests are passed on although more bytes have
/// arrived. Together they read as much as the receive buffer of a socket holds at most by default.
constexpr int max_reads_before_delivery = 96;

constexpr std::uint32_t read_events = EPOLLIN | EPOLLRDHUP;

/// No more bytes are taken from the nghttp2 session while this many bytes or more are unsent.
constexpr std::size_t max_output_bytes = 256U << 10U;

/// Maximum time for which sent data may stay unacknowledged before the connection is closed. This
/// detects network partitions that drop packets without an error.
constexpr millis peer_ack_timeout{3000};

nghttp2_nv make_nv(const char* name, const std::string& value)
{
    nghttp2_nv nv{};
    nv.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name));
    nv.namelen = std::strlen(name);
    nv.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    nv.valuelen = value.size();
    return nv;
}

/// Header with the number of bytes that precede a streamed body.
constexpr const char* stream_offset_header = "fescue-flow-after";

std::size_t parse_number(const std::string& value)
{
    std::size_t number = 0;
    return absl::SimpleAtoi(value, &number) ? number : 0;
}

/// Appends the headers that describe the body of \p message. \p prefix_length and \p length store
/// the header values and must outlive \p headers.
void add_body_headers(std::vector<nghttp2_nv>& headers, const h2_outgoing_message& message,
                      std::string& prefix_length, std::string& length)
{
    const std::uint64_t streamed_bytes =
        message.body_stream ? message.body_stream->length().value_or(0) : 0;
    prefix_length = std::to_string(message.size());
    length = std::to_string(message.size() + streamed_bytes);
    if (message.body_stream) {
        headers.push_back(make_nv(stream_offset_header, prefix_length));
    }
    if (!message.body_stream || message.body_stream->length()) {
        headers.push_back(make_nv("content-length", length));
    }
}

h2_connection* connection_of(void* self)
{
    return static_cast<h2_connection*>(self);
}

} // namespace

h2_connection::h2_connection(event_loop& loop, int fd, role local_role, h2_event_handler& events)
    : loop_(loop), fd_(fd), role_(local_role), events_(events), last_received_(loop.now().now),
      alive_(std::make_shared<bool>(true))
{
    set_socket_options(fd, peer_ack_timeout);
    make_session();
    loop_.watch(fd_, read_events | EPOLLOUT,
                [this](std::uint32_t ready) { on_socket_ready(ready); });
}

h2_connection::~h2_connection()
{
    *alive_ = false;
    if (fd_ >= 0) {
        loop_.unwatch(fd_);
        ::close(fd_);
    }
    nghttp2_session_del(session_);
}

void h2_connection::make_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, on_frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_close);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    // The window of a stream is reopened only as its reader consumes the streamed body.
    nghttp2_option_set_no_auto_window_update(options, 1);
    if (role_ == role::client) {
        nghttp2_session_client_new2(&session_, callbacks, this, options);
    }
    else {
        nghttp2_session_server_new2(&session_, callbacks, this, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

nghttp2_data_provider h2_connection::make_data_provider()
{
    nghttp2_data_provider p{};
    p.source.ptr = this;
    p.read_callback = read_body;
    return p;
}

std::int32_t h2_connection::request(const std::string& path, h2_outgoing_message message)
{
    if (closed_) {
        return -1;
    }
    const std::string post = "POST";
    const std::string scheme = "http";
    const std::string authority = "node";
    std::string prefix_length;
    std::string length;
    std::vector<nghttp2_nv> headers = {make_nv(":method", post), make_nv(":scheme", scheme),
                                       make_nv(":authority", authority), make_nv(":path", path)};
    add_body_headers(headers, message, prefix_length, length);
    const nghttp2_data_provider p = make_data_provider();
    const std::int32_t stream =
        nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &p, nullptr);
    if (stream < 0) {
        return -1;
    }
    begin_sending(stream, std::move(message));
    return stream;
}

void h2_connection::respond(std::int32_t stream, h2_outgoing_message message)
{
    const auto found = streams_.find(stream);
    if (closed_ || found == streams_.end()) {
        return;
    }
    const std::string ok = "200";
    std::string prefix_length;
    std::string length;
    std::vector<nghttp2_nv> headers = {make_nv(":status", ok)};
    add_body_headers(headers, message, prefix_length, length);
    const nghttp2_data_provider p = make_data_provider();
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(), &p);
    begin_sending(stream, std::move(message));
}

void h2_connection::reset(std::int32_t stream, std::uint32_t error_code)
{
    if (!closed_) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error_code);
        schedule_flush();
    }
}

void h2_connection::ping()
{
    if (!closed_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
}

void h2_connection::shut_down()
{
    if (!closed_) {
        shutting_down_ = true;
        const std::int32_t last = nghttp2_session_get_last_proc_stream_id(session_);
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
        schedule_flush();
    }
}

int h2_connection::on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame,
                                    void* self)
{
    (void)session;
    const bool is_request =
        frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (is_request) {
        connection_of(self)->streams_[frame->hd.stream_id];
    }
    return 0;
}

int h2_connection::on_header(nghttp2_session* session, const nghttp2_frame* frame,
                             const std::uint8_t* name, std::size_t name_length,
                             const std::uint8_t* value, std::size_t value_length,
                             std::uint8_t flags, void* self)
{
    (void)session;
    (void)flags;
    connection_of(self)->handle_header(frame->hd.stream_id,
                                       {reinterpret_cast<const char*>(name), name_length},
                                       {reinterpret_cast<const char*>(value), value_length});
    return 0;
}

void h2_connection::handle_header(std::int32_t stream, const std::string& name,
                                  const std::string& value)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return;
    }
    if (name == ":path") {
        found->second.path = value;
    }
    stream_state& s = found->second;
    const bool is_offset_header = name == stream_offset_header;
    if (is_offset_header) {
        s.prefix_bytes = parse_number(value);
    }
    const bool is_content_length = name == "content-length";
    // The header of a streamed body is sent before content-length, which then includes bytes that
    // are not buffered.
    if (is_content_length && s.prefix_bytes) {
        s.streamed_bytes = parse_number(value) - std::min(parse_number(value), *s.prefix_bytes);
        return;
    }
    if (!is_offset_header && !is_content_length) {
        return;
    }
    const std::size_t bytes = is_offset_header ? body_stream_capacity_bytes : parse_number(value);
    if (role_ == role::server && !events_.may_accept(bytes)) {
        s.refused = true;
        reset(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (!is_offset_header) {
        s.received.reserve(std::min<std::size_t>(bytes, stream_window_bytes));
    }
}

int h2_connection::on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t stream,
                           const std::uint8_t* data, std::size_t length, void* self)
{
    (void)session;
    (void)flags;
    connection_of(self)->handle_data(stream, {reinterpret_cast<const char*>(data), length});
    return 0;
}

int h2_connection::on_frame_received(nghttp2_session* session, const nghttp2_frame* frame,
                                     void* self)
{
    (void)session;
    const bool carries_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        connection_of(self)->finish_receiving(frame->hd.stream_id);
    }
    return 0;
}

int h2_connection::on_stream_close(nghttp2_session* session, std::int32_t stream,
                                   std::uint32_t error_code, void* self)
{
    (void)session;
    h2_connection& c = *connection_of(self);
    const auto found = c.streams_.find(stream);
    if (found == c.streams_.end()) {
        return 0;
    }
    stream_state state = std::move(found->second);
    c.streams_.erase(found);
    if (c.role_ == role::server) {
        c.end_request(stream, state, error_code != NGHTTP2_NO_ERROR);
        return 0;
    }
    if (!state.delivered) {
        // nghttp2 also closes the streams above the last stream of a GOAWAY with REFUSED_STREAM.
        const bool refused = error_code == NGHTTP2_REFUSED_STREAM;
        c.events_.on_failure(stream,
                             refused ? stream_failure::never_processed : stream_failure::lost);
    }
    return 0;
}

void h2_connection::on_socket_ready(std::uint32_t events)
{
    if ((events & (EPOLLERR | EPOLLHUP)) != 0 && !connected_) {
        close();
        return;
    }
    connected_ = true;
    peer_gone_ = peer_gone_ || (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
    if ((events & EPOLLIN) != 0 && !read_socket()) {
        close();
        return;
    }
    flush();
}

bool h2_connection::read_socket()
{
    std::vector<std::uint8_t> buffer(read_buffer_bytes);
    // The loop reports the rest again after the events of other sockets.
    bool all_read = false;
    for (int i = 0; i < max_reads_per_event && !all_read; ++i) {
        const ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
            return false;
        }
        // A read that returns less than the buffer holds opens the receive window, so that the
        // kernel delivers what the sender had to keep back.
        all_read = got < 0;
        if (all_read) {
            break;
        }
        last_received_ = loop_.now().now;
        ++reads_before_delivery_;
        const auto count = static_cast<std::size_t>(got);
        if (nghttp2_session_mem_recv(session_, buffer.data(), count) < 0) {
            return false;
        }
    }
    if (!all_read && reads_before_delivery_ < max_reads_before_delivery) {
        schedule_read();
        return true;
    }
    // Nobody waits for the requests of a peer that is gone; its remaining frames are read.
    if (!peer_gone_) {
        deliver_requests();
    }
    return !closed_;
}

void h2_connection::schedule_read()
{
    if (received_requests_.empty() || std::exchange(read_scheduled_, true)) {
        return;
    }
    loop_.post([this, alive = alive_] {
        if (!*alive) {
            return;
        }
        read_scheduled_ = false;
        if (!closed_ && !read_socket()) {
            close();
        }
    });
}

bool h2_connection::write_socket()
{
    for (;;) {
        while (output_.size() - output_offset_ < max_output_bytes) {
            const std::uint8_t* data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(session_, &data);
            if (length < 0) {
                return false;
            }
            if (length == 0) {
                break;
            }
            output_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
        }
        if (output_offset_ == output_.size()) {
            output_.clear();
            output_offset_ = 0;
            return true;
        }
        const ssize_t sent = ::send(fd_, output_.data() + output_offset_,
                                    output_.size() - output_offset_, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        output_offset_ += static_cast<std::size_t>(sent);
        if (output_offset_ == output_.size()) {
            output_.clear();
            output_offset_ = 0;
        }
    }
}

void h2_connection::flush()
{
    if (closed_ || !connected_) {
        return;
    }
    if (!write_socket()) {
        close();
        return;
    }
    const bool done = nghttp2_session_want_read(session_) == 0 &&
                      nghttp2_session_want_write(session_) == 0 && output_.empty();
    if (done && !shutting_down_) {
        close();
        return;
    }
    const bool needs_write = !output_.empty();
    if (needs_write != write_watched_) {
        write_watched_ = needs_write;
        loop_.update_watch(fd_, needs_write ? read_events | EPOLLOUT : read_events);
    }
}

void h2_connection::schedule_flush()
{
    if (flush_scheduled_) {
        return;
    }
    flush_scheduled_ = true;
    // Posting the flush sends all frames of one loop iteration together. It is also required
    // because nghttp2 callbacks must not send.
    loop_.post([this, alive = alive_] {
        if (*alive) {
            flush_scheduled_ = false;
            flush();
        }
    });
}

void h2_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
    fail_open_streams();
    events_.on_closed();
}

void h2_connection::fail_open_streams()
{
    std::map<std::int32_t, stream_state> open;
    open.swap(streams_);
    for (auto& [stream, state] : open) {
        if (role_ == role::server) {
            end_request(stream, state, true);
            continue;
        }
        if (!state.delivered) {
            // The peer cannot have processed a request if the connection was never established.
            events_.on_failure(stream,
                               connected_ ? stream_failure::lost : stream_failure::never_processed);
        }
    }
}

} // namespace fescuedyke
