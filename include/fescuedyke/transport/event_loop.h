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
/// A single-threaded event loop for socket readiness, timers and tasks posted by other threads.

namespace fescuedyke {

/// Identifies a timer until it fires or is cancelled.
using timer_id = strong<struct timer_id_tag, std::uint64_t>;

/// Dispatches epoll events, timers and posted tasks. All functions except post(), stop() and
/// in_loop_thread() must be called from the thread that runs the loop.
class event_loop {
public:
    using task = std::function<void()>;
    /// Receives the epoll events that are ready on a socket.
    using socket_handler = std::function<void(std::uint32_t events)>;

    explicit event_loop(const clock& time);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();

    /// Queues \p work to run in the loop. May be called from any thread. Only a call from another
    /// thread wakes the loop, because the loop does not wait while it has posted tasks.
    void post(task work);
    /// Makes run() return after the current iteration. May be called from any thread.
    void stop();

    /// Clears the effect of stop(), so that run() can be called again.
    void clear_stop() { stopped_ = false; }

    /// Calls \p handler whenever one of the epoll \p events is ready on \p fd. Replaces an earlier
    /// handler and event set of \p fd.
    void watch(int fd, std::uint32_t events, socket_handler handler);
    /// Changes the event set of a watched socket; the handler stays.
    void update_watch(int fd, std::uint32_t events);
    void unwatch(int fd);

    /// Calls \p work once after \p delay, unless the timer is cancelled.
    timer_id run_after(millis delay, task work);
    void cancel(timer_id timer);

    moment now() const { return clock_.read(); }

    /// Returns whether the calling thread is the one that runs the loop.
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
    /// The thread that called run().
    std::atomic<std::thread::id> loop_thread_{};
    std::map<int, std::shared_ptr<socket_handler>> socket_handlers_;
    /// Tasks by deadline and timer id.
    std::map<std::pair<instant, std::uint64_t>, task> timers_;
    /// Deadlines by timer id.
    std::map<std::uint64_t, instant> timer_deadlines_;
    std::uint64_t next_timer_ = 1;
};

} // namespace fescuedyke

#endif
