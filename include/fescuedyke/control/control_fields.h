#ifndef FESCUEDYKE_CONTROL_CONTROL_FIELDS_H
#define FESCUEDYKE_CONTROL_CONTROL_FIELDS_H

#include "fescuedyke/codec/common_fields.h"
#include "fescuedyke/control/control_state.h"
#include "fescuedyke/control/messages.h"

/// \file
/// Serialization of the structs of the control library. Include only in source files.

namespace fescuedyke {

template <> struct enum_size<change_code> {
    static constexpr std::uint64_t value = 2;
};

template <class A> void fields(A& a, policy_record& x)
{
    a(x.owner, x.name, x.yaml, x.version, x.changed_in, x.removed, x.is_private);
}
template <class A> void fields(A& a, policy_change& x)
{
    a(x.change_id, x.operator_name, x.owner, x.name, x.based_on, x.yaml, x.remove, x.is_private);
}
template <class A> void fields(A& a, document_change& x)
{
    a(x.change_id, x.based_on, x.version, x.text);
}
template <class A> void fields(A& a, route_document& x)
{
    a(x.version, x.changed_in, x.text);
}
template <class A> void fields(A& a, change_result& x)
{
    a(x.code, x.policy_version, x.version);
}
template <class A> void fields(A& a, owner_change::grant& x)
{
    a(x.bucket, x.owner, x.owner_incarnation);
}
template <class A> void fields(A& a, owner_change& x)
{
    a(x.home, x.grants);
}
template <class A> void fields(A& a, target_departure& x)
{
    a(x.identity, x.started_at_ms, x.last_sequence);
}
template <class A> void fields(A& a, departure_request& x)
{
    a(x.departure, x.leaves);
}
template <class A> void fields(A& a, departure_reply& x)
{
    a(x.decided, x.departed, x.leader);
}
template <class A> void fields(A& a, node_poll& x)
{
    a(x.record, x.active_config_version, x.owners_version, x.view_epoch, x.view_version,
      x.wants_lease);
}
template <class A> void fields(A& a, poll_reply& x)
{
    a(x.member, x.members, x.leader, x.quorum_confirmation_age, x.version, x.policies, x.document,
      x.owners_version, x.owners, x.view, x.lease);
}
template <class A> void fields(A& a, member_sync& x)
{
    a(x.member, x.known_epoch, x.known_version, x.delta);
}
template <class A> void fields(A& a, account_report& x)
{
    a(x.instance, x.node_incarnation, x.owner, x.sequence, x.reported_at, x.rows, x.unknown_keys);
}
template <class A> void fields(A& a, account_copies& x)
{
    a(x.number, x.copies);
}
template <class A> void fields(A& a, account_copies_reply& x)
{
    a(x.stored);
}

} // namespace fescuedyke

#endif
