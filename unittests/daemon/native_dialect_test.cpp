#include "fescuedyke/daemon/http_dialect.h"
#include "fescuedyke/node/caller_headers.h"

#include <gtest/gtest.h>

namespace fescuedyke {
namespace {

// Guards against a response to another call that is accepted although it says so (issue 25, report
// 1).
TEST(native_dialect, a_response_that_repeats_a_token_must_repeat_that_of_its_call)
{
    const native_dialect d;
    dispatch_call call;
    call.request = std::make_shared<http_request>();
    call.token = "17";
    const target_request r = d.to_target(call);
    ASSERT_NE(find_header(r.extra_headers, call_header), nullptr);
    EXPECT_EQ(*find_header(r.extra_headers, call_header), "17");
    ASSERT_TRUE(r.optional_echo.has_value());
    EXPECT_EQ(r.optional_echo->name, call_header);
    EXPECT_EQ(r.optional_echo->value, "17");
    EXPECT_FALSE(r.required_echo.has_value());
}

} // namespace
} // namespace fescuedyke
