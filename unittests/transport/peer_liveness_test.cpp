#include "raw_socket.h"

#include "fescuedyke/transport/peer_client.h"
#include "fescuedyke/transport/peer_server.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace fescuedyke {
namespace {

/// Longer than any timeout of the client: it expires only if a request never ends.
constexpr millis request_timeout{20'000};

class peer_liveness : public testing::Test {
protected:
    /// Sends a request and runs the loop until it has ended.
    std::optional<peer_result> send(const endpoint& address)
    {
        std::optional<peer_result> result;
        client_.send(address, "/x", {"body", nullptr}, [&](peer_result r) {
            result = std::move(r);
            loop_.stop();
        });
        const timer_id timer = loop_.run_after(request_timeout, [&] { loop_.stop(); });
        loop_.run();
        loop_.cancel(timer);
        return result;
    }

    /// Calls \p work in the loop, which another thread runs, and waits for it.
    void run_in_loop(const std::function<void()>& work)
    {
        std::promise<void> done;
        loop_.post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    system_clock clock_;
    event_loop loop_{clock_};
    peer_client client_{loop_};
};

TEST_F(peer_liveness, a_request_to_an_unresponsive_peer_fails)
{
    // The kernel accepts the connection and the bytes, but no process reads them.
    const endpoint unresponsive{"127.0.0.1", 27311};
    int fd = -1;
    ASSERT_TRUE(listen_on(unresponsive, fd).ok());
    const std::optional<peer_result> result = send(unresponsive);
    ::close(fd);
    ASSERT_TRUE(result.has_value()) << "the request never ended";
    ASSERT_TRUE(std::holds_alternative<stream_failure>(*result));
    EXPECT_EQ(std::get<stream_failure>(*result), stream_failure::lost);
}

TEST_F(peer_liveness, a_request_fails_as_never_processed_if_the_connection_is_refused)
{
    const std::optional<peer_result> result = send({"127.0.0.1", 27312});
    ASSERT_TRUE(result.has_value());
    ASSERT_TRUE(std::holds_alternative<stream_failure>(*result));
    EXPECT_EQ(std::get<stream_failure>(*result), stream_failure::never_processed);
}

TEST_F(peer_liveness, a_late_response_is_received_if_the_peer_answers_pings)
{
    const endpoint address{"127.0.0.1", 27313};
    std::unique_ptr<peer_server> server;
    server = std::make_unique<peer_server>(
        loop_, peer_server::handlers{[&](peer_stream_id id, const std::string&, const h2_message&) {
                                         loop_.run_after(millis(4000), [&server, id] {
                                             server->respond(id, {"late", nullptr});
                                         });
                                     },
                                     [](peer_stream_id) {}, [](std::uint64_t) { return true; }});
    ASSERT_TRUE(server->listen(address).ok());
    const std::optional<peer_result> result = send(address);
    ASSERT_TRUE(result.has_value());
    ASSERT_TRUE(std::holds_alternative<h2_message>(*result));
    EXPECT_EQ(std::get<h2_message>(*result).bytes, "late");
}

// Guards against replies that are lost, because the server resets a connection at its end.
TEST_F(peer_liveness, a_server_that_shuts_down_lets_the_peer_close_the_connection)
{
    const endpoint address{"127.0.0.1", 27314};
    peer_server server(loop_, {[](peer_stream_id, const std::string&, const h2_message&) {},
                               [](peer_stream_id) {}, [](std::uint64_t) { return true; }});
    ASSERT_TRUE(server.listen(address).ok());
    std::size_t connections_after_goaway = 0;
    std::size_t connections_after_close = 1;
    std::thread peer([&] {
        raw_socket c = raw_socket::connect(address.port);
        const std::string empty_settings_frame("\0\0\0\4\0\0\0\0\0", 9);
        c.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + empty_settings_frame);
        const std::string settings_acknowledgement("\0\0\0\4\1", 5);
        c.read_until(settings_acknowledgement);
        loop_.post([&] { server.shut_down(); });
        const std::string goaway("\0\0\x08\7\0", 5);
        c.read_until(goaway);
        run_in_loop([&] { connections_after_goaway = server.connections(); });
        c.close();
        while (connections_after_close > 0) {
            run_in_loop([&] { connections_after_close = server.connections(); });
        }
        loop_.stop();
    });
    loop_.run();
    peer.join();
    EXPECT_EQ(connections_after_goaway, 1U);
    EXPECT_TRUE(server.idle());
}

} // namespace
} // namespace fescuedyke
