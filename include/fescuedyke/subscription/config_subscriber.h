#ifndef FESCUEDYKE_SUBSCRIPTION_CONFIG_SUBSCRIBER_H
#define FESCUEDYKE_SUBSCRIPTION_CONFIG_SUBSCRIBER_H

#include "fescuedyke/control/messages.h"
#include "fescuedyke/membership/view_builder.h"
#include "fescuedyke/node/events.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Keeps a node's configuration up to date: selects the members to poll and applies their replies.

namespace fescuedyke {

struct subscriber_settings {
    millis poll_period{250};
    /// A poll that is not answered within this time counts as failed.
    millis poll_timeout{1000};
    /// A reply with a greater quorum confirmation age is stale. The member that sent it is avoided,
    /// because it may be partitioned from the quorum without noticing.
    millis max_quorum_confirmation_age{1500};
    /// How long a member is not polled after a failed poll or a stale reply while others are
    /// available. The time doubles with every consecutive failure. Polls sent during a back-off do
    /// not count as further failures.
    millis initial_backoff{2000};
    /// The same for the leader, if it is preferred. A lease of 3 s still lasts when the leader is
    /// polled again one poll period, one poll timeout and this time after its last reply.
    millis initial_leader_backoff{1000};
    /// Upper limit of the back-off time after consecutive failures.
    millis max_backoff{16'000};
    /// Number of members that are polled in each round.
    std::size_t members_per_round = 2;
    /// Whether the leader is preferred over members with a shorter round trip.
    bool prefers_leader = true;
};

/// Configured name and address of a member, used until a reply lists the current members.
struct member_seed {
    std::string name;
    endpoint address;
};

/// A poll to send. Its reply or failure must be reported with the same number.
struct outgoing_poll {
    std::uint64_t number = 0;
    endpoint address;
    node_poll poll;
};

/// Result of a step of the subscriber.
struct subscriber_output {
    std::vector<outgoing_poll> polls;
    /// Events for the node's core, in the order in which to handle them.
    std::vector<node_event> events;
    /// The route document, if a later version is to be activated.
    std::optional<route_document> document;
};

/// Health of one member as the subscriber observes it.
struct member_status {
    endpoint address;
    instant backoff_until;
    instant last_reply;
    millis quorum_confirmation_age;
    /// Smoothed round-trip time of the polls.
    millis round_trip;
    bool replied = false;
    /// Number of back-offs since the last reply that was not stale.
    int consecutive_failures = 0;
};

/// Polls members for configuration and never goes back to an older version. By default it polls two
/// members: the leader, which alone renews leases, and the nearest other member. It avoids a member
/// whose quorum confirmation age exceeds the limit even if the connection to that member works.
class config_subscriber {
public:
    config_subscriber(const subscriber_settings& settings, std::vector<member_seed> seeds);

    /// Sets the node's record, which is sent with every poll. A later record is sent on the next
    /// tick, without waiting for the poll period.
    void on_record(const node_record& record, bool wants_lease);

    subscriber_output tick(instant now);
    subscriber_output on_reply(std::uint64_t number, const poll_reply& reply, instant now);
    void on_failed(std::uint64_t number, instant now);

    /// Returns whether some member recently sent a reply that was not stale.
    bool is_fresh(instant now) const;

    config_version version() const { return version_; }
    const bucket_table& owners() const { return owners_; }
    /// Returns the active policies and the tombstones of removed ones, by policy_key().
    const std::map<std::string, policy_record>& policy_records() const { return policy_records_; }
    const std::string& leader() const { return leader_; }
    const std::map<std::string, member_status>& members() const { return members_; }
    /// Returns the members to poll at \p now, in order of preference.
    std::vector<std::string> selected_members(instant now) const;

private:
    struct open_poll {
        std::string member;
        instant sent_at;
    };

    void update_members(const poll_reply& reply);
    void apply_policies(const poll_reply& reply, subscriber_output& output);
    void apply_document(const poll_reply& reply, subscriber_output& output);
    void apply_owners(const poll_reply& reply, subscriber_output& output);
    void apply_view(const poll_reply& reply, instant now, subscriber_output& output);
    bool is_available(const member_status& m, instant now) const;
    void remove_unlisted_members(const poll_reply& reply);
    /// Handles the failure of a poll or a stale reply to it.
    void mark_failed(const open_poll& failed, instant now);
    void extend_backoff(member_status& m, millis initial_backoff, instant now) const;

    subscriber_settings settings_;
    std::map<std::string, member_status> members_;
    std::string leader_;
    node_record record_;
    bool wants_lease_ = false;
    bool record_changed_ = true;
    /// Members selected in the latest round.
    std::set<std::string> polled_members_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, open_poll> open_polls_;
    instant last_round_sent_;
    bool has_polled_ = false;
    std::map<std::string, policy_record> policy_records_;
    std::map<std::string, policy> policies_;
    config_version version_;
    bool policies_published_ = false;
    route_document document_;
    config_version published_document_version_;
    bucket_table owners_;
    view_builder view_;
    instant last_fresh_reply_at_;
    bool has_fresh_reply_ = false;
};

} // namespace fescuedyke

#endif
