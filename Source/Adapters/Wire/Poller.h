#pragma once

#include <absl/time/time.h>

#include <memory>

namespace trefoilwing {

/// Readiness of a socket.
struct Readiness {
    bool canRead = false;
    bool canWrite = false;
    bool hasFailed = false;
};

/// Handles the readiness of one socket, on the link's thread.
class PollHandler {
public:
    virtual ~PollHandler() = default;

    virtual void ready(Readiness, absl::Time now) = 0;
};

/// Waits for many sockets at once with epoll, and can be woken by other threads.
class Poller {
public:
    Poller();
    ~Poller();
    Poller(const Poller&) = delete;
    Poller& operator=(const Poller&) = delete;

    /// Watches a socket until it is closed.
    /// @param handler must outlive the next wait() after the socket was closed.
    void add(int descriptor, PollHandler&, bool wantsWrite);

    /// Watches a listening socket. It is edge-triggered: its handler is called once for each new connection,
    /// so that one that can't be accepted, e.g. for lack of descriptors, doesn't make the thread spin.
    void addListener(int descriptor, PollHandler&);

    void setWantsWrite(int descriptor, PollHandler&, bool wantsWrite);

    /// Blocks until a socket is ready, wake() is called or the timeout is over, then calls the handlers.
    /// @param now returns the time after the wait, which is passed to the handlers.
    template <typename Now>
    void wait(absl::Duration timeout, Now&& now)
    {
        const int count = waitForEvents(timeout);
        const absl::Time time = now();
        for (int i = 0; i < count; ++i)
            deliver(i, time);
    }

    /// Ends the current wait(), or else the next one. Any thread may call it.
    void wake();

private:
    static constexpr int maxEvents = 64;

    struct Events;

    int waitForEvents(absl::Duration timeout);
    void deliver(int index, absl::Time now);

    int epoll_ = -1;
    int wakeup_ = -1;
    std::unique_ptr<Events> events_;
};

} // namespace trefoilwing
