#ifndef FESCUEDYKE_TRANSPORT_H2_CONNECTION_H
#define FESCUEDYKE_TRANSPORT_H2_CONNECTION_H

#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/h2_outgoing_message.h"
#include "fescuedyke/transport/socket.h"

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// An HTTP/2 connection between two processes of the system, driven by an event loop.

namespace fescuedyke {

/// Why a request to another process got no response.
enum class stream_failure : std::uint8_t {
    /// The peer is known not to have processed the request, so that it can be sent again.
    never_processed,
    /// The peer may have processed the request.
    lost
};

/// A request or response that was received.
struct h2_message {
    /// The whole message, or the part of it before the streamed body.
    std::string bytes;
    /// The rest of the message while it is still being received, if its body is streamed.
    std::shared_ptr<body_reader> body_stream{};
};

/// Receives the events of a connection. No handler may destroy the connection.
class h2_event_handler {
public:
    virtual ~h2_event_handler() = default;

    /// Server only: a request was received, either whole or up to its streamed body.
    virtual void on_request(std::int32_t stream, const std::string& path, h2_message message) = 0;
    /// Server only: the peer cancelled a request, or the connection was lost.
    virtual void on_request_cancelled(std::int32_t stream) = 0;
    /// Client only: a response was received, either whole or up to its streamed body.
    virtual void on_response(std::int32_t stream, h2_message message) = 0;
    /// Client only: a request will get no response.
    virtual void on_failure(std::int32_t stream, stream_failure failure) = 0;
    /// The connection was closed. No further event follows.
    virtual void on_closed() = 0;
    /// Server only: returns whether a request of \p bytes may be buffered now.
    virtual bool may_accept(std::uint64_t bytes) = 0;
    /// Server only: returns whether a request to \p path is pointless if its sender has cancelled
    /// it or is gone before it was passed on.
    virtual bool needs_caller(const std::string& path) = 0;
};

/// An HTTP/2 session over one TCP socket, either as client or as server.
class h2_connection {
public:
    enum class role : std::uint8_t { client, server };

    /// Takes ownership of the connected or connecting socket \p fd.
    h2_connection(event_loop& loop, int fd, role local_role, h2_event_handler& events);
    ~h2_connection();
    h2_connection(const h2_connection&) = delete;
    h2_connection& operator=(const h2_connection&) = delete;

    /// Sends a request. Returns its stream, or a negative number if no stream can be opened any
    /// more.
    std::int32_t request(const std::string& path, h2_outgoing_message message);
    /// Sends the response to a request.
    void respond(std::int32_t stream, h2_outgoing_message message);
    /// Cancels a request that was sent, or refuses one that was received, with RST_STREAM.
    void reset(std::int32_t stream, std::uint32_t error_code);
    /// Sends a PING frame, which the peer must acknowledge.
    void ping();
    /// Closes the connection at once; open requests fail.
    void abort() { close(); }
    /// Tells the peer with GOAWAY that no new requests are accepted. The peer closes the connection
    /// after its last response: if this side closed it, later bytes of the peer would reset it, and
    /// responses on their way could be lost.
    void shut_down();

