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
constexpr unsigned least_final_status = 200;
constexpr std::int64_t ms_per_second = 1000;

/// The parser takes "no limit" for a limit of 0 when a head comes without its body.
constexpr std::uint64_t no_limit = std::numeric_limits<std::uint64_t>::max();

/// Largest head of a response that is read, in bytes.
constexpr std::uint32_t answer_head_bytes = 64U << 10U;

template <class Parser> void feed(Parser& parser, std::string& buffer, beast::error_code& error)
{
    std::size_t used = 0;
    while (!error && used < buffer.size() && !parser.is_done()) {
        const std::size_t count =
            parser.put(boost::asio::buffer(buffer.data() + used, buffer.size() - used), error);
        used += count;
        if (count == 0) {
            break;
        }
    }
    buffer.erase(0, used);
    if (error == http::error::need_more) {
        error = {};
    }
}

template <class Fields> std::vector<header> headers_of(const Fields& fields)
{
    std::vector<header> headers;
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

template <bool IsRequest> std::string head_of(http::message<IsRequest, http::empty_body>& message)
{
    http::serializer<IsRequest, http::empty_body> serializer(message);
    // Without the end of a body in chunks, which follows later.
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
    assert(!error && "a head without a body can be written");
    return text;
}

bool set_by_writer(const std::string& name)
{
    return absl::EqualsIgnoreCase(name, "content-length") || is_hop_by_hop_header(name);
}

bool has_body_by_method(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

template <class Parser> std::optional<std::uint64_t> told_length(const Parser& parser)
{
    const auto told = parser.is_header_done() ? parser.content_length() : boost::none;
    return told ? std::optional<std::uint64_t>(*told) : std::nullopt;
}

/// Bytes of the body by what the head tells or by what has come.
template <class Parser> std::uint64_t message_size(const Parser& parser)
{
    return std::max<std::uint64_t>(told_length(parser).value_or(0), parser.get().body().size());
}

millis keep_alive_time(const std::string& value)
{
    for (const auto part : absl::StrSplit(value, ',')) {
        auto text = absl::StripAsciiWhitespace(part);
        std::int64_t seconds = 0;
        if (absl::ConsumePrefix(&text, "timeout=") && absl::SimpleAtoi(text, &seconds)) {
            return millis(seconds * ms_per_second);
        }
    }
    return millis(0);
}

} // namespace

struct request_reader::impl {
    http::request_parser<http::string_body> parser;
};

request_reader::request_reader(const http_limits& limits) : limits_(limits)
{
    begin();
}

request_reader::~request_reader() = default;

void request_reader::begin()
{
    impl_ = std::make_unique<impl>();
    impl_->parser.eager(true);
    impl_->parser.header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
    impl_->parser.body_limit(limits_.body_bytes);
    expectation_seen_ = false;
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
    return impl_->parser.is_done() ? read_progress::complete : read_progress::more;
}

bool request_reader::in_head() const
{
    return !impl_->parser.is_header_done();
}

std::uint64_t request_reader::held_bytes() const
{
    return flows() ? body_stream_capacity_bytes : message_size(impl_->parser);
}

bool request_reader::flows() const
{
    return limits_.bodies_flow && message_size(impl_->parser) > max_buffered_body_bytes;
}

std::optional<std::uint64_t> request_reader::content_length() const
{
    return told_length(impl_->parser);
}

bool request_reader::take_expectation()
{
    if (expectation_seen_ || in_head()) {
        return false;
    }
    expectation_seen_ = true;
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
    knows_chunks_ = message.version() >= http_version;
    return request;
}

std::string request_reader::take_body_part()
{
    return std::exchange(impl_->parser.get().body(), {});
}

struct answer_reader::impl {
    http::response_parser<http::string_body> parser;
};

answer_reader::answer_reader()
{
    begin("GET");
}

answer_reader::~answer_reader() = default;

void answer_reader::begin(const std::string& method)
{
    impl_ = std::make_unique<impl>();
    head_request_ = method == "HEAD";
    impl_->parser.eager(true);
    impl_->parser.skip(head_request_);
    impl_->parser.header_limit(answer_head_bytes);
    impl_->parser.body_limit(no_limit);
}

read_progress answer_reader::read(std::string& buffer)
{
    for (;;) {
        beast::error_code error;
        feed(impl_->parser, buffer, error);
        if (error) {
            return read_progress::failed;
        }
        if (!impl_->parser.is_done()) {
            return read_progress::more;
        }
        if (impl_->parser.get().result_int() >= least_final_status) {
            return read_progress::complete;
        }
        begin(head_request_ ? "HEAD" : "GET");
    }
}

bool answer_reader::finish()
{
    beast::error_code error;
    impl_->parser.put_eof(error);
    return !error && impl_->parser.is_done();
}

bool answer_reader::head_seen() const
{
    return impl_->parser.is_header_done();
}

http_response answer_reader::take()
{
    http_response answer = take_head();
    answer.body = std::make_shared<const std::string>(take_body_part());
    return answer;
}

http_response answer_reader::take_head()
{
    keep_alive_ = impl_->parser.keep_alive() && !impl_->parser.need_eof();
    const auto& message = impl_->parser.get();
    http_response answer;
    answer.status = static_cast<int>(message.result_int());
    answer.headers = headers_of(message);
    idle_time_ = keep_alive_time(std::string(message[http::field::keep_alive]));
    return answer;
}

std::string answer_reader::take_body_part()
{
    return std::exchange(impl_->parser.get().body(), {});
}

bool answer_reader::flows() const
{
    const bool interim = impl_->parser.get().result_int() < least_final_status;
    return !head_request_ && !interim && message_size(impl_->parser) > max_buffered_body_bytes;
}

std::optional<std::uint64_t> answer_reader::content_length() const
{
    return told_length(impl_->parser);
}

std::string request_head(const http_request& request, const std::vector<header>& extra)
{
    http::request<http::empty_body> message;
    message.version(http_version);
    message.method_string(request.method);
    message.target(request.path);
    for (const header& h : request.headers) {
        if (!set_by_writer(h.name) && !absl::EqualsIgnoreCase(h.name, "expect")) {
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
    return head_of(message);
}

std::string answer_head(const http_response& answer, bool close, bool knows_chunks)
{
    http::response<http::empty_body> message;
    message.version(http_version);
    message.result(static_cast<unsigned>(answer.status));
    for (const header& h : answer.headers) {
        if (!set_by_writer(h.name)) {
            message.insert(h.name, h.value);
        }
    }
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (answer.body_stream && !answer.body_stream->length()) {
        message.chunked(knows_chunks);
    }
    else if (answer.status != no_content && answer.status != not_modified) {
        message.set(http::field::content_length, std::to_string(answer.body_bytes()));
    }
    if (close) {
        message.set(http::field::connection, "close");
    }
    return head_of(message);
}

std::string continue_head()
{
    http::response<http::empty_body> message;
    message.version(http_version);
    message.result(http::status::continue_);
    return head_of(message);
}

} // namespace fescuedyke
