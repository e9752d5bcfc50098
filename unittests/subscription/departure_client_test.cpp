#include "fescuedyke/subscription/departure_client.h"

#include <gtest/gtest.h>

#include <set>

namespace fescuedyke {
namespace {

const std::vector<std::string> members = {"m1", "m2", "m3", "m4"};
const target_departure departure{"a", 100, 5};

class departure_client_test : public testing::Test {
protected:
    std::vector<outgoing_departure> tick(std::int64_t at_ms, const std::string& leader = "")
    {
        return client_.tick(members, leader, instant(at_ms));
    }

    departure_client client_;
    int recorded_ = 0;
};

TEST_F(departure_client_test, a_departure_is_sent_to_the_leader_and_reported_once)
{
    client_.record(departure, [this] { ++recorded_; });
    const std::vector<outgoing_departure> sent = tick(0, "m3");
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].member, "m3");
    EXPECT_TRUE(sent[0].request.leaves);
    EXPECT_TRUE(tick(10, "m3").empty());
    client_.on_reply(sent[0].number, {true, true, "m3"});
    client_.on_reply(sent[0].number, {true, true, "m3"});
    EXPECT_EQ(recorded_, 1);
    EXPECT_TRUE(tick(10'000, "m3").empty());
}

// Guards against a departure that is never recorded, because a member that is gone or does not lead
// was asked first.
TEST_F(departure_client_test, a_departure_is_repeated_until_it_is_recorded)
{
    client_.record(departure, [this] { ++recorded_; });
    const std::uint64_t number = tick(0, "m3").at(0).number;
    client_.on_reply(number, {false, false, "m2"});
    EXPECT_EQ(tick(1, "m3").at(0).member, "m2") << "the leader is asked at once";
    client_.on_reply(number, {false, false, "m2"});
    EXPECT_TRUE(tick(2, "m3").empty()) << "it does not decide yet";
    std::set<std::string> asked;
    int leader_asked = 0;
    for (std::int64_t at_ms = 251; at_ms < 8000; at_ms += 500) {
        const std::string member = tick(at_ms, "m3").at(0).member;
        asked.insert(member);
        leader_asked += member == "m2" ? 1 : 0;
    }
    EXPECT_EQ(asked.size(), members.size());
    EXPECT_GE(leader_asked, 7);
    EXPECT_EQ(recorded_, 0);
    // The reply to an earlier attempt is as good as that to the last one.
    client_.on_reply(number, {true, true, "m2"});
    EXPECT_EQ(recorded_, 1);
}

TEST_F(departure_client_test, without_a_known_leader_all_members_are_asked_in_turn)
{
    client_.record(departure, [] {});
    std::set<std::string> asked;
    for (std::int64_t at_ms = 0; at_ms < 2000; at_ms += 500) {
        asked.insert(tick(at_ms).at(0).member);
    }
    EXPECT_EQ(asked.size(), members.size());
}

TEST_F(departure_client_test, a_later_check_replaces_an_open_one)
{
    std::vector<int> answers;
    client_.check(departure, [&](bool) { answers.push_back(1); });
    const std::uint64_t first = tick(0, "m1").at(0).number;
    client_.check({"b", 200, 1}, [&](bool departed) { answers.push_back(departed ? 3 : 2); });
    const std::uint64_t second = tick(1, "m1").at(0).number;
    client_.on_reply(first, {true, true, "m1"});
    client_.on_reply(second, {true, false, "m1"});
    EXPECT_EQ(answers, std::vector<int>({2}));
}

// Guards against memory that grows while no member decides.
TEST_F(departure_client_test, the_number_of_open_requests_is_bounded)
{
    for (std::uint64_t i = 0; i < 1000; ++i) {
        client_.record({"a", i}, [] {});
    }
    EXPECT_LE(client_.open_requests(), 64U);
    EXPECT_TRUE(client_.tick({}, "", instant(0)).empty());
}

} // namespace
} // namespace fescuedyke
