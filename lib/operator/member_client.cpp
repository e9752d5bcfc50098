#include "fescuedyke/operator/member_client.h"

#include <curl/curl.h>

#include <chrono>
#include <deque>
#include <memory>
#include <set>
#include <thread>
#include <utility>

namespace fescuedyke {

namespace {

constexpr long request_timeout_ms = 7000;
constexpr long connect_timeout_ms = 1000;
/// Time for which a change is resent while its outcome is unknown.
constexpr std::chrono::seconds change_timeout{15};
constexpr std::chrono::milliseconds retry_interval{250};
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

/// Largest accepted body of a response, in bytes.
constexpr std::size_t max_response_bytes = 64U << 20U;

/// Appends to the string \p out. Makes libcurl end the transfer if the body is too large.
std::size_t append_body(char* data, std::size_t size, std::size_t count, void* out)
{
    auto* body = static_cast<std::string*>(out);
    if (body->size() + size * count > max_response_bytes) {
        return 0;
    }
    body->append(data, size * count);
    return size * count;
}

/// Returns whether the member served the request itself, so that no other member must be tried.
bool is_final(const api_response& response)
{
    return response.status != misdirected_status && response.status != unavailable_status;
}

} // namespace

member_client::member_client(std::vector<std::string> members, std::string token)
    : members_(std::move(members)), token_(std::move(token))
{
}

absl::StatusOr<api_response> member_client::send_request(const std::string& address,
                                                         const std::string& method,
                                                         const std::string& path,
                                                         const std::string& body) const
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(),
                                                                   curl_easy_cleanup);
    curl_slist* header_list =
        curl_slist_append(nullptr, ("Authorization: Bearer " + token_).c_str());
    header_list = curl_slist_append(header_list, "Expect:");
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(header_list,
                                                                              curl_slist_free_all);
    const std::string url = "http://" + address + path;
    std::string text;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, request_timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &text);
    if (method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.data());
    }
    const CURLcode code = curl_easy_perform(easy.get());
    if (code != CURLE_OK) {
        return absl::UnavailableError(address + ": " + curl_easy_strerror(code));
    }
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    return api_response{static_cast<int>(status), nlohmann::json::parse(text, nullptr, false)};
}

absl::StatusOr<api_response> member_client::get_from_any_member(const std::string& path) const
{
    absl::Status last_error = absl::UnavailableError("members: no address is given");
    for (const std::string& member : members_) {
        absl::StatusOr<api_response> response = send_request(member, "GET", path, "");
        if (response.ok() && is_final(*response)) {
            return response;
        }
        last_error = response.ok() ? absl::UnavailableError(member + ": cannot serve the request")
                                   : response.status();
    }
    return last_error;
}

std::vector<api_response> member_client::get_from_all_members(const std::string& path,
                                                              std::size_t& unreachable) const
{
    std::vector<api_response> responses;
    unreachable = 0;
    for (const std::string& member : members_) {
        absl::StatusOr<api_response> response = send_request(member, "GET", path, "");
        if (response.ok() && is_final(*response)) {
            responses.push_back(std::move(*response));
            continue;
        }
        ++unreachable;
    }
    return responses;
}

absl::StatusOr<api_response> member_client::send_policy_change(const std::string& body) const
{
    const auto deadline = std::chrono::steady_clock::now() + change_timeout;
    absl::Status last_error = absl::UnavailableError("members: no address is given");
    do {
        std::deque<std::string> pending(members_.begin(), members_.end());
        std::set<std::string> tried;
        while (!pending.empty()) {
            const std::string member = pending.front();
            pending.pop_front();
            if (!tried.insert(member).second) {
                continue;
            }
            absl::StatusOr<api_response> response =
                send_request(member, "POST", "/v1/policies", body);
            if (response.ok() && is_final(*response)) {
                return response;
            }
            last_error = response.ok()
                             ? absl::UnavailableError("the outcome of the change is not known")
                             : response.status();
            if (response.ok() && response->body.is_object() && response->body.contains("leader") &&
                response->body.at("leader").is_string()) {
                pending.push_front(response->body.at("leader").get<std::string>());
            }
        }
        // Members may name a failed member as the leader until another one is elected.
        std::this_thread::sleep_for(retry_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    return last_error;
}

} // namespace fescuedyke
