#ifndef FESCUEDYKE_CODEC_COMMON_FIELDS_H
#define FESCUEDYKE_CODEC_COMMON_FIELDS_H

#include "fescuedyke/account/account.h"
#include "fescuedyke/call/context.h"
#include "fescuedyke/codec/archive.h"
#include "fescuedyke/consensus/messages.h"
#include "fescuedyke/membership/node_record.h"
#include "fescuedyke/once/ownership.h"
#include "fescuedyke/once/run_registry.h"

/// \file
/// Serialization of the structs of the lower-level libraries. Include only in source files.

namespace fescuedyke {

/// Longest accepted host of an endpoint, in bytes: the longest name of a host.
constexpr std::size_t max_host_bytes = 253;

template <> struct enum_size<outcome_kind> {
    static constexpr std::uint64_t value = 3;
};
template <> struct enum_size<outcome_reason> {
    static constexpr std::uint64_t value = outcome_reason_count;
};
template <> struct enum_size<priority_class> {
    static constexpr std::uint64_t value = priority_class_count;
};
template <> struct enum_size<account_side> {
    static constexpr std::uint64_t value = 2;
};
template <> struct enum_size<entry_kind> {
    static constexpr std::uint64_t value = 3;
};
template <> struct enum_size<target_state> {
    static constexpr std::uint64_t value = 2;
};
template <> struct enum_size<run_state> {
    static constexpr std::uint64_t value = 4;
};

inline void fields(archive_writer& a, rank& r)
{
    std::uint32_t value = r.value();
    a(value);
}
inline void fields(archive_reader& a, rank& r)
{
    std::uint32_t value = 0;
    a(value);
    r = rank::from_value(value);
}
template <class A> void fields(A& a, header& x)
{
    a(x.name, x.value);
    a.check(x.name.size() <= max_header_bytes && x.value.size() <= max_header_bytes);
}
template <class A> void fields(A& a, http_response& x)
{
    a(x.status, x.headers, x.body);
    // A record without a response has the status 0.
    a.check(x.status == 0 || is_final_status(x.status));
}
template <class A> void fields(A& a, outcome& x)
{
    a(x.kind, x.reason, x.retry_helps, x.retry_after);
}
template <class A> void fields(A& a, load_report& x)
{
    a(x.level, x.chain_level, x.in_progress, x.limit, x.hops_below, x.expected_time, x.flow_time,
      x.flow_deviation, x.queue_time, x.time_at_node, x.rate_limit, x.target_leaving);
}
template <class A> void fields(A& a, call_context& x)
{
    a(x.call, x.root, x.flow, x.origin, x.service, x.priority_rank, x.attempt, x.depth, x.time_left,
      x.sent, x.lent_retries, x.idempotent, x.keyless, x.key, x.client_attempt, x.target_identity,
      x.target_rate_limit, x.labels);
    a.check(x.target_identity.size() <= max_header_bytes);
}
template <class A> void fields(A& a, endpoint& x)
{
    a(x.host, x.port);
    a.check(x.host.size() <= max_host_bytes);
}
template <class A> void fields(A& a, locality& x)
{
    a(x.region, x.zone);
}
template <class A> void fields(A& a, target_announcement& x)
{
    a(x.service, x.identity, x.target_incarnation, x.labels, x.slots, x.state);
    a.check(x.identity.size() <= max_header_bytes);
}
template <class A> void fields(A& a, node_record& x)
{
    a(x.instance, x.node_incarnation, x.sequence, x.address, x.location, x.owner, x.target);
}
template <class A> void fields(A& a, node_status& x)
{
    a(x.record, x.live, x.active_config_version);
}
template <class A> void fields(A& a, member_delta& x)
{
    a(x.epoch, x.from_version, x.version, x.changes);
}
template <class A> void fields(A& a, view_delta& x)
{
    a(x.epoch, x.from_version, x.version, x.changes);
}
template <class A> void fields(A& a, bucket_grant& x)
{
    a(x.owner, x.owner_incarnation, x.epoch, x.changed_in, x.former_owner, x.former_incarnation);
}
template <class A> void fields(A& a, bucket_table& x)
{
    a(x.version, x.homes);
}
template <class A> void fields(A& a, run_record& x)
{
    a(x.state, x.created, x.client_attempt, x.response_stored, x.response);
}
template <class A> void fields(A& a, account_key& x)
{
    a(x.side, x.owner, x.service, x.cls);
}
template <class A> void fields(A& a, account_row& x)
{
    a(x.received, x.answered, x.not_run, x.unknown, x.in_progress);
}
template <class A> void fields(A& a, unknown_outcome& x)
{
    a(x.row_key, x.key, x.reason, x.key_created);
}
template <class A> void fields(A& a, member_id& x)
{
    a(x.name, x.disk_id);
}
template <class A> void fields(A& a, member_entry& x)
{
    a(x.id, x.address, x.api_address, x.voter);
}
template <class A> void fields(A& a, log_entry& x)
{
    a(x.index, x.term, x.kind, x.data, x.members);
}
template <class A> void fields(A& a, hard_state& x)
{
    a(x.term, x.voted_for);
}
template <class A> void fields(A& a, snapshot& x)
{
    a(x.index, x.term, x.members, x.data);
}
template <class A> void fields(A& a, vote_request& x)
{
    a(x.pre_vote, x.leadership_transfer, x.term, x.last_index, x.last_term, x.voter_disk_id);
}
template <class A> void fields(A& a, vote_reply& x)
{
    a(x.pre_vote, x.term, x.granted);
}
template <class A> void fields(A& a, append_request& x)
{
    a(x.term, x.previous_index, x.previous_term, x.commit_index, x.entries, x.follower_disk_id,
      x.round, x.quorum_confirmed);
}
template <class A> void fields(A& a, append_reply& x)
{
    a(x.term, x.success, x.index, x.round);
}
template <class A> void fields(A& a, snapshot_chunk& x)
{
    a(x.term, x.index, x.index_term, x.members, x.offset, x.total, x.data, x.follower_disk_id);
}
template <class A> void fields(A& a, snapshot_reply& x)
{
    a(x.term, x.index, x.received);
}
template <class A> void fields(A& a, join_request& x)
{
    a(x.address, x.api_address);
}
template <class A> void fields(A& a, timeout_now& x)
{
    a(x.term);
}
template <class A> void fields(A& a, consensus_message& x)
{
    a(x.from, x.from_address, x.body);
}

} // namespace fescuedyke

#endif
