#pragma once

#include <absl/time/time.h>

#include <memory>

namespace trefoilwing {

/// What a socket is ready for.
struct Readiness {
    bool canRead = false;
    bool canWrite = false;
    bool hasFailed = false;
};

/// Takes the readiness of one socket, on the link's thread.
class PollHandler {
public:
    virtual ~PollHandler() = default;

    virtual void ready(Readiness, absl::Time now) = 0;
};

/// Waits for many sockets at once, and can be woken by other threads.
class Poller {
public:
    Poller();
    ~Poller();
    Poller(const Poller&) = delete;
    Poller& operator=(const Poller&) = delete;

    /// Watches a socket. It is forgotten when it is closed.
    /// @param handler must outlive the next wait() after the socket was closed.
    void add(int descriptor, PollHandler&, bool wantsWrite);

    /// Watches a listening socket. Its handler hears of it once for each new connection, so that one that
    /// can't be accepted, e.g. for lack of descriptors, doesn't make the thread spin.
    void addListener(int descriptor, PollHandler&);

    void setWantsWrite(int descriptor, PollHandler&, bool wantsWrite);

    /// Blocks until a socket is ready, wake() was called or the time has come.
    /// @param now tells handlers the time after the wait.
    template <typename Now>
    void wait(absl::Duration timeout, Now&& now)
    {
        const int count = waitForEvents(timeout);
        const absl::Time time = now();
        for (int i = 0; i < count; ++i)
            deliver(i, time);
    }

    /// Ends a wait() that is under way, or the next one. Any thread may call it.
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
