#ifndef FESCUEDYKE_SUBSCRIPTION_DEPARTURE_CLIENT_H
#define FESCUEDYKE_SUBSCRIPTION_DEPARTURE_CLIENT_H

#include "fescuedyke/control/messages.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// \file
/// Asks the members to record the departures of a node's target, and whether one is recorded.

namespace fescuedyke {

struct departure_client_settings {
    /// A request that is not answered within this time is sent to the next member.
    millis reply_timeout{500};
    /// Time until a request that a member could not decide is sent again. The first time it is sent
    /// at once if the member named the leader.
    millis retry_period{250};
};

/// A request to send. Its reply must be reported with the same number.
struct outgoing_departure {
    std::uint64_t number = 0;
    /// Name of the member.
    std::string member;
    departure_request request;
};

/// Repeats each request until a member has decided it, in turn at the presumed leader, if there is
/// one, and at one of the members after the other.
class departure_client {
public:
    explicit departure_client(const departure_client_settings& settings = {}) : settings_(settings)
    {
    }

    /// \p done is called when the departure is recorded. The oldest departure is given up when
    /// there are too many.
    void record(const target_departure& departure, std::function<void()> done);

    /// \p done is called with whether a recorded departure covers \p departure. Replaces an earlier
    /// check that is not answered yet.
    void check(const target_departure& departure, std::function<void(bool)> done);

    /// Returns the requests that are due. \p leader is empty if the leader is not known.
    std::vector<outgoing_departure> tick(const std::vector<std::string>& members,
                                         const std::string& leader, instant now);

    /// Handles a reply, also a late one.
    void on_reply(std::uint64_t number, const departure_reply& reply);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request {
        std::uint64_t number = 0;
        departure_request request;
        std::function<void(bool)> done;
        /// Number of times the request was sent, and how many of these not to the presumed leader.
        std::size_t attempts = 0;
        std::size_t others_asked = 0;
        std::string last_member;
        instant sent_at;
        /// Whether the latest attempt was answered without a decision.
        bool undecided = false;
        /// Leader named by a member that could not decide; may be empty.
        std::string hint;
    };

    void add(departure_request request, std::function<void(bool)> done);
    bool is_due(const open_request& r, instant now) const;
    /// Returns the member to which the next attempt goes.
    static std::string next_member(open_request& r, const std::vector<std::string>& members,
                                   const std::string& leader);

    departure_client_settings settings_;
    std::uint64_t next_number_ = 1;
    std::vector<open_request> open_;
};

} // namespace fescuedyke

#endif
