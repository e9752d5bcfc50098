#ifndef FESCUEDYKE_LIB_TRANSPORT_TARGET_CONNECTION_H
#define FESCUEDYKE_LIB_TRANSPORT_TARGET_CONNECTION_H

#include "fescuedyke/transport/body_pump.h"
#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/target_client.h"

#include <memory>
#include <string>
#include <sys/epoll.h>
#include <utility>

/// \file
/// One kept connection to a target.

namespace fescuedyke {

class target_client::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(target_client& owner, endpoint address) : owner_(owner), address_(std::move(address))
    {
    }
    ~connection() { release(); }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool connect();
    void begin(std::uint64_t id, const target_request& request, callback done);
    /// Forgets its request and closes.
    void cancel();
    bool serves(const endpoint& address) const { return address_ == address; }
    bool closed() const { return fd_ < 0; }
    instant idle_until() const { return idle_until_; }
    instant last_used() const { return last_used_; }
    std::uint64_t id() const { return id_; }

private:
    void on_ready(std::uint32_t events);
    /// Returns a signal that calls \p step from the loop.
    body_callback later(void (connection::*step)());
    void send_more();
    /// Whether the target has got the whole request.
    bool sent_all() const { return out_.empty() && !pump_; }

    void flush();
    /// The request cannot be sent to its end.
    void on_broken();
    void rewatch();
    void on_readable();
    /// Takes more of a body that flows. Returns whether more is to be read now.
    bool take_rest();
    void end_rest();
    void read_more();
    /// Returns whether more is to be read.
    bool take_answer();
    /// Delivers an answer whose body follows. Returns whether more is to be read now.
    bool begin_rest();
    void on_end();
    target_failure failure_now() const;
    bool is_echoed(const http_response& answer) const;
    void note_kept();
    void after_answer();
    /// Returns false when the answer belongs to another request.
    bool deliver(http_response answer);
    void rest() { owner_.on_idle(shared_from_this()); }

    void fail(target_failure failure);
    bool used_before() const { return last_used_ != instant(); }

    void close();
    void release();

    target_client& owner_;
    endpoint address_;
    int fd_ = -1;
    bool connected_ = false;
    std::uint32_t watched_ = EPOLLIN | EPOLLOUT;
    std::uint64_t id_ = 0;
    target_request request_;
    callback done_;
    answer_reader reader_;
    /// The rest of a request and of an answer whose bodies flow.
    std::unique_ptr<body_pump> pump_;
    std::unique_ptr<body_writer> incoming_;
    std::string in_;
    std::string out_;
    std::size_t sent_ = 0;
    /// Whether any byte of the request has left.
    bool progress_ = false;
    bool answered_ = false;
    bool reusable_ = true;
    instant began_;
    instant idle_until_;
    instant last_used_;
};

} // namespace fescuedyke

#endif
