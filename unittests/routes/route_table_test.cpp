#include "fescuedyke/routes/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace fescuedyke {
namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route r;
    r.name = name;
    r.host = host;
    r.prefix = prefix;
    r.effective_policy.deadline = millis(1000);
    r.latency_objective = millis(500);
    r.weighted_services.push_back({service_name("s"), 1});
    return r;
}

TEST(route_table, finds_the_longest_prefix_of_the_host)
{
    const route_table table({make_route("short", "a.example", "/x/"),
                             make_route("long", "a.example", "/x/y/"),
                             make_route("other", "b.example", "/x/y/z/")});
    EXPECT_EQ(table.find("a.example", "/x/y/z/q")->name, "long");
    EXPECT_EQ(table.find("A.Example:8080", "/x/q?/x/y/")->name, "short");
    EXPECT_EQ(table.find("a.example", "/x"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/y/"), nullptr);
}

TEST(route_table, invalid_routes_are_rejected)
{
    const std::vector<service_name> services = {service_name("s")};
    EXPECT_TRUE(check_routes({make_route("r", "h", "/p/")}, services).ok());
    EXPECT_FALSE(check_routes({make_route("r", "", "/p/")}, services).ok());
    EXPECT_FALSE(check_routes({make_route("r", "h", "/p")}, services).ok());
    EXPECT_FALSE(check_routes({make_route("r", "h", "/p/")}, {service_name("t")}).ok());
    route zero_weights = make_route("r", "h", "/p/");
    zero_weights.weighted_services = {{service_name("s"), 0}, {service_name("s"), 0}};
    EXPECT_FALSE(check_routes({zero_weights}, services).ok());
    route slow = make_route("r", "h", "/p/");
    slow.latency_objective = millis(61'000);
    EXPECT_FALSE(check_routes({slow}, services).ok());
    slow.latency_objective = millis(60'999);
    EXPECT_TRUE(check_routes({slow}, services).ok());
}

RC_GTEST_PROP(weighted_service_picker, shares_stay_close_to_their_weights_at_any_time,
              (std::uint16_t a, std::uint16_t b, std::uint16_t c))
{
    RC_PRE(a + b + c > 0);
    route r = make_route("r", "h", "/p/");
    const std::vector<double> weights = {double(a), double(b), double(c)};
    r.weighted_services.clear();
    for (std::size_t i = 0; i < weights.size(); ++i) {
        r.weighted_services.push_back({service_name("s" + std::to_string(i)), weights[i]});
    }
    random_source random(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    weighted_service_picker picker(random);
    std::map<std::string, int> pick_counts;
    constexpr int requests = 400;
    constexpr double max_deviation = 0.05;
    for (int n = 1; n <= requests; ++n) {
        ++pick_counts[picker.pick(r).value()];
        if (n < 100) {
            continue;
        }
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const double expected = weights[i] / (double(a) + double(b) + double(c));
            const double observed = double(pick_counts["s" + std::to_string(i)]) / n;
            RC_ASSERT(std::abs(observed - expected) < max_deviation);
        }
    }
}

} // namespace
} // namespace fescuedyke
