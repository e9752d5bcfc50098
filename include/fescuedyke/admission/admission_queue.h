#ifndef FESCUEDYKE_ADMISSION_ADMISSION_QUEUE_H
#define FESCUEDYKE_ADMISSION_ADMISSION_QUEUE_H

#include "fescuedyke/admission/concurrency_limit.h"
#include "fescuedyke/admission/level.h"
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
/// Admission of calls to one target: who runs, who waits, who is shed.

namespace fescuedyke {

/// One call at its receiving node.
using inbound_id = strong<struct inbound_id_tag, std::uint64_t>;

/// What admission knows of a call.
struct admission_entry {
    inbound_id id;
    rank priority_rank;
    bool idempotent = false;
    instant deadline;
    /// Bytes of the request body.
    std::uint64_t bytes = 0;
};

/// A call that admission turned away.
struct shed_call {
    inbound_id id;
    outcome_reason reason;
};

/// What follows from one step of admission.
struct admission_result {
    /// To be dispatched to the target now.
    std::vector<inbound_id> dispatched;
    /// Refused or evicted before dispatch: they did not run.
    std::vector<shed_call> shed;
    /// Running idempotent calls to be cancelled at the target in favour of more important ones.
    std::vector<inbound_id> preempted;
};

/// Bounds of one target's admission.
struct admission_settings {
    int slots = 1;
    /// Most bytes of request bodies held at once.
    std::uint64_t memory_bytes = 256ULL << 20U;
    /// Whether running idempotent work may be cancelled for more important work.
    bool preemption = true;
    /// Whether the limit adapts below the slots. A target that keeps to its slots by itself, and
    /// whose calls differ much in length, is better given all of them.
    bool adaptive = true;
};

/// Runs at most the adaptive limit of calls at once, keeps a short queue ordered by rank, and sheds
/// the greatest ranks first. A call of a lesser class value is never shed for load while the queue
/// holds one of a greater class value, or while a running idempotent one could be cancelled.
class admission_queue {
public:
    explicit admission_queue(const admission_settings& settings);

    /// Offers a newly arrived call.
    admission_result offer(const admission_entry& entry, instant now);

    /// A running call ended; \p answered tells whether the target answered, after \p took.
    admission_result finish(inbound_id id, bool answered, millis took, instant now);

    /// The target refused a running call, or did not answer it in time.
    admission_result finish_refused(inbound_id id, instant now);

    /// The caller of a queued call has gone. Returns whether the call was in the queue.
    bool remove_queued(inbound_id id);

    /// Drops queued calls whose time is up.
    admission_result expire(instant now);

    /// Takes over a changed number of slots.
    void set_slots(int slots);

    /// Bounds the queue and the running calls while the target warms up; \p share is from 0 to 1.
    void set_warm_up_share(double share);

    load_report report(instant now) const;

    int running() const { return static_cast<int>(running_.size()); }
    int queued() const { return static_cast<int>(queue_.size()); }
    std::uint64_t bytes_held() const { return bytes_held_; }
    int effective_limit() const;
    const concurrency_limit& limit() const { return limit_; }

private:
    using queue_key = std::pair<rank, std::uint64_t>;

    bool doomed(const admission_entry& entry, std::size_t ahead) const;
    std::size_t queue_capacity() const;
    std::size_t position_of(rank order) const;
    std::optional<inbound_id> find_preemptible(rank order) const;
    bool preempt_for(const admission_entry& entry, admission_result& result);
    void enqueue(const admission_entry& entry);
    void start(const admission_entry& entry, admission_result& result);
    void start_waiting(instant now, admission_result& result);
    void shed(const admission_entry& entry, outcome_reason reason, admission_result& result);
    void release(inbound_id id);

    admission_settings settings_;
    concurrency_limit limit_;
    level_tracker level_;
    double warm_up_share_ = 1.0;
    std::uint64_t next_arrival_ = 0;
    std::uint64_t bytes_held_ = 0;
    std::map<queue_key, admission_entry> queue_;
    std::map<inbound_id, queue_key> queued_ids_;
    std::map<inbound_id, admission_entry> running_;
};

} // namespace fescuedyke

#endif
