#include "fescuedyke/daemon/metrics_server.h"

namespace fescuedyke {

namespace {

constexpr const char* metrics_path = "/metrics";
constexpr const char* text_format = "text/plain; version=0.0.4; charset=utf-8";
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
    http_response answer;
    answer.status = found ? ok_status : not_found_status;
    if (found) {
        answer.headers.push_back({"Content-Type", text_format});
    }
    answer.body = std::make_shared<const std::string>(found ? registry_.text() : "");
    http_.respond(exchange, answer);
}

} // namespace fescuedyke
