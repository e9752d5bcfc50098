#include "fescuedyke/daemon/dispatch_hold.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

dispatch_call make_call(std::uint64_t id)
{
    dispatch_call call;
    call.call = inbound_id(id);
    call.time_left = millis(1000);
    return call;
}

TEST(dispatch_hold, calls_pass_unless_they_are_held)
{
    dispatch_hold hold;
    EXPECT_FALSE(hold.try_hold(make_call(1), instant(0)));
    hold.begin();
    EXPECT_TRUE(hold.try_hold(make_call(2), instant(0)));
    EXPECT_EQ(hold.end(instant(0)).size(), 1U);
    EXPECT_FALSE(hold.try_hold(make_call(3), instant(0)));
}

// Guards against a target that is handed more time than the caller has left.
TEST(dispatch_hold, a_released_call_has_less_time_left)
{
    dispatch_hold hold;
    hold.begin();
    hold.try_hold(make_call(1), instant(0));
    hold.try_hold(make_call(2), instant(50));
    const std::vector<dispatch_call> released = hold.end(instant(200));
    ASSERT_EQ(released.size(), 2U);
    EXPECT_EQ(released[0].call, inbound_id(1));
    EXPECT_EQ(released[0].time_left, millis(800));
    EXPECT_EQ(released[1].time_left, millis(850));
}

// Guards against a call that waits for a target although another one could serve it.
TEST(dispatch_hold, a_call_is_given_up_after_some_time)
{
    dispatch_hold hold;
    hold.begin();
    hold.try_hold(make_call(1), instant(0));
    hold.try_hold(make_call(2), instant(200));
    EXPECT_TRUE(hold.take_expired(instant(299)).empty());
    const std::vector<inbound_id> expired = hold.take_expired(instant(300));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0], inbound_id(1));
    EXPECT_EQ(hold.end(instant(300)).size(), 1U);
}

// Guards against a call that is sent after its caller has left.
TEST(dispatch_hold, a_cancelled_call_is_not_released)
{
    dispatch_hold hold;
    hold.begin();
    hold.try_hold(make_call(1), instant(0));
    EXPECT_TRUE(hold.cancel(inbound_id(1)));
    EXPECT_FALSE(hold.cancel(inbound_id(1)));
    EXPECT_TRUE(hold.end(instant(1)).empty());
}

} // namespace
} // namespace fescuedyke
