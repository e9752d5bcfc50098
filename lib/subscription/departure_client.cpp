#include "fescuedyke/subscription/departure_client.h"

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

/// Maximum number of requests that wait for a decision. A node has one target at a time.
constexpr std::size_t max_open_requests = 64;

} // namespace

void departure_client::add(departure_request request, std::function<void(bool)> done)
{
    if (open_.size() >= max_open_requests) {
        open_.erase(open_.begin());
    }
    open_request added;
    added.number = next_number_++;
    added.request = std::move(request);
    added.done = std::move(done);
    open_.push_back(std::move(added));
}

void departure_client::record(const target_departure& departure, std::function<void()> done)
{
    add({departure, true}, [done = std::move(done)](bool) { done(); });
}

void departure_client::check(const target_departure& departure, std::function<void(bool)> done)
{
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [](const open_request& r) { return !r.request.leaves; }),
                open_.end());
    add({departure, false}, std::move(done));
}

bool departure_client::is_due(const open_request& r, instant now) const
{
    const bool leader_is_new = r.undecided && r.attempts == 1 && !r.hint.empty();
    const millis wait = r.undecided ? settings_.retry_period : settings_.reply_timeout;
    return r.attempts == 0 || leader_is_new || now - r.sent_at >= wait;
}

std::string departure_client::next_member(open_request& r, const std::vector<std::string>& members,
                                          const std::string& leader)
{
    const std::string& preferred = r.hint.empty() ? leader : r.hint;
    const bool known = std::find(members.begin(), members.end(), preferred) != members.end();
    // The presumed leader may have changed.
    if (known && r.last_member != preferred) {
        return preferred;
    }
    return members[(r.number + r.others_asked++) % members.size()];
}

std::vector<outgoing_departure> departure_client::tick(const std::vector<std::string>& members,
                                                       const std::string& leader, instant now)
{
    std::vector<outgoing_departure> due;
    if (members.empty()) {
        return due;
    }
    for (open_request& r : open_) {
        if (!is_due(r, now)) {
            continue;
        }
        r.last_member = next_member(r, members, leader);
        due.push_back({r.number, r.last_member, r.request});
        ++r.attempts;
        r.sent_at = now;
        r.undecided = false;
    }
    return due;
}

void departure_client::on_reply(std::uint64_t number, const departure_reply& reply)
{
    const auto found = std::find_if(open_.begin(), open_.end(),
                                    [&](const open_request& r) { return r.number == number; });
    if (found == open_.end()) {
        return;
    }
    if (!reply.decided) {
        found->undecided = true;
        found->hint = reply.leader;
        return;
    }
    const std::function<void(bool)> done = std::move(found->done);
    open_.erase(found);
    done(reply.departed);
}

} // namespace fescuedyke
