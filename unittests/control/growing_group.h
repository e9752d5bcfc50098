#ifndef FESCUEDYKE_UNITTESTS_GROWING_GROUP_H
#define FESCUEDYKE_UNITTESTS_GROWING_GROUP_H

#include "cluster/cluster.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// A simulated group of five voters that replaces members which are lost.

namespace fescuedyke {

/// Longer than any expected wait.
constexpr millis max_wait{20'000};
/// Time after its return or start during which an instance counts as lost.
constexpr millis catch_up_time{4000};

/// Returns the names of the initial members.
std::vector<std::string> group_seeds();

control_settings growing_group_settings();

/// Returns the names of the voters in the log of the leader; empty if there is no leader.
std::set<std::string> voters_of(cluster::control_cluster& c);
/// Returns whether the voters become \p expected within max_wait.
bool wait_for_voters(cluster::control_cluster& c, const std::set<std::string>& expected);
/// Returns whether the current leader lists the disk that the instance has now as that of a voter.
bool votes_with_its_disk(cluster::control_cluster& c, const std::string& name);

/// Starts a group of five voters: three initial members and two that join.
void start_group_of_five(cluster::control_cluster& c);

document_change make_document_change(std::uint64_t based_on, std::uint64_t version,
                                     const std::string& text);

/// Sends the change to the current leader and retries until it is committed, as an operator does.
/// Returns nullopt if it is not committed in time.
std::optional<change_result> commit_change(cluster::control_cluster& c,
                                           const document_change& change);

} // namespace fescuedyke

#endif
