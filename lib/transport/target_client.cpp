#include "fescuedyke/transport/target_client.h"

#include <algorithm>
#include <cctype>
#include <sys/epoll.h>
#include <utility>

namespace fescuedyke {

namespace {

constexpr long connect_timeout_ms = 1000;
constexpr long most_kept_connections = 128;
constexpr std::size_t most_idle_handles = 256;

target_failure failure_of(CURLcode code, bool sent)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
        return target_failure::never_sent;
    case CURLE_PARTIAL_FILE:
        return target_failure::truncated;
    case CURLE_OPERATION_TIMEDOUT:
        return sent ? target_failure::lost : target_failure::never_sent;
    default:
        return target_failure::lost;
    }
}

} // namespace

struct target_client::transfer {
    std::uint64_t id = 0;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    shared_request request;
    http_answer answer;
    std::string body;
    callback done;

    ~transfer() { curl_slist_free_all(headers); }
};

target_client::target_client(event_loop& loop) : loop_(loop), multi_(curl_multi_init())
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, most_kept_connections);
}

target_client::~target_client()
{
    for (const auto& [id, t] : transfers_) {
        curl_multi_remove_handle(multi_, t->easy);
        curl_easy_cleanup(t->easy);
    }
    for (CURL* easy : idle_) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
    if (timer_set_) {
        loop_.cancel(timer_);
    }
}

CURL* target_client::take_handle()
{
    if (idle_.empty()) {
        return curl_easy_init();
    }
    CURL* easy = idle_.back();
    idle_.pop_back();
    curl_easy_reset(easy);
    return easy;
}

void target_client::send(std::uint64_t id, const target_request& request, callback done)
{
    auto t = std::make_unique<transfer>();
    t->id = id;
    t->easy = take_handle();
    t->request = request.request;
    t->done = std::move(done);
    const http_request& r = *request.request;
    const auto add = [&](const std::string& line) {
        t->headers = curl_slist_append(t->headers, line.c_str());
    };
    for (const header& h : r.headers) {
        add(h.name + ": " + h.value);
    }
    for (const header& h : request.extra_headers) {
        add(h.name + ": " + h.value);
    }
    // The usual targets here close a connection without this, and do not answer "Expect".
    add("Connection: keep-alive");
    add("Expect:");
    const std::string url =
        "http://" + request.address.host + ":" + std::to_string(request.address.port) + r.path;
    CURL* easy = t->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOBODY, r.method == "HEAD" ? 1L : 0L);
    if (r.body_bytes() > 0 || r.method == "POST" || r.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(r.body_bytes()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, r.body ? r.body->data() : "");
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t->headers);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    // On a kept connection that dies without an answer libcurl sends the request once more, which
    // work that must run at most once does not bear.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.may_repeat ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, t.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, t.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, t.get());
    transfers_[id] = std::move(t);
    curl_multi_add_handle(multi_, easy);
}

void target_client::cancel(std::uint64_t id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    CURL* easy = found->second->easy;
    curl_multi_remove_handle(multi_, easy);
    curl_easy_cleanup(easy);
    transfers_.erase(found);
}

std::size_t target_client::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    auto* t = static_cast<transfer*>(self);
    const std::string line(data, size * count);
    if (line.rfind("HTTP/", 0) == 0) {
        // An interim answer was only a beginning.
        t->answer.headers.clear();
        return size * count;
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto begin = line.find_first_not_of(" \t", colon + 1);
        const auto end = line.find_last_not_of(" \t\r\n");
        const bool empty = begin == std::string::npos || end < begin;
        t->answer.headers.push_back({name, empty ? "" : line.substr(begin, end - begin + 1)});
    }
    return size * count;
}

std::size_t target_client::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    static_cast<transfer*>(self)->body.append(data, size * count);
    return size * count;
}

int target_client::on_socket(CURL* easy, curl_socket_t fd, int what, void* self, void* socket)
{
    (void)easy;
    (void)socket;
    auto* client = static_cast<target_client*>(self);
    if (what == CURL_POLL_REMOVE) {
        client->loop_.unwatch(fd);
        return 0;
    }
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) {
        events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= EPOLLOUT;
    }
    client->loop_.watch(fd, events, [client, fd](std::uint32_t ready) {
        int flags = (ready & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
        flags |= (ready & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        flags |= (ready & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
        client->act(fd, flags);
    });
    return 0;
}

int target_client::on_timer(CURLM* multi, long timeout_ms, void* self)
{
    (void)multi;
    auto* client = static_cast<target_client*>(self);
    if (client->timer_set_) {
        client->loop_.cancel(client->timer_);
        client->timer_set_ = false;
    }
    if (timeout_ms >= 0) {
        client->timer_set_ = true;
        client->timer_ = client->loop_.after(millis(timeout_ms), [client] {
            client->timer_set_ = false;
            client->act(CURL_SOCKET_TIMEOUT, 0);
        });
    }
    return 0;
}

void target_client::act(curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    collect();
}

void target_client::collect()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL* easy = message->easy_handle;
        const CURLcode code = message->data.result;
        transfer* raw = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_off_t sent_at = 0;
        curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &sent_at);
        const auto found = transfers_.find(raw->id);
        const std::unique_ptr<transfer> t = std::move(found->second);
        transfers_.erase(found);
        curl_multi_remove_handle(multi_, easy);
        if (idle_.size() < most_idle_handles) {
            idle_.push_back(easy);
        }
        else {
            curl_easy_cleanup(easy);
        }
        if (code != CURLE_OK) {
            t->done(target_result(failure_of(code, sent_at > 0)));
            continue;
        }
        t->answer.status = static_cast<int>(status);
        t->answer.body = std::make_shared<const std::string>(std::move(t->body));
        t->done(target_result(std::move(t->answer)));
    }
}

} // namespace fescuedyke
