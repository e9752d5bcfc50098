#include "fescuedyke/transport/peer_client.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Time between two liveness checks of connections with open requests.
constexpr millis liveness_check_period{200};

/// Maximum time to establish a connection.
constexpr millis connect_timeout{700};

/// Time without received bytes on a connection with open requests after which a PING is sent, and
/// after which the connection is closed.
constexpr millis ping_after_silence{800};
constexpr millis close_after_silence{2200};

} // namespace

/// A connection to one process, with its open requests.
class peer_client::connection final : public h2_event_handler {
public:
    connection(event_loop& loop, int fd) : connection_(loop, fd, h2_connection::role::client, *this)
    {
    }

    bool send(peer_request_id id, const std::string& path, h2_outgoing_message message,
              callback done, instant now)
    {
        busy_since_ = idle() ? now : busy_since_;
        const std::int32_t stream = connection_.request(path, std::move(message));
        if (stream < 0) {
            return false;
        }
        open_requests_[stream] = {id, std::move(done)};
        stream_by_request_[id] = stream;
        return true;
    }

    void cancel(peer_request_id id)
    {
        const auto found = stream_by_request_.find(id);
        if (found != stream_by_request_.end()) {
            const std::int32_t stream = found->second;
            open_requests_.erase(stream);
            stream_by_request_.erase(found);
            connection_.reset(stream, NGHTTP2_CANCEL);
        }
    }

    bool closed() const { return connection_.closed(); }
    /// Returns whether no stream is open. A streamed body may keep a stream open after its request
    /// has ended.
    bool idle() const { return connection_.open_streams() == 0; }

    void check_liveness(instant now)
    {
        if (idle() || connection_.closed()) {
            ping_sent_ = false;
            return;
        }
        // The silence counts only from the time at which the connection became busy, because an
        // idle connection receives nothing.
        const instant since = std::max(connection_.last_received(), busy_since_);
        const millis silent = now - since;
        if (!connection_.connected() ? silent > connect_timeout : silent > close_after_silence) {
            connection_.abort();
            return;
        }
        const bool ping_due = connection_.connected() && silent > ping_after_silence;
        if (ping_due && !ping_sent_) {
            connection_.ping();
        }
        ping_sent_ = ping_due;
    }

    void on_request(std::int32_t, const std::string&, h2_message) override {}
    void on_request_cancelled(std::int32_t) override {}
    bool may_accept(std::uint64_t) override { return false; }
    bool needs_caller(const std::string&) override { return true; }
    void on_closed() override {}

    void on_response(std::int32_t stream, h2_message message) override
    {
        finish_request(stream, peer_result(std::move(message)));
    }
    void on_failure(std::int32_t stream, stream_failure failure) override
    {
        finish_request(stream, peer_result(failure));
    }

private:
    struct open_request {
        peer_request_id id;
        callback done;
    };

    void finish_request(std::int32_t stream, peer_result result)
    {
        const auto found = open_requests_.find(stream);
        if (found == open_requests_.end()) {
            return;
        }
        const open_request request = std::move(found->second);
        open_requests_.erase(found);
        stream_by_request_.erase(request.id);
        request.done(std::move(result));
    }

    std::map<std::int32_t, open_request> open_requests_;
    std::map<peer_request_id, std::int32_t> stream_by_request_;
    instant busy_since_;
    bool ping_sent_ = false;
    h2_connection connection_;
};

peer_client::peer_client(event_loop& loop) : loop_(loop), alive_(std::make_shared<bool>(true)) {}

peer_client::~peer_client()
{
    *alive_ = false;
}

std::shared_ptr<peer_client::connection> peer_client::connection_to(const endpoint& address)
{
    std::shared_ptr<connection>& current = connections_[{address.host, address.port}];
    if (current && current->closed()) {
        // Callbacks of the closed connection may still be on the stack, so it is destroyed later.
        loop_.post([old = std::move(current)] {});
        current = nullptr;
    }
    const int fd = current ? -1 : start_connect(address);
    if (fd >= 0) {
        current = std::make_shared<connection>(loop_, fd);
    }
    return current;
}

void peer_client::start_draining(const endpoint& address)
{
    const auto found = connections_.find({address.host, address.port});
    if (found != connections_.end()) {
        draining_.push_back(std::move(found->second));
        connections_.erase(found);
    }
    draining_.erase(std::remove_if(draining_.begin(), draining_.end(),
                                   [](const auto& c) { return c->closed(); }),
                    draining_.end());
}

peer_request_id peer_client::send(const endpoint& address, const std::string& path,
                                  h2_outgoing_message message, const callback& done)
{
    const peer_request_id id(next_request_++);
    const auto wrapped_done = [this, alive = alive_, id, done](peer_result result) {
        if (*alive) {
            connection_by_request_.erase(id);
        }
        done(std::move(result));
    };
    std::shared_ptr<connection> current = connection_to(address);
    const instant now = loop_.now().now;
    if (current && !current->send(id, path, message, wrapped_done, now)) {
        // The peer is shutting down: requests that are open on the connection continue, and new
        // requests use another connection.
        start_draining(address);
        current = connection_to(address);
        const bool sent = current && current->send(id, path, std::move(message), wrapped_done, now);
        current = sent ? current : nullptr;
    }
    if (current) {
        connection_by_request_[id] = current;
        schedule_liveness_check();
        return id;
    }
    loop_.post([wrapped_done] { wrapped_done(peer_result(stream_failure::never_processed)); });
    return id;
}

void peer_client::schedule_liveness_check()
{
    if (liveness_check_scheduled_) {
        return;
    }
    liveness_check_scheduled_ = true;
    loop_.run_after(liveness_check_period, [this, alive = alive_] {
        if (*alive) {
            liveness_check_scheduled_ = false;
            check_liveness();
        }
    });
}

void peer_client::check_liveness()
{
    const instant now = loop_.now().now;
    std::vector<std::shared_ptr<connection>> all_connections = draining_;
    for (const auto& [address, current] : connections_) {
        if (current) {
            all_connections.push_back(current);
        }
    }
    for (const std::shared_ptr<connection>& current : all_connections) {
        current->check_liveness(now);
    }
    const bool busy = std::any_of(all_connections.begin(), all_connections.end(),
                                  [](const auto& c) { return !c->idle(); });
    if (busy) {
        schedule_liveness_check();
    }
}

void peer_client::cancel(peer_request_id id)
{
    const auto found = connection_by_request_.find(id);
    if (found == connection_by_request_.end()) {
        return;
    }
    if (const std::shared_ptr<connection> current = found->second.lock()) {
        current->cancel(id);
    }
    connection_by_request_.erase(found);
}

} // namespace fescuedyke
