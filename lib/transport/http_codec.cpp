#include "fescuedyke/transport/http_codec.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace fescuedyke {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned http_version = 11;
constexpr int bad_request_status = 400;
constexpr int too_large_status = 413;
constexpr int head_too_large_status = 431;
constexpr int min_interim_status = 100;
constexpr int switching_protocols_status = 101;
constexpr int max_interim_status = 199;
constexpr std::int64_t ms_per_second = 1000;

/// Longest idle timeout of a server that is believed.
constexpr std::int64_t max_idle_timeout_seconds = 24LL * 60 * 60;

/// The largest possible body limit. It is used instead of boost::none, which the parser treats as a
/// limit of 0 if a head arrives without its body.
constexpr std::uint64_t no_limit = std::numeric_limits<std::uint64_t>::max();

/// Largest accepted head of a response, in bytes.
constexpr std::uint32_t max_response_head_bytes = 64U << 10U;

/// Largest accepted total of the interim (1xx) responses before a response, in bytes.
constexpr std::size_t max_interim_bytes = 64U << 10U;

/// Largest accepted head of a chunk and largest accepted trailer, in bytes.
constexpr std::size_t max_chunk_head_bytes = 64U << 10U;

/// A string body for which no memory is reserved in advance, because the length that a peer
/// declares does not show how many bytes it will send.
struct growing_body : http::string_body {
    class reader : public http::string_body::reader {
    public:
        using http::string_body::reader::reader;

        void init(const boost::optional<std::uint64_t>& /*length*/, beast::error_code& error)
        {
            http::string_body::reader::init(boost::none, error);
        }
    };
};

/// A parser that reports a field as too large instead of passing it to the container of
/// Boost.Beast, which throws std::length_error for a name or value of more than max_header_bytes.
template <bool IsRequest, class Body>
class field_checking_parser final : public http::parser<IsRequest, Body> {
private:
    void on_field_impl(http::field name, beast::string_view name_string, beast::string_view value,
                       beast::error_code& error) override
    {
        if (name_string.size() > max_header_bytes || value.size() > max_header_bytes) {
            error = http::error::header_limit;
            return;
        }
        // Fields behind the head belong to a trailer, which is not forwarded (RFC 9110, 6.5.1).
        if (!this->is_header_done()) {
            this->get().insert(name, name_string, value);
        }
    }
};

/// Passes the bytes of \p buffer to \p parser and erases those that it consumed. A parser that
/// needs more bytes reports no error.
template <class Parser> void feed(Parser& parser, std::string& buffer, beast::error_code& error)
{
    std::size_t used = 0;
    while (!error && used < buffer.size() && !parser.is_done()) {
        // The parser stops behind the head, because the limit on what follows is another one. Only
        // as much as this limit is passed at once, so that a longer chunk head or trailer is never
        // complete, no matter in which parts it arrives.
        const bool in_head = !parser.is_header_done();
        parser.eager(!in_head);
        const std::size_t left = buffer.size() - used;
        const std::size_t part = in_head ? left : std::min(left, max_chunk_head_bytes);
        const std::size_t count =
            parser.put(boost::asio::buffer(buffer.data() + used, part), error);
        used += count;
        if (error == http::error::need_more) {
            error = {};
        }
        if (count == 0) {
            break;
        }
    }
    buffer.erase(0, used);
}

/// Returns whether a response with the status precedes another one. No request asks for another
/// protocol, so that none is answered by a change to it.
bool is_interim_status(int status)
{
    return status >= min_interim_status && status <= max_interim_status &&
           status != switching_protocols_status;
}

