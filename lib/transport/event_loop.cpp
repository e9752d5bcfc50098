#include "fescuedyke/transport/event_loop.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

constexpr int max_epoll_events = 64;
/// Maximum duration of one wait, also if no timer is due.
constexpr int max_epoll_wait_ms = 1000;

} // namespace

event_loop::event_loop(const clock& time)
    : clock_(time), epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    assert(epoll_fd_ >= 0 && wake_fd_ >= 0 && "could not open the epoll or event descriptor");
    watch(wake_fd_, EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        while (::read(wake_fd_, &count, sizeof count) > 0) {
        }
    });
}

event_loop::~event_loop()
{
    // Handlers, timers and tasks may own connections, which use the loop in their destructors.
    while (!socket_handlers_.empty() || !timers_.empty() || has_posted_tasks()) {
        const auto handlers = std::exchange(socket_handlers_, {});
        const auto timers = std::exchange(timers_, {});
        std::vector<task> tasks;
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks.swap(posted_tasks_);
    }
    ::close(wake_fd_);
    ::close(epoll_fd_);
}

void event_loop::post(task work)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        posted_tasks_.push_back(std::move(work));
    }
    if (in_loop_thread()) {
        return;
    }
    const std::uint64_t one = 1;
    const ssize_t written = ::write(wake_fd_, &one, sizeof one);
    (void)written;
}

void event_loop::stop()
{
    stopped_ = true;
    post([] {});
}

void event_loop::watch(int fd, std::uint32_t events, socket_handler handler)
{
    const bool known = socket_handlers_.count(fd) != 0;
    socket_handlers_[fd] = std::make_shared<socket_handler>(std::move(handler));
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_fd_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
}

void event_loop::update_watch(int fd, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event);
}

void event_loop::unwatch(int fd)
{
    if (socket_handlers_.erase(fd) > 0) {
        ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    }
}

timer_id event_loop::run_after(millis delay, task work)
{
    const timer_id id(next_timer_++);
    const instant deadline = now().now + delay;
    timers_.emplace(std::make_pair(deadline, id.value()), std::move(work));
    timer_deadlines_[id.value()] = deadline;
    return id;
}

void event_loop::cancel(timer_id timer)
{
    const auto found = timer_deadlines_.find(timer.value());
    if (found != timer_deadlines_.end()) {
        timers_.erase({found->second, timer.value()});
        timer_deadlines_.erase(found);
    }
}

void event_loop::run_posted_tasks()
{
    std::vector<task> tasks;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks.swap(posted_tasks_);
    }
    for (task& t : tasks) {
        t();
    }
}

void event_loop::run_timers()
{
    const instant current_time = now().now;
    while (!timers_.empty() && timers_.begin()->first.first <= current_time) {
        const task work = std::move(timers_.begin()->second);
        timer_deadlines_.erase(timers_.begin()->first.second);
        timers_.erase(timers_.begin());
        work();
    }
}

bool event_loop::has_posted_tasks()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return !posted_tasks_.empty();
}

int event_loop::epoll_timeout_ms()
{
    if (has_posted_tasks()) {
        return 0;
    }
    if (timers_.empty()) {
        return max_epoll_wait_ms;
    }
    const std::int64_t wait_ms = (timers_.begin()->first.first - now().now).count();
    return static_cast<int>(std::clamp<std::int64_t>(wait_ms, 0, max_epoll_wait_ms));
}

void event_loop::run()
{
    std::array<epoll_event, max_epoll_events> events{};
    loop_thread_ = std::this_thread::get_id();
    while (!stopped_) {
        const int ready =
            ::epoll_wait(epoll_fd_, events.data(), max_epoll_events, epoll_timeout_ms());
        for (int i = 0; i < ready; ++i) {
            const auto found = socket_handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
            if (found != socket_handlers_.end()) {
                // Keeps the handler alive, because it may unwatch its own socket while it runs.
                const std::shared_ptr<socket_handler> handler = found->second;
                (*handler)(events[static_cast<std::size_t>(i)].events);
            }
        }
        run_posted_tasks();
        run_timers();
    }
}

} // namespace fescuedyke
