#include "fescuedyke/daemon/metrics_server.h"
#include "fescuedyke/daemon/traffic_metrics.h"
#include "fescuedyke/support/clock.h"

#include "../transport/raw_socket.h"

#include <gtest/gtest.h>

#include <thread>

namespace fescuedyke {
namespace {

std::string fetch(const std::string& path)
{
    constexpr std::uint16_t port = 27351;
    system_clock clock;
    event_loop loop(clock);
    metrics_server server(loop);
    EXPECT_TRUE(server.listen(endpoint{"127.0.0.1", port}).ok());
    traffic_metrics metrics(server.registry());
    metrics.on_answered({service_name("fees"), "pay", "critical"}, outcome::answered(), 204,
                        millis(12));
    metrics.on_answered({service_name("fees"), "pay", "critical"},
                        outcome::not_run(outcome_reason::overloaded), 0, millis(1));
    metrics.on_sent(service_name("fees"), true);
    traffic_gauges gauges;
    gauges.open_inbound = 3;
    metrics.set_gauges(gauges);
    std::thread thread([&] { loop.run(); });
    raw_socket client = raw_socket::connect(port);
    client.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string response = client.read_to_end();
    loop.stop();
    thread.join();
    return response;
}

TEST(metrics_server, exports_calls_by_service_route_class_and_outcome)
{
    const std::string response = fetch("/metrics");
    for (const std::string line :
         {"HTTP/1.1 200 OK", "Content-Type: text/plain; version=0.0.4",
          "fescuedyke_calls_total{class=\"critical\",outcome=\"answered\",reason=\"none\","
          "route=\"pay\",service=\"fees\",status=\"2xx\"} 1",
          "fescuedyke_calls_total{class=\"critical\",outcome=\"not-run\",reason=\"overloaded\","
          "route=\"pay\",service=\"fees\",status=\"none\"} 1",
          "fescuedyke_call_seconds_count{outcome=\"answered\",route=\"pay\",service=\"fees\"} 1",
          "fescuedyke_attempts_total{again=\"yes\",service=\"fees\"} 1",
          "fescuedyke_open_calls{side=\"inbound\"} 3"}) {
        EXPECT_NE(response.find(line), std::string::npos) << line << "\n" << response;
    }
}

TEST(metrics_server, other_paths_are_not_found)
{
    EXPECT_EQ(fetch("/other").substr(0, 12), "HTTP/1.1 404");
}

} // namespace
} // namespace fescuedyke
