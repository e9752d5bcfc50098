#include "http_connection_fixture.h"

namespace fescuedyke {
namespace {

// Guards against requests that are cut off behind a response that ends with its connection.
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

// Guards against finished responses that are discarded because a later response breaks off.
TEST_F(http_connection_end, a_response_that_breaks_off_discards_no_earlier_response)
{
    caller c(small_receive_buffer);
    c.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(wait_for_requests(3));
    std::unique_ptr<body_writer> body = answer_streamed("/2");
    body->write("part");
    answer("/1", std::string(long_body_bytes, 'x') + "end");
    settle();
    body.reset();
    settle();
    EXPECT_EQ(cancelled_, std::vector<exchange_id>{requests_["/3"].exchange});
    receive_to_end(c);
    EXPECT_TRUE(c.ended());
    EXPECT_NE(c.received().find("xend"), std::string::npos) << c.received().size();
    // The response that broke off lacks its last chunk.
    EXPECT_EQ(c.received().find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a response without a length that broke off and looks complete.
TEST_F(http_connection_end, a_response_without_a_length_that_breaks_off_ends_with_a_reset)
{
    caller c;
    c.send("GET /1 HTTP/1.0\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    std::unique_ptr<body_writer> body = answer_streamed("/1");
    body->write("part");
    ASSERT_TRUE(receive_text(c, "part"));
    body.reset();
    turn_until([&] {
        pass_time(millis(500));
        c.receive(1);
        return c.failed() || c.ended();
    });
    EXPECT_TRUE(c.failed());
    EXPECT_FALSE(c.ended());
}

// Guards against a response that looks complete, because its connection is closed before its end.
TEST_F(http_connection_end, a_response_without_a_length_is_reset_when_its_connection_is_closed)
{
    caller c;
    c.send("GET /1 HTTP/1.0\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    const std::unique_ptr<body_writer> body = answer_streamed("/1");
    body->write("part");
    ASSERT_TRUE(receive_text(c, "part"));
    server_.reset();
    receive_to_end(c);
    EXPECT_TRUE(c.failed());
    EXPECT_FALSE(c.ended());
}

// Guards against memory that grows without bound while a caller sends a chunk head without end.
TEST_F(http_connection_end, a_chunk_head_without_end_is_rejected)
{
    constexpr std::size_t part_bytes = 16U << 10U;
    constexpr std::size_t max_parts = 64;
    caller c;
    c.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;a=");
    for (std::size_t i = 0; i < max_parts && c.received().empty(); ++i) {
        c.send(std::string(part_bytes, 'x'));
        settle();
        c.receive(part_bytes);
    }
    EXPECT_EQ(c.received().substr(0, 12), "HTTP/1.1 400");
}

// Guards against a connection that is held for ever by a short body that stalls.
TEST_F(http_connection_end, a_short_body_that_stalls_is_refused_as_not_run)
{
    caller c;
    c.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart");
    settle();
    pass_time(http_limits().idle_timeout + millis(1000));
    receive_to_end(c);
    EXPECT_EQ(c.received().substr(0, 12), "HTTP/1.1 408");
    EXPECT_TRUE(requests_.empty());
}

// Guards against a stop that lasts its whole limit, because callers do not close their connections.
TEST_F(http_connection_end, a_connection_that_waits_for_its_caller_has_no_open_request)
{
    caller c;
    c.send(get("/1", "Connection: close\r\n"));
    ASSERT_TRUE(wait_for_requests(1));
    EXPECT_TRUE(server_->has_open_requests());
    answer("/1", "one");
    receive_to_end(c);
    EXPECT_FALSE(server_->has_open_requests());
    EXPECT_FALSE(server_->idle());
}

// Guards against a drain that cuts off pipelined requests that were passed on.
TEST_F(http_connection_end, a_drain_answers_every_open_request_and_closes_with_the_last_one)
{
    caller c;
    c.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(wait_for_requests(3));
    server_->begin_drain();
    c.send(get("/4"));
    settle();
    answer("/2", "two");
    answer("/1", "one");
    settle();
    answer("/3", "three");
    receive_to_end(c);
    EXPECT_TRUE(cancelled_.empty());
    EXPECT_TRUE(c.ended());
    EXPECT_EQ(count_of(c.received(), close_header), 1U);
    EXPECT_LT(c.received().find("one"), c.received().find("two"));
    EXPECT_LT(c.received().find("two"), c.received().find(close_header));
    EXPECT_NE(c.received().find("three"), std::string::npos);
    // The request behind the last one is not read, so that the caller can send it again.
    EXPECT_EQ(requests_.count("/4"), 0U);
}

// Guards against a drain that cuts off a request of which a part was received before.
TEST_F(http_connection_end, a_partly_received_request_is_the_last_one_of_a_drain)
{
    caller c;
    c.send(get("/1") + "GET /2 HTT");
    ASSERT_TRUE(wait_for_requests(1));
    server_->begin_drain();
    answer("/1", "one");
    ASSERT_TRUE(receive_text(c, "one"));
    EXPECT_EQ(count_of(c.received(), close_header), 0U);
    c.send("P/1.1\r\nHost: a\r\n\r\n" + get("/3"));
    ASSERT_TRUE(wait_for_requests(2));
    settle();
    answer("/2", "two");
    receive_to_end(c);
    EXPECT_NE(c.received().find("two"), std::string::npos);
    EXPECT_EQ(count_of(c.received(), close_header), 1U);
    EXPECT_EQ(requests_.size(), 2U);
    EXPECT_TRUE(cancelled_.empty());
}

// Guards against requests that are passed on during a drain behind the last one.
TEST_F(http_connection_end, an_idle_connection_serves_one_more_request_in_a_drain)
{
    caller c;
    turn_until([&] { return server_->connections() == 1; });
    server_->begin_drain();
    c.send(get("/1") + get("/2"));
    ASSERT_TRUE(wait_for_requests(1));
    settle();
    answer("/1", "one");
    receive_to_end(c);
    EXPECT_NE(c.received().find("one"), std::string::npos);
    EXPECT_EQ(count_of(c.received(), close_header), 1U);
    EXPECT_EQ(requests_.size(), 1U);
    EXPECT_TRUE(cancelled_.empty());
}

// Guards against a drain that marks a response whose head was queued as the last one.
TEST_F(http_connection_end, a_drain_during_a_streamed_response_leaves_one_more_request)
{
    caller c;
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    std::unique_ptr<body_writer> body = answer_streamed("/1");
    ASSERT_TRUE(receive_text(c, "\r\n\r\n"));
    server_->begin_drain();
    c.send(get("/2") + get("/3"));
    ASSERT_TRUE(wait_for_requests(2));
    body->write("one");
    body->finish();
    answer("/2", "two");
    receive_to_end(c);
    EXPECT_NE(c.received().find("one"), std::string::npos);
    EXPECT_NE(c.received().find("two"), std::string::npos);
    EXPECT_EQ(requests_.size(), 2U);
    EXPECT_TRUE(cancelled_.empty());
}

// Guards against responses that are discarded, because the rest of a body is malformed.
TEST_F(http_connection_end, a_malformed_rest_of_an_answered_request_discards_no_response)
{
    caller c;
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    const std::string part(700U << 10U, 'x');
    std::string upload =
        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\naf000\r\n" + part +
        "\r\nno size\r\n\r\n";
    upload.erase(0, c.send(upload));
    turn_until([&] {
        upload.erase(0, c.send(upload));
        return upload.empty() && requests_.count("/2") == 1;
    });
    answer("/2", "two");
    std::string bytes(64U << 10U, '\0');
    const std::shared_ptr<body_reader> reader = requests_["/2"].request.body_stream;
    ASSERT_NE(reader, nullptr);
    const std::uint64_t pass = reader->rewind({});
    turn_until([&] {
        reader->read(pass, bytes.data(), bytes.size());
        return reader->state(pass) == body_state::aborted;
    });
    answer("/1", "one");
    receive_to_end(c);
    EXPECT_TRUE(cancelled_.empty());
    EXPECT_NE(c.received().find("one"), std::string::npos);
    EXPECT_NE(c.received().find("two"), std::string::npos);
}

// Guards against open requests that are cut off because the body of a later one stalls.
TEST_F(http_connection_end, a_body_that_stalls_cuts_off_no_other_request)
{
    caller c;
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    c.send("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\npart");
    ASSERT_TRUE(wait_for_requests(2));
    pass_time(millis(70'000));
    ASSERT_EQ(cancelled_.size(), 1U);
    EXPECT_EQ(cancelled_.front(), requests_["/2"].exchange);
    answer("/1", "one");
    receive_to_end(c);
    EXPECT_NE(c.received().find("one"), std::string::npos);
    EXPECT_NE(c.received().find("HTTP/1.1 504"), std::string::npos);
}

// Guards against a process that ends while a response is still being sent.
TEST_F(http_connection_end, the_server_is_idle_only_when_the_last_byte_is_sent)
{
    caller c(small_receive_buffer);
    EXPECT_TRUE(server_->idle());
    c.send("GET /1 HTT");
    turn_until([&] { return !server_->idle(); });
    EXPECT_FALSE(server_->idle());
    c.send("P/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    EXPECT_FALSE(server_->idle());
    answer("/1", std::string(long_body_bytes, 'x') + "end");
    settle();
    EXPECT_EQ(server_->open_exchanges(), 0U);
    EXPECT_FALSE(server_->idle());
    EXPECT_TRUE(receive_text(c, "xend"));
    EXPECT_TRUE(turn_until([&] { return server_->idle(); }));

    c.send(get("/2"));
    ASSERT_TRUE(wait_for_requests(2));
    std::unique_ptr<body_writer> body = answer_streamed("/2");
    ASSERT_TRUE(receive_text(c, "chunked"));
    EXPECT_FALSE(server_->idle());
    body->finish();
    EXPECT_TRUE(turn_until([&] { return server_->idle(); }));
}

// Guards against a close that resets the connection while its last response is still on its way.
TEST_F(http_connection_end, a_caller_that_reads_late_gets_the_whole_last_response)
{
    caller c(small_receive_buffer);
    c.send(get("/1", std::string(close_header) + "\r\n"));
    ASSERT_TRUE(wait_for_requests(1));
    c.send(get("/2"));
    answer("/1", std::string(long_body_bytes, 'x') + "end");
    settle();
    receive_until(
        c, [] { return false; }, 16U << 10U);
    EXPECT_TRUE(c.ended());
    EXPECT_FALSE(c.failed());
    EXPECT_NE(c.received().find("xend"), std::string::npos) << c.received().size();
    EXPECT_EQ(requests_.size(), 1U);
    EXPECT_FALSE(server_->idle());
    c.close();
    EXPECT_TRUE(turn_until([&] { return server_->connections() == 0; }));
    EXPECT_TRUE(server_->idle());
}

// Guards against a connection that stays open for ever because its caller does not close it.
TEST_F(http_connection_end, a_caller_that_does_not_close_its_end_is_closed_after_a_time)
{
    caller c;
    c.send(get("/1", std::string(close_header) + "\r\n"));
    ASSERT_TRUE(wait_for_requests(1));
    answer("/1", "one");
    receive_to_end(c);
    EXPECT_TRUE(c.ended());
    EXPECT_EQ(server_->connections(), 1U);
    // The time begins when the caller's side has acknowledged everything.
    turn_until([&] {
        pass_time(millis(500));
        return server_->connections() == 0;
    });
    EXPECT_EQ(server_->connections(), 0U);
}

// Guards against a close of idle connections that discards a request that has arrived.
TEST_F(http_connection_end,
       a_request_that_has_arrived_keeps_its_connection_from_being_closed_as_idle)
{
    caller c(small_receive_buffer);
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    answer("/1", std::string(long_body_bytes, 'x') + "one.");
    receive_until(
        c, [&] { return server_->connections_with_unsent_bytes() == 0; }, 16U << 10U);
    c.send(get("/2"));
    server_->close_idle();
    wait_for_requests(2);
    answer("/2", "two.");
    EXPECT_TRUE(receive_text(c, "two."));
    EXPECT_NE(c.received().find("xone."), std::string::npos) << c.received().size();

    pass_time(millis(59'000));
    loop_.post([&] {
        c.send(get("/3"));
        clock_.advance(millis(2000));
    });
    wait_for_requests(3);
    answer("/3", "three.");
    EXPECT_TRUE(receive_text(c, "three."));
    server_->close_idle();
    receive_to_end(c);
    EXPECT_TRUE(c.ended());
}

// Guards against a connection that is closed as idle right after a response that took long to send.
TEST_F(http_connection_end, a_connection_is_idle_from_its_last_sent_byte_on)
{
    caller c(small_receive_buffer);
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    answer("/1", std::string(long_body_bytes, 'x') + "one.");
    settle();
    pass_time(millis(70'000));
    ASSERT_TRUE(receive_text(c, "xone."));
    turn_until([&] { return server_->connections_with_unsent_bytes() == 0; });
    pass_time(millis(1000));
    c.send(get("/2"));
    EXPECT_TRUE(wait_for_requests(2));
    answer("/2", "two.");
    EXPECT_TRUE(receive_text(c, "two."));
    pass_time(millis(70'000));
    receive_to_end(c);
    EXPECT_TRUE(c.ended());
}

// Guards against a request that is cut off, because the server did not read its body.
TEST_F(http_connection_end, a_body_that_waits_for_room_does_not_time_out)
{
    caller c;
    const std::size_t size = 24U << 20U;
    std::string upload = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) +
                         "\r\n\r\n" + std::string(size, 'x');
    upload.erase(0, c.send(upload));
    ASSERT_TRUE(wait_for_requests(1));
    for (int i = 0; i < 10; ++i) {
        upload.erase(0, c.send(upload));
        settle();
    }
    pass_time(millis(70'000));
    ASSERT_TRUE(cancelled_.empty());
    const std::shared_ptr<body_reader> reader = requests_["/1"].request.body_stream;
    const std::uint64_t pass = reader->rewind({});
    std::string bytes(64U << 10U, '\0');
    std::size_t received = 0;
    loop_.post([&] {
        received += reader->read(pass, bytes.data(), bytes.size());
        while (reader->can_rewind()) {
            received += reader->read(pass, bytes.data(), bytes.size());
        }
        clock_.advance(millis(500));
    });
    turn();
    EXPECT_TRUE(cancelled_.empty());
    turn_until([&] {
        upload.erase(0, c.send(upload));
        received += reader->read(pass, bytes.data(), bytes.size());
        return reader->state(pass) != body_state::open;
    });
    EXPECT_EQ(received, size);
    answer("/1", "one.");
    EXPECT_TRUE(receive_text(c, "one."));
}

// Guards against a caller that waits for ever for the permission to send its body.
TEST_F(http_connection_end, an_expected_continue_follows_the_responses_to_earlier_requests)
{
    caller c;
    c.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(1));
    c.send("POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    settle();
    answer("/1", "one.");
    ASSERT_TRUE(receive_text(c, "one."));
    EXPECT_TRUE(receive_text(c, "100 Continue"));
    EXPECT_LT(c.received().find("one."), c.received().find("100 Continue"));
    c.send("abc");
    ASSERT_TRUE(wait_for_requests(2));
    answer("/2", "two.");
    EXPECT_TRUE(receive_text(c, "two."));
    EXPECT_EQ(count_of(c.received(), "100 Continue"), 1U);
}

// Guards against an exchange that belongs to a connection that no longer exists.
TEST_F(http_connection_end, a_request_whose_continue_cannot_be_sent_is_not_dispatched)
{
    {
        caller c;
        c.send("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
               "9000000\r\n\r\n");
        c.reset();
    }
    settle();
    turn_until([&] { return server_->connections() == 0; });
    EXPECT_EQ(server_->open_exchanges(), 0U);
    EXPECT_EQ(server_->buffered_bytes(), 0U);
}

} // namespace
} // namespace fescuedyke
