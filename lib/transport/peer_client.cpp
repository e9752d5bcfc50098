#include "fescuedyke/transport/peer_client.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// How often connections with open requests are looked at.
constexpr millis tend_period{200};

/// Longest time that making a connection may take.
constexpr millis connect_limit{700};

/// Silence on a connection with open requests after which a sign of life is asked for, and after
/// which the connection is given up.
constexpr millis ask_after{800};
constexpr millis give_up_after{2200};

} // namespace

/// One connection with the requests that are open on it.
class peer_client::link final : public h2_events {
public:
    link(event_loop& loop, int fd) : connection_(loop, fd, h2_connection::side::client, *this) {}

    bool send(peer_request_id id, const std::string& path, frame body, callback done, instant now)
    {
        busy_since_ = idle() ? now : busy_since_;
        const std::int32_t stream = connection_.request(path, std::move(body));
        if (stream < 0) {
            return false;
        }
        open_[stream] = {id, std::move(done)};
        streams_[id] = stream;
        return true;
    }

    void cancel(peer_request_id id)
    {
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            const std::int32_t stream = found->second;
            open_.erase(stream);
            streams_.erase(found);
            connection_.reset(stream, NGHTTP2_CANCEL);
        }
    }

    bool closed() const { return connection_.closed(); }
    /// Bodies may flow on after their requests have ended.
    bool idle() const { return connection_.open_streams() == 0; }

    void tend(instant now)
    {
        if (idle() || connection_.closed()) {
            asked_ = false;
            return;
        }
        // Silence counts from the first of the open requests, not from a former idle time.
        const instant since = std::max(connection_.last_heard(), busy_since_);
        const millis silent = now - since;
        if (!connection_.connected() ? silent > connect_limit : silent > give_up_after) {
            connection_.abort();
            return;
        }
        const bool ask = connection_.connected() && silent > ask_after;
        if (ask && !asked_) {
            connection_.ping();
        }
        asked_ = ask;
    }

    void on_request(std::int32_t, const std::string&, h2_message) override {}
    void on_request_gone(std::int32_t) override {}
    bool may_take(std::uint64_t) override { return false; }
    void on_closed() override {}

    void on_response(std::int32_t stream, h2_message message) override
    {
        end(stream, peer_result(std::move(message)));
    }
    void on_failure(std::int32_t stream, stream_failure failure) override
    {
        end(stream, peer_result(failure));
    }

private:
    struct open_request {
        peer_request_id id;
        callback done;
    };

    void end(std::int32_t stream, peer_result result)
    {
        const auto found = open_.find(stream);
        if (found == open_.end()) {
            return;
        }
        const open_request request = std::move(found->second);
        open_.erase(found);
        streams_.erase(request.id);
        request.done(std::move(result));
    }

    std::map<std::int32_t, open_request> open_;
    std::map<peer_request_id, std::int32_t> streams_;
    instant busy_since_;
    bool asked_ = false;
    h2_connection connection_;
};

peer_client::peer_client(event_loop& loop) : loop_(loop), alive_(std::make_shared<bool>(true)) {}

peer_client::~peer_client()
{
    *alive_ = false;
}

std::shared_ptr<peer_client::link> peer_client::link_to(const endpoint& address)
{
    std::shared_ptr<link>& held = links_[{address.host, address.port}];
    if (held && held->closed()) {
        // Callbacks of the closed connection may still be on the stack.
        loop_.post([old = std::move(held)] {});
        held = nullptr;
    }
    const int fd = held ? -1 : start_connect(address);
    if (fd >= 0) {
        held = std::make_shared<link>(loop_, fd);
    }
    return held;
}

void peer_client::retire(const endpoint& address)
{
    const auto found = links_.find({address.host, address.port});
    if (found != links_.end()) {
        retired_.push_back(std::move(found->second));
        links_.erase(found);
    }
    retired_.erase(
        std::remove_if(retired_.begin(), retired_.end(), [](const auto& l) { return l->closed(); }),
        retired_.end());
}

peer_request_id peer_client::send(const endpoint& address, const std::string& path, frame body,
                                  const callback& done)
{
    const peer_request_id id(next_++);
    const auto wrapped = [this, alive = alive_, id, done](peer_result result) {
        if (*alive) {
            requests_.erase(id);
        }
        done(std::move(result));
    };
    std::shared_ptr<link> held = link_to(address);
    const instant now = loop_.now().now;
    if (held && !held->send(id, path, body, wrapped, now)) {
        // The other side shuts down: what is open on the link goes on, new requests get another.
        retire(address);
        held = link_to(address);
        const bool sent = held && held->send(id, path, std::move(body), wrapped, now);
        held = sent ? held : nullptr;
    }
    if (held) {
        requests_[id] = held;
        schedule_tending();
        return id;
    }
    loop_.post([wrapped] { wrapped(peer_result(stream_failure::never_processed)); });
    return id;
}

void peer_client::schedule_tending()
{
    if (tending_) {
        return;
    }
    tending_ = true;
    loop_.after(tend_period, [this, alive = alive_] {
        if (*alive) {
            tending_ = false;
            tend();
        }
    });
}

void peer_client::tend()
{
    const instant now = loop_.now().now;
    std::vector<std::shared_ptr<link>> all = retired_;
    for (const auto& [address, held] : links_) {
        if (held) {
            all.push_back(held);
        }
    }
    for (const std::shared_ptr<link>& held : all) {
        held->tend(now);
    }
    const bool busy = std::any_of(all.begin(), all.end(), [](const auto& l) { return !l->idle(); });
    if (busy) {
        schedule_tending();
    }
}

void peer_client::cancel(peer_request_id id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    if (const std::shared_ptr<link> held = found->second.lock()) {
        held->cancel(id);
    }
    requests_.erase(found);
}

} // namespace fescuedyke
