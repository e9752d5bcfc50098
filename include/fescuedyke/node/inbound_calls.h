#ifndef FESCUEDYKE_NODE_INBOUND_CALLS_H
#define FESCUEDYKE_NODE_INBOUND_CALLS_H

#include "fescuedyke/account/account.h"
#include "fescuedyke/admission/admission_queue.h"
#include "fescuedyke/node/actions.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/node/node_settings.h"
#include "fescuedyke/once/run_registry.h"
#include "fescuedyke/retry/allowance.h"
#include "fescuedyke/support/moving_estimate.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// The server side of a node: calls for the target beside it.

namespace fescuedyke {

/// A call for the target beside this node, from its arrival to its reply.
struct inbound_call {
    enum class stage : std::uint8_t {
        queued,
        running,
        /// Waits for the result of another call with the same key.
        joined
    };

    inbound_id id;
    reply_address reply_to;
    call_context context;
    shared_request request;
    instant arrived_at;
    instant deadline;
    /// Retries available to the calls that the target makes while it serves this one.
    retry_allowance allowance{0};
    stage current_stage = stage::queued;
    instant dispatched_at;
    account_key row_key;
    /// Set if the run registry decided to run this call for its key.
    std::optional<idempotency_key> key;
};

/// Returns the name used in logs and metrics.
const char* to_string(inbound_call::stage stage);

/// Admits calls, dispatches them to the target, and replies to each exactly once.
class inbound_calls {
public:
    inbound_calls(const node_settings& settings, ownership& owned_buckets, account& accounts,
                  const target_chooser& chooser, const flow_dependencies& dependencies,
                  node_actions& actions);

    void on_call(const call_context& context, const shared_request& request,
                 const reply_address& reply_to, moment at);
    void on_cancelled(const reply_address& reply_to, moment at);
    void on_answered(const target_answered& event, moment at);
    void on_failed(const target_failed& event, moment at);
    void on_resent(const target_call_resent& event, instant now);
    void on_announced(const target_announced& event, moment at);
    void on_draining(instant now);
    /// Refuses the calls that wait for the target.
    void on_ending(instant now);
    void on_records_handed_over(const records_handed_over& event);
    void expire(moment at);

    /// Returns the call \p id if it is running at the target, else nullptr.
    inbound_call* find_running(inbound_id id);

    /// Returns the open call of another node's stream, or nullptr.
    const inbound_call* find_by_stream(exchange_id stream) const;

    /// Returns the calls that ended since the last invocation. Their child calls must be cancelled.
    std::vector<inbound_id> take_ended();

    bool has_target() const { return admission_.has_value(); }
    bool draining() const { return draining_; }
    /// Returns whether the target has stated that it leaves. This start of it does not return.
    bool target_has_left() const { return target_has_left_; }
    /// Returns whether \p event announces the start of the target that has stated that it leaves.
    bool announces_left_target(const target_announced& event) const;
    /// Returns whether the target accepts new calls at \p now.
    bool ready(instant now) const { return has_target() && !draining_ && now < lease_until_; }
    const service_name& service() const { return service_; }
    bool idle() const { return calls_.empty(); }
    std::size_t open_calls() const { return calls_.size(); }
    const std::optional<admission_queue>& admission() const { return admission_; }
    const run_registry& registry() const { return registry_; }

private:
    bool is_late_or_duplicate(const call_context& context, moment at);
    /// Adopts the rate limit that the sender of a call knows until the target has answered.
    void adopt_rate_limit(const call_context& context, instant now);
    std::optional<outcome> check_admissible(const call_context& context, instant now) const;
    void admit(inbound_call& call, instant now);
    void begin_keyed(inbound_call& call, moment at);
    void apply(const admission_result& result, instant now);
    void dispatch(inbound_call& call, instant now);
    void end(inbound_id id, const outcome& result, const http_response& response, instant now);
    void record_key_result(const idempotency_key& key, const outcome& result,
                           const http_response& response);
    void end_joined(const std::string& key, const outcome& result, const http_response& response,
                    instant now);
    void reply(const inbound_call& call, const outcome& result, const http_response& response,
               instant now);
    void detach_caller(inbound_call& call);
    /// Ends the calls that wait for the target as not run.
    void refuse_queued_calls(outcome_reason reason, instant now);
    void abandon(inbound_call& call, outcome_reason reason, instant now);
    void time_out(inbound_call& call, instant now);
    /// Applies what the target stated in the response to \p call.
    void on_notice(const target_notice& notice, const inbound_call& call, instant now);
    load_report report_load(const inbound_call& call, instant now) const;
    void update_warm_up(instant now);

    const node_settings& settings_;
    ownership& owned_buckets_;
    account& accounts_;
    const target_chooser& chooser_;
    const flow_dependencies& dependencies_;
    node_actions& actions_;
    run_registry registry_;
    std::optional<admission_queue> admission_;
    /// Service times of the target in milliseconds.
    std::map<flow_id, moving_estimate> service_times_;
    service_name service_;
    std::string identity_;
    std::uint64_t target_incarnation_ = 0;
    bool draining_ = false;
    /// When the calls that still wait for a draining target are refused.
    std::optional<instant> queue_closes_at_;
    instant announced_at_;
    /// When the rate limit in force was learned.
    instant rate_limit_learned_at_;
    /// Whether the target has answered since its start was announced to this process.
    bool target_has_answered_ = false;
    bool target_has_left_ = false;
    instant lease_until_;
    millis warm_up_;
    std::uint64_t next_id_;
    std::map<inbound_id, inbound_call> calls_;
    std::set<std::pair<instant, inbound_id>> deadlines_;
    std::map<exchange_id, inbound_id> by_stream_;
    std::map<std::pair<call_id, int>, inbound_id> by_attempt_;
    std::map<std::string, inbound_id> runs_by_key_;
    /// Attempts of non-idempotent calls that were received. Each is remembered until every late
    /// copy is rejected by its timestamp.
    std::set<std::pair<call_id, int>> seen_attempts_;
    std::multimap<instant, std::pair<call_id, int>> seen_expiry_;
    std::map<std::string, std::vector<inbound_id>> joined_;
    std::vector<inbound_id> ended_;
};

} // namespace fescuedyke

#endif
