#include "growing_group.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fescuedyke {

using cluster::control_cluster;

std::vector<std::string> group_seeds()
{
    return {"m1", "m2", "m3"};
}

control_settings growing_group_settings()
{
    control_settings settings;
    settings.raft.desired_voters = 5;
    settings.assigns_keys = false;
    return settings;
}

std::set<std::string> voters_of(control_cluster& c)
{
    std::set<std::string> voters;
    const auto leader = c.leader();
    if (!leader) {
        return voters;
    }
    for (const member_entry& m : c.core(*leader).raft().log().members()) {
        if (m.voter) {
            voters.insert(m.id.name);
        }
    }
    return voters;
}

bool wait_for_voters(control_cluster& c, const std::set<std::string>& expected)
{
    return c.run_until(max_wait, [&] { return voters_of(c) == expected; });
}

void start_group_of_five(control_cluster& c)
{
    ASSERT_TRUE(c.add_member("m4", group_seeds(), true).ok());
    ASSERT_TRUE(c.add_member("m5", group_seeds(), true).ok());
    ASSERT_TRUE(wait_for_voters(c, {"m1", "m2", "m3", "m4", "m5"}));
    c.end_bootstrap();
}

document_change make_document_change(std::uint64_t based_on, std::uint64_t version,
                                     const std::string& text)
{
    document_change change;
    change.based_on = based_on;
    change.version = version;
    change.text = std::make_shared<const std::string>(text);
    change.change_id = std::to_string(based_on) + text;
    return change;
}

std::optional<change_result> commit_change(control_cluster& c, const document_change& change)
{
    static std::uint64_t last_request = 1'000'000;
    std::optional<change_result> result;
    c.run_until(max_wait, [&] {
        const auto leader = c.leader();
        if (!leader) {
            return false;
        }
        const std::uint64_t request = ++last_request;
        c.propose_document(*leader, request, change);
        c.run_until(millis(1000), [&] { return c.answers().count(request) != 0; });
        const auto found = c.answers().find(request);
        if (found != c.answers().end() && found->second.outcome == change_outcome::committed) {
            result = found->second.result;
        }
        return result.has_value();
    });
    return result;
}

bool votes_with_its_disk(control_cluster& c, const std::string& name)
{
    const auto leader = c.leader();
    if (!leader || !c.is_up(name)) {
        return false;
    }
    const member_list& members = c.core(*leader).raft().log().members();
    return std::any_of(members.begin(), members.end(), [&](const member_entry& m) {
        return m.voter && m.id == c.core(name).raft().self();
    });
}

} // namespace fescuedyke
