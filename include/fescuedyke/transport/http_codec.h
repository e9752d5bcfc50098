#ifndef FESCUEDYKE_TRANSPORT_HTTP_CODEC_H
#define FESCUEDYKE_TRANSPORT_HTTP_CODEC_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/support/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// HTTP/1.1 messages as bytes, by Boost.Beast. Names of headers keep their spelling, repeated
/// headers and the whole path and query stay as they are.

namespace fescuedyke {

/// What a client may send, and how long it may take.
struct http_limits {
    std::size_t max_head_bytes = 64U << 10U;
    std::uint64_t max_body_bytes = 64ULL << 20U;
    /// Whether bodies that are longer than is held whole are handed over while they come in.
    bool stream_long_bodies = false;
    /// Bodies that are coming in and those that wait for their answers, over all connections. A
    /// request beyond this is refused before its body is read.
    std::uint64_t max_buffered_bytes = 128ULL << 20U;
    /// From the first byte of a request to the end of its head.
    millis head_timeout{10'000};
    /// Between requests on one connection.
    millis idle_timeout{60'000};
};

enum class read_progress : std::uint8_t { incomplete, complete, failed };

/// Reads one request after the other out of a growing buffer.
class request_reader {
public:
    explicit request_reader(const http_limits& limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Takes what belongs to the present request from the front of \p buffer.
    read_progress read(std::string& buffer);

    /// Whether the head of the present request has not come in whole.
    bool in_head() const;
    /// Bytes of the body that are to be held, by what the head tells or by what has come.
    std::uint64_t buffered_bytes() const;
    /// Whether the body is longer than is held whole.
    bool is_streamed() const;
    /// The length of the body, if the head tells it.
    std::optional<std::uint64_t> content_length() const;
    /// Whether the client waits for leave to send the body; true once for each request.
    bool take_expect_continue();
    /// Hands over the complete request; the next read() begins another.
    http_request take();
    /// Hands over the head while the body comes in.
    http_request take_head();
    /// Hands over what has come of the body since the last call.
    std::string take_body_part();
    /// After the rest of a body whose head was handed over: the next read() begins another request.
    void begin_next_request() { begin(); }
    /// Whether the connection may serve another request after the one handed over last.
    bool keep_alive() const { return keep_alive_; }
    /// Whether the client of the request handed over last knows chunks.
    bool accepts_chunked() const { return accepts_chunked_; }
    /// After a failure, the status that tells the client of it.
    int error_status() const { return error_status_; }

private:
    struct impl;
    void begin();

    const http_limits& limits_;
    std::unique_ptr<impl> impl_;
    bool keep_alive_ = true;
    bool accepts_chunked_ = true;
    bool expectation_checked_ = false;
    int error_status_ = 0;
};

/// Reads the responses on one connection to a server.
class response_reader {
public:
    response_reader();
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Begins to read the response to a request with \p method.
    void begin(const std::string& method);
    /// Takes what belongs to the present response; interim responses are passed over.
    read_progress read(std::string& buffer);
    /// The server ended the connection in order. Returns whether this completes the response.
    bool finish_at_eof();
    bool head_complete() const;
    /// Whether the body is longer than is held whole.
    bool is_streamed() const;
    /// The length of the body, if the head tells it.
    std::optional<std::uint64_t> content_length() const;
    http_answer take();
    /// Hands over the head while the body comes in.
    http_answer take_head();
    /// Hands over what has come of the body since the last call.
    std::string take_body_part();
    bool keep_alive() const { return keep_alive_; }
    /// How long the server keeps an idle connection, by its Keep-Alive header; 0 if it tells none.
    millis server_idle_timeout() const { return server_idle_timeout_; }

private:
    struct impl;

    std::unique_ptr<impl> impl_;
    bool is_head_request_ = false;
    bool keep_alive_ = true;
    millis server_idle_timeout_;
};

/// Returns the head of a request with \p extra headers. A body that flows without telling its
/// length goes in chunks.
std::string request_head(const http_request& request, const std::vector<header>& extra);

/// Returns the head of a response. A body that flows without telling its length goes in chunks if
/// the client \p accepts_chunked, and else up to the end of the connection.
std::string response_head(const http_answer& answer, bool close, bool accepts_chunked = true);

/// Leave to send the body of a request.
std::string continue_response_head();

} // namespace fescuedyke

#endif
