#ifndef FESCUEDYKE_TRANSPORT_H2_CONNECTION_H
#define FESCUEDYKE_TRANSPORT_H2_CONNECTION_H

#include "fescuedyke/transport/event_loop.h"
#include "fescuedyke/transport/frame.h"
#include "fescuedyke/transport/socket.h"

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file
/// One HTTP/2 connection between two processes of the system, driven by an event loop.

namespace fescuedyke {

/// Why a request between processes got no response.
enum class stream_failure : std::uint8_t {
    /// The other side provably did not process the request.
    never_processed,
    /// The other side may have processed it.
    lost
};

/// What a connection tells its owner. No function may destroy the connection.
class h2_events {
public:
    virtual ~h2_events() = default;

    /// On the server's side: a whole request came in.
    virtual void on_request(std::int32_t stream, const std::string& path, std::string body) = 0;
    /// On the server's side: the client gave a request up, or its connection was lost.
    virtual void on_request_gone(std::int32_t stream) = 0;
    /// On the client's side: a whole response came in.
    virtual void on_response(std::int32_t stream, std::string body) = 0;
    /// On the client's side: a request will get no response.
    virtual void on_failure(std::int32_t stream, stream_failure failure) = 0;
    /// The connection is closed; nothing more will come from it.
    virtual void on_closed() = 0;
    /// On the server's side: whether a request of \p bytes may be taken in now.
    virtual bool may_take(std::uint64_t bytes) = 0;
};

class h2_connection {
public:
    enum class side : std::uint8_t { client, server };

    /// Takes over the connected or connecting socket \p fd.
    h2_connection(event_loop& loop, int fd, side which, h2_events& events);
    ~h2_connection();
    h2_connection(const h2_connection&) = delete;
    h2_connection& operator=(const h2_connection&) = delete;

    /// Sends a request; returns its stream, or a negative number when none can be opened any more.
    std::int32_t request(const std::string& path, frame body);
    /// Sends the response to a request.
    void respond(std::int32_t stream, frame body);
    /// Gives up a request that was sent, or refuses one that came in.
    void reset(std::int32_t stream, std::uint32_t error_code);
    /// Asks the other side for a sign of life.
    void ping();
    /// Closes at once; open requests fail.
    void abort() { close(); }
    /// Tells the other side that no new requests are taken.
    void shut_down();

    bool closed() const { return closed_; }
    bool connected() const { return connected_; }
    /// When bytes last came in; before that, when the connection began.
    instant last_heard() const { return last_heard_; }
    std::size_t open_streams() const { return streams_.size(); }

private:
    struct stream_state {
        std::string path;
        std::string received;
        frame sending;
        std::size_t sent = 0;
        bool complete = false;
        bool refused = false;
    };

    static ssize_t read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* self);
    static int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length, std::uint8_t flags,
                         void* self);
    static int on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t stream,
                       const std::uint8_t* data, std::size_t length, void* self);
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_stream_close(nghttp2_session* session, std::int32_t stream,
                               std::uint32_t error_code, void* self);

    void make_session();
    void on_ready(std::uint32_t events);
    bool read_socket();
    bool write_socket();
    void flush();
    void schedule_flush();
    void close();
    void fail_all();
    void finish(std::int32_t stream);
    void take_header(std::int32_t stream, const std::string& name, const std::string& value);
    nghttp2_data_provider provider();

    event_loop& loop_;
    int fd_;
    side side_;
    h2_events& events_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_state> streams_;
    std::string unsent_;
    std::size_t unsent_from_ = 0;
    instant last_heard_;
    bool connected_ = false;
    bool closed_ = false;
    bool flushing_ = false;
    bool writes_watched_ = true;
    std::shared_ptr<bool> alive_;
};

} // namespace fescuedyke

#endif
