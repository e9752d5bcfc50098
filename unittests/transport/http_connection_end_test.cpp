#include "http_connection_fixture.h"

namespace fescuedyke {
namespace {

// Guards against requests that were passed on and are cut off behind a response to an HTTP/1.0
// client whose end is the end of the connection.
TEST_F(http_connection_end,
       nothing_is_dispatched_behind_a_response_that_may_end_with_the_connection)
{
    caller c;
    c.send("GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
           "GET /2 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
           "GET /3 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    settle();
    answer("/1", "one");
    ASSERT_TRUE(wait_for_requests(2));
    settle();
    std::unique_ptr<body_writer> body = answer_streamed("/2");
    body->write("two");
    body->finish();
    receive_to_end(c);
    EXPECT_NE(c.received().find("one"), std::string::npos);
    EXPECT_NE(c.received().find("two"), std::string::npos);
    EXPECT_TRUE(c.ended());
    EXPECT_EQ(requests_.size(), 2U);
    EXPECT_TRUE(cancelled_.empty());
}

} // namespace
} // namespace fescuedyke
