#include "fescuedyke/daemon/metrics_server.h"

namespace fescuedyke {

namespace {

constexpr const char* metrics_path = "/metrics";
constexpr const char* text_content_type = "text/plain; version=0.0.4; charset=utf-8";
constexpr int ok_status = 200;
constexpr int not_found_status = 404;

} // namespace

metrics_server::metrics_server(event_loop& loop)
    : http_(
          loop, {},
          {[this](exchange_id e, const http_request& r) { on_request(e, r); }, [](exchange_id) {}})
{
}

absl::Status metrics_server::listen(const std::optional<endpoint>& address)
{
    return address ? http_.listen(*address) : absl::OkStatus();
}

void metrics_server::on_request(exchange_id exchange, const http_request& request)
{
    const bool found = request.method == "GET" && request.path == metrics_path;
    http_response response;
    response.status = found ? ok_status : not_found_status;
    if (found) {
        response.headers.push_back({"Content-Type", text_content_type});
    }
    response.body = std::make_shared<const std::string>(found ? registry_.text() : "");
    http_.respond(exchange, response);
}

} // namespace fescuedyke