template <class Fields> std::vector<header> headers_of(const Fields& fields)
{
    std::vector<header> headers;
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

template <bool IsRequest>
std::string serialize_head(http::message<IsRequest, http::empty_body>& message)
{
    http::serializer<IsRequest, http::empty_body> serializer(message);
    // Makes the serializer stop after the head; otherwise it would add the last chunk of a chunked
    // body.
    serializer.split(true);
    std::string text;
    beast::error_code error;
    while (!serializer.is_header_done() && !error) {
        serializer.next(error, [&](beast::error_code&, const auto& buffers) {
            std::size_t size = 0;
            for (const auto part : beast::buffers_range_ref(buffers)) {
                text.append(static_cast<const char*>(part.data()), part.size());
                size += part.size();
            }
            serializer.consume(size);
        });
    }
    assert(!error && "message head could not be serialized");
    return text;
}

/// Returns whether the codec sets or drops the header, so that a given value is not sent.
bool is_set_by_codec(const std::string& name)
{
    return absl::EqualsIgnoreCase(name, "content-length") || is_hop_by_hop_header(name);
}

bool has_body_by_method(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

template <class Parser> std::optional<std::uint64_t> declared_length(const Parser& parser)
{
    const auto declared = parser.is_header_done() ? parser.content_length() : boost::none;
    return declared ? std::optional<std::uint64_t>(*declared) : std::nullopt;
}

/// Returns the declared length of the body or the bytes received so far, whichever is larger.
template <class Parser> std::uint64_t known_body_bytes(const Parser& parser)
{
    return std::max<std::uint64_t>(declared_length(parser).value_or(0), parser.get().body().size());
}

/// Returns the timeout of a Keep-Alive header, at most max_idle_timeout_seconds, or 0 if it states
/// none.
millis parse_keep_alive_timeout(const std::string& value)
{
    for (const auto part : absl::StrSplit(value, ',')) {
        auto text = absl::StripAsciiWhitespace(part);
        std::int64_t seconds = 0;
        if (absl::ConsumePrefix(&text, "timeout=") && absl::SimpleAtoi(text, &seconds) &&
            seconds >= 0) {
            return millis(std::min(seconds, max_idle_timeout_seconds) * ms_per_second);
        }
    }
    return millis(0);
}

} // namespace

struct request_reader::impl {
    field_checking_parser<true, growing_body> parser;
};

request_reader::request_reader(const http_limits& limits) : limits_(limits)
{
    begin();
}

request_reader::~request_reader() = default;

void request_reader::begin()
{
    impl_ = std::make_unique<impl>();
    impl_->parser.header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(limits_.max_head_bytes, std::numeric_limits<std::uint32_t>::max())));
    impl_->parser.body_limit(limits_.max_body_bytes);
    expectation_checked_ = false;
}

read_progress request_reader::read(std::string& buffer)
{
    beast::error_code error;
    feed(impl_->parser, buffer, error);
    if (error) {
        error_status_ = bad_request_status;
        error_status_ = error == http::error::header_limit ? head_too_large_status : error_status_;
        error_status_ = error == http::error::body_limit ? too_large_status : error_status_;
        return read_progress::failed;
    }
    if (impl_->parser.is_done()) {
        return read_progress::complete;
    }
    // Behind the head, the parser leaves only a chunk head or a trailer of which the end is
    // missing.
    if (!in_head() && buffer.size() > max_chunk_head_bytes) {
        error_status_ = bad_request_status;
        return read_progress::failed;
    }
    return read_progress::incomplete;
}

bool request_reader::in_head() const
{
    return !impl_->parser.is_header_done();
}

std::uint64_t request_reader::buffered_bytes() const
{
    return is_streamed() ? body_stream_capacity_bytes : known_body_bytes(impl_->parser);
}

bool request_reader::is_streamed() const
{
    return limits_.stream_long_bodies && known_body_bytes(impl_->parser) > max_buffered_body_bytes;
}

std::optional<std::uint64_t> request_reader::content_length() const
{
    return declared_length(impl_->parser);
}

bool request_reader::take_expect_continue()
{
    if (expectation_checked_ || in_head()) {
        return false;
    }
    expectation_checked_ = true;
    const auto& head = impl_->parser.get();
    return beast::iequals(head[http::field::expect], "100-continue");
}

http_request request_reader::take()
{
    http_request request = take_head();
    request.body = std::make_shared<const std::string>(take_body_part());
    begin();
    return request;
}

http_request request_reader::take_head()
{
    const auto& message = impl_->parser.get();
    http_request request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.headers = headers_of(message);
    keep_alive_ = message.keep_alive();
    accepts_chunked_ = message.version() >= http_version;
    return request;
}

std::string request_reader::take_body_part()
{
    return std::exchange(impl_->parser.get().body(), {});
}

struct response_reader::impl {
    int status() const { return static_cast<int>(parser.get().result_int()); }

    field_checking_parser<false, growing_body> parser;
};

response_reader::response_reader()
{
    begin("GET");
}

response_reader::~response_reader() = default;

void response_reader::begin(const std::string& method)
{
    is_head_request_ = method == "HEAD";
    consumed_bytes_ = 0;
    make_parser();
}

