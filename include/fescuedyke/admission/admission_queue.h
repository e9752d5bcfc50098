#ifndef FESCUEDYKE_ADMISSION_ADMISSION_QUEUE_H
#define FESCUEDYKE_ADMISSION_ADMISSION_QUEUE_H

#include "fescuedyke/admission/concurrency_limit.h"
#include "fescuedyke/admission/level.h"
#include "fescuedyke/admission/rate_limiter.h"
#include "fescuedyke/admission/saturation_limit.h"
#include "fescuedyke/call/context.h"
#include "fescuedyke/call/outcome.h"
#include "fescuedyke/call/rank.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

/// \file
/// Admission control for one target: which calls are dispatched, queued or shed.

namespace fescuedyke {

/// Identifies a call at its receiving node.
using inbound_id = strong<struct inbound_id_tag, std::uint64_t>;

/// The properties of a call that decide its admission.
struct admission_entry {
    inbound_id id;
    rank priority_rank;
    flow_id flow;
    bool idempotent = false;
    instant deadline;
    /// Size of the request body in bytes.
    std::uint64_t bytes = 0;
};

/// A call that was refused or evicted from the queue, and why.
struct shed_call {
    inbound_id id;
    outcome_reason reason;
};

/// The actions that result from one admission step.
struct admission_result {
    /// Calls to send to the target now.
    std::vector<inbound_id> dispatched;
    /// Calls that were refused, or evicted from the queue; none of them ran.
    std::vector<shed_call> shed;
    /// Running idempotent calls to cancel at the target in favour of calls of a higher priority
    /// class.
    std::vector<inbound_id> preempted;
};

/// Configuration of admission to one target.
struct admission_settings {
    /// Maximum number of concurrent calls, as announced by the target.
    int slots = 1;
    /// Maximum total size of the request bodies of queued and running calls.
    std::uint64_t memory_bytes = 256ULL << 20U;
    /// Whether running idempotent calls may be cancelled in favour of calls of a higher priority
    /// class.
    bool preemption = true;
    /// Whether the concurrency limit may fall below the slots. Disable it for a target that
    /// enforces its slots itself and whose service times vary widely.
    bool adaptive = true;
};

/// Dispatches calls up to an adaptive concurrency limit, keeps a short queue ordered by rank and
/// sheds the greatest ranks first. A call is never shed for overload while a call of a lower
/// priority class is queued, or while a running idempotent call of a lower priority class could be
/// preempted.
class admission_queue {
public:
    explicit admission_queue(const admission_settings& settings);

    /// Dispatches, queues or sheds a newly arrived call.
    admission_result offer(const admission_entry& entry, instant now);

    /// Handles the end of a running call. \p answered tells whether the target responded, in which
    /// case \p elapsed is its service time.
    admission_result finish(inbound_id id, bool answered, millis elapsed, instant now);

    /// Handles a running call that the target refused to execute.
    admission_result finish_refused(inbound_id id, instant now);

    /// Removes a call from the queue. Returns whether it was queued.
    bool remove_queued(inbound_id id);

    /// Sheds queued calls that are past their deadline, and preempts running ones for queued calls
    /// that are about to miss theirs.
    admission_result expire(instant now);

    /// Changes the number of slots; a change resets the concurrency limit.
    void set_slots(int slots);

    /// Restricts concurrency and queue length to \p share, from 0 to 1, of the slots during
    /// warm-up.
    void set_warm_up_share(double share);

    /// Limits the rate of the dispatched calls, whatever their number; no value ends the limit.
    void set_rate_limit(std::optional<call_rate> rate, instant now) { rate_.set_rate(rate, now); }
    const std::optional<call_rate>& rate_limit() const { return rate_.rate(); }

    /// Counts a running call once more, because it was sent to the target again. It is not delayed:
    /// the calls after it are.
    void on_resent(instant now) { rate_.on_dispatched(now); }

    load_report report(instant now) const;

    int running() const { return static_cast<int>(running_.size()); }
    int queued() const { return static_cast<int>(queue_.size()); }
    std::uint64_t bytes_held() const { return bytes_held_; }
    /// Returns the concurrency limit, which is restricted during warm-up.
    int effective_limit() const;
    const concurrency_limit& limit() const { return limit_; }

private:
    using queue_key = std::pair<rank, std::uint64_t>;
    struct running_call {
        admission_entry entry;
        /// Number of running calls, itself included, when it was dispatched.
        int running_at_dispatch = 0;
    };

    /// Returns whether \p entry, whose deadline is relative to the present, cannot be answered in
    /// time with \p ahead calls queued before it.
    bool cannot_meet_deadline(const admission_entry& entry, std::size_t ahead, instant now) const;
    /// Returns the maximum number of queued calls.
    std::size_t queue_capacity() const;
    std::size_t position_of(rank priority_rank) const;
    std::optional<inbound_id> find_preemptible(rank priority_rank) const;
    bool preempt_for(const admission_entry& entry, instant now, admission_result& result);
    void enqueue(const admission_entry& entry);
    void dispatch(const admission_entry& entry, instant now, admission_result& result);
    void dispatch_queued(instant now, admission_result& result);
    void shed(const admission_entry& entry, outcome_reason reason, admission_result& result);
    void remove_running(inbound_id id);

    admission_settings settings_;
    concurrency_limit limit_;
    saturation_limit saturation_limit_;
    rate_limiter rate_;
    level_tracker level_;
    double warm_up_share_ = 1.0;
    std::uint64_t next_arrival_ = 0;
    std::uint64_t bytes_held_ = 0;
    std::map<queue_key, admission_entry> queue_;
    std::map<inbound_id, queue_key> queued_ids_;
    std::map<inbound_id, running_call> running_;
};

} // namespace fescuedyke

#endif
