#include "Adapters/Wire/Poller.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace trefoilwing {

struct Poller::Events {
    std::array<epoll_event, maxEvents> list {};
};

namespace {

    epoll_event interest(PollHandler* handler, bool wantsWrite)
    {
        epoll_event event {};
        event.events = EPOLLIN | (wantsWrite ? static_cast<uint32_t>(EPOLLOUT) : 0U);
        event.data.ptr = handler;
        return event;
    }

    int toMilliseconds(absl::Duration timeout)
    {
        // Rounded up: a wait that ends before the deadline would be repeated until it is reached.
        const int64_t millis = absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1)));
        return static_cast<int>(std::clamp<int64_t>(millis, 0, std::numeric_limits<int>::max()));
    }

} // namespace

Poller::Poller()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC))
    , wakeup_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , events_(std::make_unique<Events>())
{
    epoll_event event = interest(nullptr, false);
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event);
}

Poller::~Poller()
{
    ::close(wakeup_);
    ::close(epoll_);
}

void Poller::add(int descriptor, PollHandler& handler, bool wantsWrite)
{
    epoll_event event = interest(&handler, wantsWrite);
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::addListener(int descriptor, PollHandler& handler)
{
    epoll_event event = interest(&handler, false);
    event.events |= EPOLLET;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::setWantsWrite(int descriptor, PollHandler& handler, bool wantsWrite)
{
    epoll_event event = interest(&handler, wantsWrite);
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::wake()
{
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(wakeup_, &one, sizeof(one));
}

int Poller::waitForEvents(absl::Duration timeout)
{
    return ::epoll_wait(epoll_, events_->list.data(), maxEvents, toMilliseconds(timeout));
}

void Poller::deliver(int index, absl::Time now)
{
    const epoll_event& event = events_->list[static_cast<size_t>(index)];
    auto* handler = static_cast<PollHandler*>(event.data.ptr);
    if (!handler) {
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t taken = ::read(wakeup_, &count, sizeof(count));
        return;
    }
    handler->ready({ (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0,
                       (event.events & (EPOLLERR | EPOLLHUP)) != 0 },
        now);
}

} // namespace trefoilwing
