#ifndef FESCUEDYKE_TRANSPORT_EVENT_LOOP_H
#define FESCUEDYKE_TRANSPORT_EVENT_LOOP_H

#include "fescuedyke/support/clock.h"
#include "fescuedyke/support/strong.h"

#include <absl/status/status.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// The loop that one thread runs: readiness of sockets, timers, and work posted by other threads.

namespace fescuedyke {

/// Names a timer until it fires.
using timer_id = strong<struct timer_id_tag, std::uint64_t>;

/// All functions but post() and stop() belong to the thread that runs the loop.
class event_loop {
public:
    using task = std::function<void()>;
    /// Called with the ready epoll events of a socket.
    using socket_handler = std::function<void(std::uint32_t events)>;

    explicit event_loop(const clock& time);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();

    /// May be called from any thread. The loop is woken only when another thread posts.
    void post(task work);
    void stop();

    /// Lets run() be called again after a stop.
    void clear_stop() { stopped_ = false; }

    /// Calls \p handler whenever one of the epoll \p events is there; replaces what was watched.
    void watch(int fd, std::uint32_t events, socket_handler handler);
    /// Changes the events of a socket that is watched.
    void update_watch(int fd, std::uint32_t events);
    void unwatch(int fd);

    /// Calls \p work once after \p delay.
    timer_id run_after(millis delay, task work);
    void cancel(timer_id timer);

    moment now() const { return clock_.read(); }

    /// Whether the caller is in the thread that runs the loop.
    bool in_loop_thread() const { return loop_thread_.load() == std::this_thread::get_id(); }

private:
    void run_posted_tasks();
    void run_timers();
    bool has_posted_tasks();
    int epoll_timeout_ms();

    const clock& clock_;
    int epoll_fd_;
    int wake_fd_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<task> posted_tasks_;
    /// The thread in run().
    std::atomic<std::thread::id> loop_thread_{};
    std::map<int, std::shared_ptr<socket_handler>> sockets_;
    std::map<std::pair<instant, std::uint64_t>, task> timers_;
    std::map<std::uint64_t, instant> timer_deadlines_;
    std::uint64_t next_timer_ = 1;
};

} // namespace fescuedyke

#endif