    bool closed() const { return closed_; }
    bool connected() const { return connected_; }
    /// Returns the time at which bytes were last received; before the first ones, the time at which
    /// the connection was created.
    instant last_received() const { return last_received_; }
    std::size_t open_streams() const { return streams_.size(); }
    /// Returns whether bytes taken from open streams wait to be sent.
    bool has_unsent_bytes() const { return output_offset_ < output_.size(); }
    /// Returns the size in bytes of the memory that is held for sending.
    std::size_t output_memory() const { return output_.capacity(); }

private:
    struct stream_state {
        std::string path;
        std::string received;
        h2_outgoing_message sending;
        /// Number of bytes of \c sending that were sent, without the streamed body.
        std::size_t sent = 0;
        /// Number of the pass over the streamed body that is being sent; see body_reader::rewind().
        std::uint64_t pass = 0;
        /// Whether sending is deferred until the streamed body has more bytes.
        bool deferred = false;
        /// Number of bytes received before the streamed body; empty if the body is not streamed.
        std::optional<std::size_t> prefix_bytes;
        /// Length of the received streamed body, if it was declared.
        std::optional<std::uint64_t> streamed_bytes;
        std::unique_ptr<body_writer> incoming_body;
        /// Bytes of the received streamed body for which the flow-control window was reopened.
        std::uint64_t released_window_bytes = 0;
        /// Whether the request or response was received, up to its streamed body.
        bool complete = false;
        /// The received request until it is passed on.
        std::optional<h2_message> waiting;
        /// Whether the request or response was passed to the event handler.
        bool delivered = false;
        bool refused = false;
        bool response_sent = false;
    };

    static ssize_t read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* self);
    static ssize_t read_streamed_body(stream_state& s, std::uint8_t* buffer, std::size_t length,
                                      std::uint32_t* flags);
    static int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length, std::uint8_t flags,
                         void* self);
    static int on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t stream,
                       const std::uint8_t* data, std::size_t length, void* self);
    static int on_frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_frame_sent(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_stream_close(nghttp2_session* session, std::int32_t stream,
                               std::uint32_t error_code, void* self);

    void make_session();
    void on_socket_ready(std::uint32_t events);
    bool read_socket();
    /// Posts a further read to the loop if received requests wait for it.
    void schedule_read();
    bool write_socket();
    void flush();
    void schedule_flush();
    void close();
    void fail_open_streams();
    void finish_receiving(std::int32_t stream);
    void handle_header(std::int32_t stream, const std::string& name, const std::string& value);
    void handle_data(std::int32_t stream, std::string_view data);
    void handle_streamed_data(std::int32_t stream, stream_state& state, std::string_view data);
    void begin_streaming(std::int32_t stream, stream_state& state);
    void update_stream_window(std::int32_t stream);
    void resume_sending(std::int32_t stream);
    void deliver(std::int32_t stream, stream_state& state, h2_message message);
    /// Passes on the requests that were received and not cancelled since.
    void deliver_requests();
    /// Passes on the request of a stream if it waits for that.
    void deliver_request(std::int32_t stream, stream_state& state);
    /// Handles the end of the stream of a request, which its sender cancelled or which was
    /// answered.
    void end_request(std::int32_t stream, stream_state& state, bool cancelled);
    void begin_sending(std::int32_t stream, h2_outgoing_message message);
    /// Returns a callback that posts a call of \p step with \p stream to the loop. The call is
    /// dropped once the connection is closed or destroyed.
    body_callback make_loop_callback(void (h2_connection::*step)(std::int32_t),
                                     std::int32_t stream);
    nghttp2_data_provider make_data_provider();

    event_loop& loop_;
    int fd_;
    role role_;
    h2_event_handler& events_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_state> streams_;
    /// Server only: the streams of received requests that are not passed on before the bytes behind
    /// them are read, which may cancel them.
    std::deque<std::int32_t> received_requests_;
    /// Reads since requests were last passed on.
    int reads_before_delivery_ = 0;
    /// Bytes taken from the nghttp2 session; those before \c output_offset_ have been sent.
    std::string output_;
    std::size_t output_offset_ = 0;
    instant last_received_;
    bool connected_ = false;
    /// Whether the end of the connection has arrived, although bytes before it may be unread.
    bool peer_gone_ = false;
    bool read_scheduled_ = false;
    bool closed_ = false;
    bool flush_scheduled_ = false;
    /// Whether shut_down() was called.
    bool shutting_down_ = false;
    /// Whether EPOLLOUT is watched.
    bool write_watched_ = true;
    /// Set to false on destruction; posted tasks check it.
    std::shared_ptr<bool> alive_;
};

} // namespace fescuedyke

#endif
