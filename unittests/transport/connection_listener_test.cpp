#include "http_connection_fixture.h"

#include <sys/resource.h>

/// \file
/// Tests of connections that cannot be accepted at once.

namespace fescuedyke {
namespace {

/// Lets the process open no further descriptor.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(STDERR_FILENO);
        ::close(lowest_free);
        const rlimit none{static_cast<rlim_t>(lowest_free), before_.rlim_max};
        EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
    }
    ~descriptor_shortage() { ::setrlimit(RLIMIT_NOFILE, &before_); }

    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit before_{};
};

using connection_listener_test = http_connection_end;

// Guards against a process that does nothing but fail to accept connections while it has no
// descriptor left, and so reads its other sockets late.
TEST_F(connection_listener_test, a_connection_without_a_descriptor_is_tried_again_after_a_time)
{
    caller c;
    c.send(get("/1"));
    {
        const descriptor_shortage shortage;
        turn(20);
        EXPECT_EQ(server_->failed_accepts(), 1U);
        EXPECT_TRUE(requests_.empty());
        clock_.advance(millis(50));
        turn(20);
        EXPECT_EQ(server_->failed_accepts(), 2U);
    }
    clock_.advance(millis(50));
    ASSERT_TRUE(wait_for_requests(1));
    answer("/1", "one");
    EXPECT_TRUE(receive_text(c, "one"));
    EXPECT_EQ(server_->failed_accepts(), 2U);
}

// Guards against a listener that is watched again after it was closed.
TEST_F(connection_listener_test, a_listener_that_is_stopped_during_a_shortage_stays_closed)
{
    caller c;
    {
        const descriptor_shortage shortage;
        turn(5);
        ASSERT_EQ(server_->failed_accepts(), 1U);
        server_->stop_listening();
    }
    clock_.advance(millis(200));
    turn(5);
    EXPECT_EQ(server_->connections(), 0U);
    EXPECT_EQ(server_->failed_accepts(), 1U);
}

} // namespace
} // namespace fescuedyke
