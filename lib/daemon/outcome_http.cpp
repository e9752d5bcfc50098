#include "fescuedyke/daemon/outcome_http.h"

#include "fescuedyke/daemon/http_dialect.h"
#include "fescuedyke/node/caller_headers.h"

#include <nlohmann/json.hpp>

#include <string>

namespace fescuedyke {

namespace {

/// Identifies a request in the log if it has no idempotency key.
constexpr const char* request_id_header = "x-request-id";

constexpr int bad_request_status = 400;
constexpr int too_large_status = 413;
constexpr int bad_gateway_status = 502;
constexpr int unavailable_status = 503;
constexpr int gateway_timeout_status = 504;
constexpr std::int64_t ms_per_second = 1000;

int http_status(const outcome& result)
{
    if (result.kind == outcome_kind::unknown) {
        return result.reason == outcome_reason::timed_out ? gateway_timeout_status
                                                          : bad_gateway_status;
    }
    if (result.reason == outcome_reason::too_large) {
        return too_large_status;
    }
    return result.retry_helps ? unavailable_status : bad_request_status;
}

} // namespace

http_response json_response(int status, const nlohmann::json& body)
{
    http_response response;
    response.status = status;
    response.headers = {{"content-type", "application/json"}};
    const auto replace = nlohmann::json::error_handler_t::replace;
    response.body = std::make_shared<const std::string>(body.dump(-1, ' ', false, replace) + "\n");
    return response;
}

http_response to_http(const outcome& result, const http_response& response)
{
    if (result.kind == outcome_kind::answered) {
        http_response target_response = response;
        target_response.headers.push_back({"fescue-outcome", to_string(result.kind)});
        return target_response;
    }
    const std::string retry_after_ms = std::to_string(result.retry_after.count());
    http_response error =
        json_response(http_status(result), {{"outcome", to_string(result.kind)},
                                            {"reason", to_string(result.reason)},
                                            {"retry_helps", result.retry_helps},
                                            {"retry_after_ms", result.retry_after.count()}});
    error.headers.push_back({"fescue-outcome", to_string(result.kind)});
    error.headers.push_back({"fescue-reason", to_string(result.reason)});
    error.headers.push_back({"fescue-retry-helps", result.retry_helps ? "true" : "false"});
    error.headers.push_back({"fescue-retry-after", retry_after_ms + "ms"});
    if (result.retry_helps) {
        const std::int64_t seconds =
            (result.retry_after.count() + ms_per_second - 1) / ms_per_second;
        error.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    return error;
}

http_response native_dialect::to_caller(const outcome& result, const http_response& response) const
{
    return to_http(result, response);
}

target_request native_dialect::to_target(const dispatch_call& call) const
{
    target_request request;
    request.request = call.request;
    request.extra_headers = {{call_header, call.token}};
    request.optional_echo = header{call_header, call.token};
    request.may_resend = call.may_resend;
    request.may_stream_response = call.may_stream_response;
    return request;
}

std::string native_dialect::request_id(const http_request& request) const
{
    const std::string* key = find_header(request.headers, key_header);
    const std::string* id = find_header(request.headers, request_id_header);
    return key != nullptr ? *key : id != nullptr ? *id : "";
}

bool native_dialect::reports_not_run(const http_response& response) const
{
    return fescuedyke::reports_not_run(response);
}

target_notice native_dialect::notice_of(const http_response& response) const
{
    return read_notice(response, rate_limit_header, leaving_header);
}

} // namespace fescuedyke
