#include "fescuedyke/transport/http_server.h"

#include "http_connection.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

/// Time between two checks of the connections for idle and head timeouts.
constexpr millis timeout_check_period{500};

} // namespace

const char* to_string(connection_end reason)
{
    switch (reason) {
    case connection_end::last_response:
        return "last-response";
    case connection_end::client_closed:
        return "client-closed";
    case connection_end::connection_failed:
        return "connection-failed";
    case connection_end::response_aborted:
        return "response-aborted";
    case connection_end::server_stopped:
        return "server-stopped";
    }
    return "connection-failed";
}

http_server::http_server(event_loop& loop, const http_limits& limits, handlers callbacks,
                         std::uint64_t first_exchange)
    : loop_(loop), limits_(limits), handlers_(std::move(callbacks)), next_exchange_(first_exchange),
      alive_(std::make_shared<bool>(true))
{
}

http_server::~http_server()
{
    *alive_ = false;
    stop_listening();
    // The owner of the handlers may be partly destroyed, so cancelled exchanges are not reported.
    handlers_.on_cancelled = [](exchange_id) {};
    handlers_.on_cut = nullptr;
    const auto open = std::exchange(connections_, {});
    for (const auto& [id, c] : open) {
        c->close(connection_end::server_stopped);
    }
}

absl::Status http_server::listen(const endpoint& address)
{
    return listener_.listen(address);
}

void http_server::add_connection(int fd)
{
    const std::uint64_t id = next_connection_++;
    const auto added = std::make_shared<connection>(*this, id, fd);
    connections_[id] = added;
    added->start();
    if (!timeout_check_scheduled_) {
        timeout_check_scheduled_ = true;
        loop_.run_after(timeout_check_period, [this, alive = alive_] {
            if (*alive) {
                check_timeouts();
            }
        });
    }
}

void http_server::check_timeouts()
{
    timeout_check_scheduled_ = !connections_.empty();
    if (!timeout_check_scheduled_) {
        return;
    }
    loop_.run_after(timeout_check_period, [this, alive = alive_] {
        if (*alive) {
            check_timeouts();
        }
    });
    const instant now = loop_.now().now;
    const std::map<std::uint64_t, std::shared_ptr<connection>> open = connections_;
    for (const auto& [id, c] : open) {
        c->check_timeouts(now);
    }
}

void http_server::remove_connection(std::uint64_t id)
{
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        // Member functions of the connection may still be on the stack, so it is destroyed later.
        loop_.post([old = std::move(found->second)] {});
        connections_.erase(found);
    }
}

void http_server::respond(exchange_id exchange, const http_response& response)
{
    if (!loop_.in_loop_thread()) {
        loop_.post([this, alive = alive_, exchange, response] {
            if (*alive) {
                respond(exchange, response);
            }
        });
        return;
    }
    const auto found = connection_by_exchange_.find(exchange);
    if (found == connection_by_exchange_.end()) {
        return;
    }
    const auto c = connections_.find(found->second);
    assert(c != connections_.end() && "open exchange without a connection");
    const std::shared_ptr<connection> owner = c->second;
    owner->respond(exchange, response);
}

std::size_t http_server::connections_with_unsent_bytes() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& entry) { return entry.second->has_unsent_bytes(); }));
}

bool http_server::has_open_requests() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->has_open_requests(); });
}

bool http_server::idle() const
{
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->is_idle(); });
}

void http_server::begin_drain()
{
    draining_ = true;
    for (const auto& [id, c] : connections_) {
        c->begin_drain();
    }
}

void http_server::close_idle()
{
    const std::map<std::uint64_t, std::shared_ptr<connection>> open = connections_;
    for (const auto& [id, c] : open) {
        c->close_if_idle();
    }
}

} // namespace fescuedyke
