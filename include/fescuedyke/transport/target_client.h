#ifndef FESCUEDYKE_TRANSPORT_TARGET_CLIENT_H
#define FESCUEDYKE_TRANSPORT_TARGET_CLIENT_H

#include "fescuedyke/call/message.h"
#include "fescuedyke/node/events.h"
#include "fescuedyke/routing/target_view.h"
#include "fescuedyke/transport/event_loop.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Requests to the target beside a node, by libcurl over kept-alive connections.

namespace fescuedyke {

/// The target's whole answer, or why there is none.
using target_result = std::variant<http_answer, target_failure>;

/// What is sent to a target.
struct target_request {
    endpoint address;
    shared_request request;
    /// Headers that the node adds.
    std::vector<header> extra_headers;
    /// Whether a kept connection may be used, on which libcurl may send the request again.
    bool may_repeat = false;
};

class target_client {
public:
    using callback = std::function<void(target_result)>;

    explicit target_client(event_loop& loop);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    /// Sends a request named \p id; \p done is called once unless the request is cancelled before.
    void send(std::uint64_t id, const target_request& request, callback done);

    /// Closes the request's connection, by which the target learns of the cancellation.
    void cancel(std::uint64_t id);

private:
    struct transfer;

    static int on_socket(CURL* easy, curl_socket_t fd, int what, void* self, void* socket);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);
    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);

    void act(curl_socket_t fd, int events);
    void collect();
    CURL* take_handle();

    event_loop& loop_;
    CURLM* multi_;
    std::vector<CURL*> idle_;
    std::map<std::uint64_t, std::unique_ptr<transfer>> transfers_;
    timer_id timer_;
    bool timer_set_ = false;
};

} // namespace fescuedyke

#endif
