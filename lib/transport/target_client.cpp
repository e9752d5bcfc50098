#include "fescuedyke/transport/target_client.h"

#include "target_connection.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// A connection that was idle for longer is not reused for a request that must not be resent,
/// because the target may be about to close the connection.
constexpr millis max_idle_if_not_resendable{1000};

} // namespace

target_client::target_client(event_loop& loop) : loop_(loop) {}

target_client::~target_client()
{
    const auto idle = std::exchange(idle_, {});
    const auto busy = std::exchange(busy_, {});
    for (const auto& c : idle) {
        c->cancel();
    }
    for (const auto& [id, c] : busy) {
        c->cancel();
    }
}

std::shared_ptr<target_client::connection> target_client::take_idle(const target_request& request)
{
    const instant now = loop_.now().now;
    for (auto it = idle_.rbegin(); it != idle_.rend(); ++it) {
        std::shared_ptr<connection> c = *it;
        const bool reusable =
            now < c->idle_deadline() &&
            (request.may_resend || now - c->last_used() < max_idle_if_not_resendable);
        if (c->connects_to(request.address) && reusable && c->can_carry(request) && c->quiet()) {
            idle_.erase(std::next(it).base());
            return c;
        }
    }
    return nullptr;
}

void target_client::send(std::uint64_t id, const target_request& request, callback done)
{
    start(id, request, std::move(done), false);
}

void target_client::start(std::uint64_t id, const target_request& request, callback done,
                          bool new_connection_only)
{
    std::shared_ptr<connection> c = new_connection_only ? nullptr : take_idle(request);
    if (!c) {
        c = std::make_shared<connection>(*this, request.address);
        ++connections_made_;
        if (!c->connect()) {
            loop_.post([done = std::move(done)] { done(target_failure::never_sent); });
            return;
        }
    }
    busy_[id] = c;
    c->start_request(id, request, std::move(done));
}

void target_client::cancel(std::uint64_t id)
{
    const auto found = busy_.find(id);
    if (found != busy_.end()) {
        const std::shared_ptr<connection> c = std::move(found->second);
        busy_.erase(found);
        c->cancel();
    }
}

void target_client::on_idle(const std::shared_ptr<connection>& c)
{
    const instant now = loop_.now().now;
    std::vector<std::shared_ptr<connection>> expired;
    for (const auto& entry : idle_) {
        if (now >= entry->idle_deadline()) {
            expired.push_back(entry);
        }
    }
    for (const auto& entry : expired) {
        entry->cancel();
    }
    remove_busy(c);
    idle_.push_back(c);
}

void target_client::remove_busy(const std::shared_ptr<connection>& c)
{
    const auto found = busy_.find(c->id());
    if (found != busy_.end() && found->second == c) {
        busy_.erase(found);
    }
}

void target_client::on_closed(const std::shared_ptr<connection>& c)
{
    idle_.erase(std::remove(idle_.begin(), idle_.end(), c), idle_.end());
    remove_busy(c);
    // Member functions of the connection may still be on the stack, so it is destroyed later.
    loop_.post([c] {});
}

void target_client::close_idle()
{
    const auto idle = idle_;
    for (const auto& c : idle) {
        c->cancel();
    }
}

} // namespace fescuedyke
