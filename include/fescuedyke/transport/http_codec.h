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
/// Parsing and serialization of HTTP/1.1 messages with Boost.Beast. The spelling of header names,
/// repeated headers and the complete path and query are preserved.

namespace fescuedyke {

/// Limits on the size and duration of the requests that a server accepts.
struct http_limits {
    std::size_t max_head_bytes = 64U << 10U;
    std::uint64_t max_body_bytes = 64ULL << 20U;
    /// Whether bodies longer than max_buffered_body_bytes are streamed instead of buffered.
    bool stream_long_bodies = false;
    /// Limit, over all connections, on the bytes reserved for the bodies of requests that are being
    /// received or are not yet answered. A request that would exceed it is rejected before its body
    /// is read.
    std::uint64_t max_buffered_bytes = 128ULL << 20U;
    /// Maximum time from the first byte of a request to the end of its head.
    millis head_timeout{10'000};
    /// Maximum time between two requests on one connection, and between two parts of a body.
    millis idle_timeout{60'000};
};

enum class read_progress : std::uint8_t { incomplete, complete, failed };

/// Parses the successive requests of one connection.
class request_reader {
public:
    explicit request_reader(const http_limits& limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Consumes the bytes of the current request from the front of \p buffer.
    read_progress read(std::string& buffer);

    /// Returns whether the head of the current request is still incomplete.
    bool in_head() const;
    /// Returns the number of bytes to reserve for the body: its declared length or the bytes
    /// received so far, whichever is larger; body_stream_capacity_bytes for a streamed body.
    std::uint64_t buffered_bytes() const;
    /// Returns whether the body is too long to be buffered and is streamed instead.
    bool is_streamed() const;
    /// Returns the length of the body, if the head declares it.
    std::optional<std::uint64_t> content_length() const;
    /// Returns whether the client expects a 100 (Continue) response before it sends the body.
    /// Returns true at most once for each request.
    bool take_expect_continue();
    /// Returns the complete request; the next read() starts another.
    http_request take();
    /// Returns the head while the body is still being received.
    http_request take_head();
    /// Returns the part of the body that was received since the last call.
    std::string take_body_part();
    /// Prepares for the next request. Called once a streamed body has been read completely.
    void begin_next_request() { begin(); }
    /// Returns whether the connection may serve another request after the one returned last.
    bool keep_alive() const { return keep_alive_; }
    /// Returns whether the client accepts chunked transfer coding, according to the request
    /// returned last.
    bool accepts_chunked() const { return accepts_chunked_; }
    /// Returns the response status for a request that could not be parsed.
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

/// Parses the successive responses on one connection to a server.
class response_reader {
public:
    response_reader();
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Prepares to read the response to a request with \p method.
    void begin(const std::string& method);
    /// Consumes the bytes of the current response from the front of \p buffer and skips interim
    /// (1xx) responses, whose total size is limited.
    read_progress read(std::string& buffer);
    /// Called when the server has closed the connection without an error. Returns whether this
    /// completes the response.
    bool finish_at_eof();
    bool head_complete() const;
    /// Returns why read() failed.
    const std::string& error() const { return error_; }
    /// Returns whether the body is too long to be buffered and is streamed instead.
    bool is_streamed() const;
    /// Returns the length of the body, if the head declares it.
    std::optional<std::uint64_t> content_length() const;
    http_response take();
    /// Returns the head while the body is still being received.
    http_response take_head();
    /// Returns the part of the body that was received since the last call.
    std::string take_body_part();
    bool keep_alive() const { return keep_alive_; }
    /// Returns how long the server keeps an idle connection open, according to its Keep-Alive
    /// header; 0 if the header states no timeout.
    millis server_idle_timeout() const { return server_idle_timeout_; }

private:
    struct impl;
    void make_parser();
    read_progress fail(std::string error);

    std::unique_ptr<impl> impl_;
    std::string error_;
    bool is_head_request_ = false;
    /// Bytes consumed of the current response and of the interim responses before it.
    std::uint64_t consumed_bytes_ = 0;
    bool keep_alive_ = true;
    millis server_idle_timeout_;
};

/// Returns the head of a request with \p extra headers. No name or value of a header may be longer
/// than max_header_bytes. A streamed body of unknown length uses chunked transfer coding.
std::string request_head(const http_request& request, const std::vector<header>& extra);

/// Returns the head of a response, which must have a final status and no name or value of a header
/// that is longer than max_header_bytes; \p close adds "Connection: close". A streamed body of
/// unknown length uses chunked transfer coding if \p accepts_chunked is set; otherwise the end of
/// the connection ends the body.
std::string response_head(const http_response& response, bool close, bool accepts_chunked = true);

/// Returns a 100 (Continue) response, which permits the client to send its body.
std::string continue_response_head();

} // namespace fescuedyke

#endif
