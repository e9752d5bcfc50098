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
/// A node's part in staying up to date: which members it asks, and what it takes over from them.

namespace fescuedyke {

struct subscriber_settings {
    millis poll_period{250};
    /// A reply that has not come by then counts as lost.
    millis poll_timeout{1000};
    /// A member whose beacon is older is left: it may have been cut off silently.
    millis max_beacon_age{1500};
    /// How long a member that failed or was stale is not asked while others are there.
    millis avoid_time{2000};
    /// The same after many failures in a row.
    millis max_avoid_time{16'000};
    /// Members asked at the same time.
    std::size_t members_per_round = 2;
    /// Whether the leading member is asked before nearer ones.
    bool prefers_leader = true;
};

/// Where a member may be found before it has told its name.
struct member_seed {
    std::string name;
    endpoint address;
};

/// A poll to be sent; its reply or failure is reported under the same number.
struct outgoing_poll {
    std::uint64_t number = 0;
    endpoint address;
    node_poll poll;
};

/// What a step leads to.
struct subscriber_output {
    std::vector<outgoing_poll> polls;
    /// For the node's core, in this order.
    std::vector<node_event> events;
    /// The document of routes, when a later one is to be put in force.
    std::optional<route_document> document;
};

/// What is known of one member, for the state dump.
struct member_status {
    endpoint address;
    instant avoid_until;
    instant last_reply;
    millis beacon_age;
    millis round_trip;
    bool replied = false;
    /// Polls in a row that brought no fresh word.
    int consecutive_failures = 0;
};

/// Takes configuration only upwards in version, from two members at once: the leader, which alone
/// renews leases, and the nearest other. A member with an old beacon is left, even when its
/// connection looks fine.
class config_subscriber {
public:
    config_subscriber(const subscriber_settings& settings, std::vector<member_seed> seeds);

    /// The node's record, sent with every poll from now on; a change is sent at once.
    void on_record(const node_record& record, bool wants_lease);

    subscriber_output tick(instant now);
    subscriber_output on_reply(std::uint64_t number, const poll_reply& reply, instant now);
    void on_failed(std::uint64_t number, instant now);

    /// Returns whether some member's word is fresh at \p now.
    bool is_fresh(instant now) const;

    config_version version() const { return version_; }
    const bucket_table& owners() const { return owners_; }
    /// The policies as they are in force, removed ones included, by policy_key().
    const std::map<std::string, policy_record>& policy_records() const { return policy_records_; }
    const std::string& leader() const { return leader_; }
    const std::map<std::string, member_status>& members() const { return members_; }
    /// The members asked at present, nearest last.
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
    void mark_failed(const std::string& member, instant now);

    subscriber_settings settings_;
    std::map<std::string, member_status> members_;
    std::string leader_;
    node_record record_;
    bool wants_lease_ = false;
    bool record_changed_ = true;
    /// Members that the latest polls went to.
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
    instant fresh_at_;
    bool ever_fresh_ = false;
};

} // namespace fescuedyke

#endif