void response_reader::make_parser()
{
    impl_ = std::make_unique<impl>();
    impl_->parser.skip(is_head_request_);
    impl_->parser.header_limit(max_response_head_bytes);
    impl_->parser.body_limit(no_limit);
}

read_progress response_reader::read(std::string& buffer)
{
    for (;;) {
        const std::size_t before = buffer.size();
        beast::error_code error;
        feed(impl_->parser, buffer, error);
        consumed_bytes_ += before - buffer.size();
        if (error) {
            return fail(error.message());
        }
        const int status = impl_->status();
        if (impl_->parser.is_header_done() && !is_final_status(status) &&
            !is_interim_status(status)) {
            return fail("the status " + std::to_string(status) + " is invalid");
        }
        if (!impl_->parser.is_done()) {
            // The parser leaves only a head, a chunk head or a trailer of which the end is missing.
            return buffer.size() > max_chunk_head_bytes
                       ? fail("a head, a chunk head or a trailer is longer than " +
                              std::to_string(max_chunk_head_bytes) + " bytes")
                       : read_progress::incomplete;
        }
        if (is_final_status(status)) {
            return read_progress::complete;
        }
        if (consumed_bytes_ > max_interim_bytes) {
            return fail("the interim responses are longer than " +
                        std::to_string(max_interim_bytes) + " bytes");
        }
        make_parser();
    }
}

read_progress response_reader::fail(std::string error)
{
    error_ = std::move(error);
    return read_progress::failed;
}

bool response_reader::finish_at_eof()
{
    beast::error_code error;
    impl_->parser.put_eof(error);
    return !error && impl_->parser.is_done();
}

bool response_reader::head_complete() const
{
    return impl_->parser.is_header_done();
}

http_response response_reader::take()
{
    http_response response = take_head();
    response.body = std::make_shared<const std::string>(take_body_part());
    return response;
}

http_response response_reader::take_head()
{
    keep_alive_ = impl_->parser.keep_alive() && !impl_->parser.need_eof();
    const auto& message = impl_->parser.get();
    http_response response;
    response.status = impl_->status();
    response.headers = headers_of(message);
    server_idle_timeout_ = parse_keep_alive_timeout(std::string(message[http::field::keep_alive]));
    return response;
}

std::string response_reader::take_body_part()
{
    return std::exchange(impl_->parser.get().body(), {});
}

bool response_reader::is_streamed() const
{
    return !is_head_request_ && is_final_status(impl_->status()) &&
           known_body_bytes(impl_->parser) > max_buffered_body_bytes;
}

std::optional<std::uint64_t> response_reader::content_length() const
{
    return declared_length(impl_->parser);
}

std::string request_head(const http_request& request, const std::vector<header>& extra)
{
    http::request<http::empty_body> message;
    message.version(http_version);
    message.method_string(request.method);
    message.target(request.path);
    for (const header& h : request.headers) {
        if (!is_set_by_codec(h.name) && !absl::EqualsIgnoreCase(h.name, "expect")) {
            message.insert(h.name, h.value);
        }
    }
    for (const header& h : extra) {
        message.insert(h.name, h.value);
    }
    if (request.body_stream && !request.body_stream->length()) {
        message.chunked(true);
    }
    else if (request.body_bytes() > 0 || has_body_by_method(request.method)) {
        message.set(http::field::content_length, std::to_string(request.body_bytes()));
    }
    return serialize_head(message);
}

std::string response_head(const http_response& response, bool close, bool accepts_chunked)
{
    http::response<http::empty_body> message;
    message.version(http_version);
    message.result(static_cast<unsigned>(response.status));
    for (const header& h : response.headers) {
        if (!is_set_by_codec(h.name)) {
            message.insert(h.name, h.value);
        }
    }
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (response.body_stream && !response.body_stream->length()) {
        message.chunked(accepts_chunked);
    }
    else if (response.status != no_content && response.status != not_modified) {
        message.set(http::field::content_length, std::to_string(response.body_bytes()));
    }
    if (close) {
        message.set(http::field::connection, "close");
    }
    return serialize_head(message);
}

std::string continue_response_head()
{
    http::response<http::empty_body> message;
    message.version(http_version);
    message.result(http::status::continue_);
    return serialize_head(message);
}

} // namespace fescuedyke
