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

constexpr long timeout_ms = 7000;
constexpr long connect_timeout_ms = 1000;
constexpr std::chrono::seconds change_limit{15};
constexpr std::chrono::milliseconds round_pause{250};
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

std::size_t append(char* data, std::size_t size, std::size_t count, void* out)
{
    static_cast<std::string*>(out)->append(data, size * count);
    return size * count;
}

bool is_final(const api_answer& answer)
{
    return answer.status != misdirected_status && answer.status != unavailable_status;
}

} // namespace

member_client::member_client(std::vector<std::string> members, std::string token)
    : members_(std::move(members)), token_(std::move(token))
{
}

absl::StatusOr<api_answer> member_client::ask(const std::string& address, const std::string& method,
                                              const std::string& path,
                                              const std::string& body) const
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(),
                                                                   curl_easy_cleanup);
    curl_slist* list = curl_slist_append(nullptr, ("Authorization: Bearer " + token_).c_str());
    list = curl_slist_append(list, "Expect:");
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list,
                                                                              curl_slist_free_all);
    const std::string url = "http://" + address + path;
    std::string text;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
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
    return api_answer{static_cast<int>(status), nlohmann::json::parse(text, nullptr, false)};
}

absl::StatusOr<api_answer> member_client::ask_any(const std::string& path) const
{
    absl::Status last = absl::UnavailableError("members: none is given");
    for (const std::string& member : members_) {
        absl::StatusOr<api_answer> answer = ask(member, "GET", path, "");
        if (answer.ok() && is_final(*answer)) {
            return answer;
        }
        last = answer.ok() ? absl::UnavailableError(member + ": is no control member")
                           : answer.status();
    }
    return last;
}

std::vector<api_answer> member_client::ask_all(const std::string& path, std::size_t& silent) const
{
    std::vector<api_answer> answers;
    silent = 0;
    for (const std::string& member : members_) {
        absl::StatusOr<api_answer> answer = ask(member, "GET", path, "");
        if (answer.ok() && is_final(*answer)) {
            answers.push_back(std::move(*answer));
            continue;
        }
        ++silent;
    }
    return answers;
}

absl::StatusOr<api_answer> member_client::change(const std::string& body) const
{
    const auto until = std::chrono::steady_clock::now() + change_limit;
    absl::Status last = absl::UnavailableError("members: none is given");
    do {
        std::deque<std::string> order(members_.begin(), members_.end());
        std::set<std::string> asked;
        while (!order.empty()) {
            const std::string member = order.front();
            order.pop_front();
            if (!asked.insert(member).second) {
                continue;
            }
            absl::StatusOr<api_answer> answer = ask(member, "POST", "/v1/policies", body);
            if (answer.ok() && is_final(*answer)) {
                return answer;
            }
            last = answer.ok() ? absl::UnavailableError("the outcome of the change is not known")
                               : answer.status();
            if (answer.ok() && answer->body.is_object() && answer->body.contains("leader")) {
                order.push_front(answer->body["leader"].get<std::string>());
            }
        }
        // A member that failed may be told as the leader until another is elected.
        std::this_thread::sleep_for(round_pause);
    } while (std::chrono::steady_clock::now() < until);
    return last;
}

} // namespace fescuedyke
