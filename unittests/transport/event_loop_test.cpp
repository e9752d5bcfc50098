#include "fescuedyke/transport/event_loop.h"

#include <gtest/gtest.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace fescuedyke {
namespace {

/// Unwatches its descriptor on destruction, like the connections of the servers and clients.
class watched_descriptor {
public:
    explicit watched_descriptor(event_loop& loop) : loop_(loop), fd_(::eventfd(0, EFD_CLOEXEC)) {}
    ~watched_descriptor()
    {
        loop_.unwatch(fd_);
        ::close(fd_);
    }
    watched_descriptor(const watched_descriptor&) = delete;
    watched_descriptor& operator=(const watched_descriptor&) = delete;
    int fd() const { return fd_; }

private:
    event_loop& loop_;
    int fd_;
};

// Guards against a process that crashes at its end because connections are still open then.
TEST(event_loop, handlers_that_own_their_connections_are_destroyed_with_the_loop)
{
    const system_clock clock;
    constexpr int descriptors = 100;
    int destroyed = 0;
    {
        event_loop loop(clock);
        for (int i = 0; i < descriptors; ++i) {
            const std::shared_ptr<watched_descriptor> owned(new watched_descriptor(loop),
                                                            [&](const watched_descriptor* d) {
                                                                ++destroyed;
                                                                delete d;
                                                            });
            loop.watch(owned->fd(), EPOLLIN, [owned](std::uint32_t) {});
        }
    }
    EXPECT_EQ(destroyed, descriptors);
}

} // namespace
} // namespace fescuedyke
