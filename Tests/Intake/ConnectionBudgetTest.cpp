#include "Intake/ConnectionBudget.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// The load here: clients that hold connections or bytes for as long as they can, beside ordinary ones.
TEST_GROUP(ConnectionBudget)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    ConnectionLimits limits { Bytes(1000), 4 };
    ConnectionBudget budget { limits };
    ListenerId callers = budget.addListener(4);
    ListenerId readiness = budget.addListener(1);

    absl::Time at(double seconds) const
    {
        return start + absl::Seconds(seconds);
    }

    /// Opens a connection that has had one request answered, and is idle since then.
    ConnectionId openProven(absl::Time now)
    {
        const ConnectionId id = budget.open(callers, now);
        budget.update(id, ConnectionPhase::Serving, Bytes(), now);
        budget.update(id, ConnectionPhase::Sending, Bytes(), now);
        budget.update(id, ConnectionPhase::Idle, Bytes(), now);
        return id;
    }
};

// Guards against silent connections that keep ordinary callers out.
TEST(ConnectionBudget, AConnectionThatNeverSentARequestMakesRoomFirst)
{
    const ConnectionId idle = openProven(at(0));
    const ConnectionId silent = budget.open(callers, at(1));
    budget.open(callers, at(2));
    budget.open(callers, at(2));
    const auto first = budget.makeRoom(callers, at(3));
    CHECK(first && first->connection == silent && first->reason == CloseReason::Connections);
    budget.open(callers, at(3));
    for (int i = 0; i < 10; ++i) {
        const auto closure = budget.makeRoom(callers, at(4 + i));
        CHECK(closure && closure->connection != idle);
        budget.open(callers, at(4 + i));
    }
    LONGS_EQUAL(4, budget.size());
}

// Guards against an ordinary caller that loses its job because others connect.
TEST(ConnectionBudget, AServedConnectionNeverMakesRoom)
{
    for (int i = 0; i < 4; ++i)
        budget.update(budget.open(callers, at(0)), ConnectionPhase::Serving, Bytes(), at(0));
    const auto closure = budget.makeRoom(callers, at(100));
    CHECK(closure && closure->reason == CloseReason::Refused);
    CHECK(!budget.releaseDescriptor(at(100)));
    LONGS_EQUAL(4, budget.size());
}

// Guards against connections of one listener that close those of another while that isn't full.
TEST(ConnectionBudget, AFullListenerMakesRoomByItself)
{
    const ConnectionId caller = budget.open(callers, at(0));
    const ConnectionId check = budget.open(readiness, at(1));
    const auto closure = budget.makeRoom(readiness, at(2));
    CHECK(closure && closure->connection == check);
    CHECK(!budget.makeRoom(callers, at(2)));
    const auto released = budget.releaseDescriptor(at(2));
    CHECK(released && released->connection == caller && released->reason == CloseReason::Descriptors);
}

// Guards against a process that runs out of memory: the client that is slow on purpose is closed, not the ordinary one
// that has just sent more.
TEST(ConnectionBudget, TheBytesHeldForLongestAreReleasedFirst)
{
    const ConnectionId served = budget.open(callers, at(0));
    const ConnectionId slow = budget.open(callers, at(0));
    const ConnectionId ordinary = budget.open(callers, at(0));
    CHECK(budget.update(served, ConnectionPhase::Serving, Bytes(500), at(0)).empty());
    CHECK(budget.update(slow, ConnectionPhase::Body, Bytes(200), at(0)).empty());
    const auto closures = budget.update(ordinary, ConnectionPhase::Body, Bytes(400), at(5));
    LONGS_EQUAL(1, closures.size());
    CHECK(closures.front().connection == slow && closures.front().reason == CloseReason::Memory);
    LONGS_EQUAL(900, budget.held().value());
}

TEST(ConnectionBudget, AServedConnectionIsClosedWhenNothingElseHoldsBytes)
{
    const ConnectionId small = budget.open(callers, at(0));
    const ConnectionId large = budget.open(callers, at(0));
    const ConnectionId idle = budget.open(callers, at(0));
    budget.update(small, ConnectionPhase::Serving, Bytes(400), at(0));
    const auto closures = budget.update(large, ConnectionPhase::Serving, Bytes(700), at(0));
    LONGS_EQUAL(1, closures.size());
    CHECK(closures.front().connection == large);
    budget.remove(idle);
    budget.remove(small);
    LONGS_EQUAL(0, budget.held().value());
    LONGS_EQUAL(0, budget.size());
}

// Guards against single-byte senders: bytes that arrive don't extend the time of a phase.
TEST(ConnectionBudget, APhaseHasATimeoutHoweverOftenBytesArrive)
{
    const ConnectionId header = budget.open(callers, at(0));
    const ConnectionId served = budget.open(callers, at(0));
    budget.update(served, ConnectionPhase::Serving, Bytes(1), at(0));
    for (int second = 0; second < 10; ++second) {
        budget.update(header, ConnectionPhase::Header, Bytes(static_cast<uint64_t>(second)), at(second));
        CHECK(budget.expire(at(second)).empty());
    }
    const auto closures = budget.expire(at(10));
    LONGS_EQUAL(1, closures.size());
    CHECK(closures.front().connection == header && closures.front().reason == CloseReason::HeaderTimeout);
    CHECK(budget.expire(at(3600)).empty());
}

// Guards against a bound that an ordinary client reaches: it may be idle for 15 s between requests.
TEST(ConnectionBudget, EachPhaseEndsWithItsOwnReason)
{
    const ConnectionId body = budget.open(callers, at(0));
    const ConnectionId sending = budget.open(callers, at(0));
    budget.open(callers, at(0));
    budget.update(body, ConnectionPhase::Body, Bytes(1), at(0));
    budget.update(sending, ConnectionPhase::Sending, Bytes(1), at(1));
    CHECK(budget.expire(at(29)).empty());
    CHECK(budget.expire(at(30)).front().reason == CloseReason::BodyTimeout);
    CHECK(budget.expire(at(31)).front().reason == CloseReason::SendTimeout);
    CHECK(budget.expire(at(59)).empty());
    CHECK(budget.expire(at(60)).front().reason == CloseReason::IdleTimeout);
}
