#ifndef FESCUEDYKE_UNITTESTS_NODE_LIMITED_MESH_H
#define FESCUEDYKE_UNITTESTS_NODE_LIMITED_MESH_H

#include "fescuedyke/node/node_core.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Nodes under virtual time, of which some have targets that state limits or that they leave.

namespace fescuedyke {

/// A call that reached a target.
struct target_arrival {
    instant at;
    /// When the caller sent its request, and to which node.
    instant requested_at;
    std::string origin;
    priority_class cls = priority_class::normal;
};

/// A target and its behaviour, which a test may change while the mesh runs.
struct mesh_target {
    std::string node;
    std::string identity;
    std::uint64_t started_at_ms = 1;
    int slots = 100;
    millis service_time{60};
    target_notice notice;
    /// Every call arrives twice, because its kept connection breaks.
    bool breaks_connections = false;
    std::vector<target_arrival> arrivals;
};

/// Delivers the events between nodes, targets and callers in steps of a millisecond.
class limited_mesh {
public:
    explicit limited_mesh(std::uint64_t seed) : random_(seed) {}

    /// Adds a node without a target, or starts it anew under another instance id.
    void start_node(const std::string& name);
    /// Adds a node with a target of the only service.
    mesh_target& add_target(const std::string& name);
    mesh_target& target(const std::string& name) { return targets_.at(name); }
    /// Announces the target of a node to it and all targets to all nodes.
    void announce(const std::string& name);
    void publish_view();

    /// Sends a caller's request to node \p origin.
    void request(const std::string& origin, priority_class cls = priority_class::normal);
    /// Runs for \p duration, during which callers send \p per_second requests to the \p origins in
    /// turn.
    void run(millis duration, int per_second, const std::vector<std::string>& origins);

    instant now() const { return now_; }
    int answered() const { return answered_; }
    int failed() const { return failed_; }
    /// Returns the attempts that a target's node refused.
    int refused_attempts() const { return refused_attempts_; }
    /// Returns the requests of \p cls that were answered.
    int answered_of(priority_class cls) const;

private:
    struct node {
        std::unique_ptr<node_core> core;
        instance_id instance;
        int starts = 0;
    };
    struct pending_event {
        std::string to;
        instance_id instance;
        node_event event;
    };
    struct sent_attempt {
        std::string origin;
        call_id call;
        int attempt = 0;
    };
    struct open_request {
        std::string origin;
        instant sent_at;
        priority_class cls = priority_class::normal;
    };

    void handle(const std::string& name, const node_event& event);
    void schedule(millis delay, const std::string& to, const node_event& event);
    void deliver_due();
    void execute(const std::string& name, const send_call& action);
    void execute(const std::string& name, const reply_call& action);
    void execute(const std::string& name, const dispatch_call& action);
    void execute(const answer_caller& action);
    void answer_due();

    struct running_call {
        std::string target;
        instance_id instance;
        inbound_id call;
    };

    random_source random_;
    instant now_{1'000'000};
    std::map<std::string, node> nodes_;
    std::map<std::string, mesh_target> targets_;
    std::multimap<instant, pending_event> events_;
    std::multimap<instant, running_call> running_;
    std::map<exchange_id, sent_attempt> streams_;
    std::map<exchange_id, open_request> requests_;
    std::map<priority_class, int> answered_by_class_;
    std::uint64_t next_exchange_ = 1;
    std::uint64_t view_version_ = 0;
    int answered_ = 0;
    int failed_ = 0;
    int refused_attempts_ = 0;
};

} // namespace fescuedyke

#endif
