#include "fescuedyke/transport/peer_server.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

/// A connection from one peer.
class peer_server::session final : public h2_event_handler {
public:
    session(peer_server& server, std::uint64_t id, int fd)
        : server_(server), id_(id),
          connection_(server.loop_, fd, h2_connection::role::server, *this)
    {
    }

    h2_connection& connection() { return connection_; }

    void on_request(std::int32_t stream, const std::string& path, h2_message message) override
    {
        const peer_stream_id id(server_.next_stream_++);
        server_.open_requests_[id] = {id_, stream};
        id_by_stream_[stream] = id;
        server_.handlers_.on_request(id, path, std::move(message));
    }
    void on_request_cancelled(std::int32_t stream) override
    {
        const auto found = id_by_stream_.find(stream);
        if (found == id_by_stream_.end()) {
            return;
        }
        const peer_stream_id id = found->second;
        id_by_stream_.erase(found);
        if (server_.open_requests_.erase(id) > 0) {
            server_.handlers_.on_cancelled(id);
        }
    }
    void on_response(std::int32_t, h2_message) override {}
    void on_failure(std::int32_t, stream_failure) override {}
    void on_closed() override { server_.remove_session(id_); }
    bool may_accept(std::uint64_t bytes) override { return server_.handlers_.may_accept(bytes); }
    bool needs_caller(const std::string& path) override
    {
        return server_.handlers_.needs_caller && server_.handlers_.needs_caller(path);
    }

    void remove_stream(std::int32_t stream) { id_by_stream_.erase(stream); }

private:
    peer_server& server_;
    std::uint64_t id_;
    std::map<std::int32_t, peer_stream_id> id_by_stream_;
    h2_connection connection_;
};

peer_server::peer_server(event_loop& loop, handlers callbacks)
    : loop_(loop), handlers_(std::move(callbacks))
{
}

peer_server::~peer_server() = default;

absl::Status peer_server::listen(const endpoint& address)
{
    return listener_.listen(address);
}

void peer_server::add_connection(int fd)
{
    const std::uint64_t id = next_session_++;
    sessions_[id] = std::make_shared<session>(*this, id, fd);
}

void peer_server::remove_session(std::uint64_t id)
{
    const auto found = sessions_.find(id);
    if (found != sessions_.end()) {
        // Member functions of the session may still be on the stack, so it is destroyed later.
        loop_.post([old = std::move(found->second)] {});
        sessions_.erase(found);
    }
}

void peer_server::respond(peer_stream_id id, h2_outgoing_message message)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end()) {
        return;
    }
    const stream_location location = found->second;
    open_requests_.erase(found);
    const auto s = sessions_.find(location.session);
    if (s != sessions_.end()) {
        s->second->remove_stream(location.stream);
        s->second->connection().respond(location.stream, std::move(message));
    }
}

std::size_t peer_server::open_streams() const
{
    std::size_t count = 0;
    for (const auto& [id, s] : sessions_) {
        count += s->connection().open_streams();
    }
    return count;
}

std::size_t peer_server::connections_with_unsent_bytes() const
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& entry) {
            return entry.second->connection().has_unsent_bytes();
        }));
}

std::size_t peer_server::output_memory() const
{
    std::size_t bytes = 0;
    for (const auto& [id, s] : sessions_) {
        bytes += s->connection().output_memory();
    }
    return bytes;
}

void peer_server::shut_down()
{
    listener_.stop();
    for (const auto& [id, s] : sessions_) {
        s->connection().shut_down();
    }
}

} // namespace fescuedyke
