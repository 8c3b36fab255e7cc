#include "Adapters/Wire/SendQueue.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SendQueue)
{
    SendBudget budget { Bytes(10) };
    SendQueue queue { Bytes(6), budget };
    const absl::Time start = absl::UnixEpoch();
};

TEST(SendQueue, DropsTheOldestFramesBeyondTheLimit)
{
    CHECK(queue.push("aaa", start, start));
    CHECK(!queue.push("bbb", start, start));
    CHECK(!queue.push("ccc", start, start));
    STRCMP_EQUAL("bbbccc", queue.take(100, start).c_str());
    CHECK_EQUAL(1, queue.dropped());
}

TEST(SendQueue, DropsFramesThatWaitedTooLong)
{
    queue.push("a", start, start);
    queue.push("b", start + absl::Seconds(5), start);
    STRCMP_EQUAL("b", queue.take(100, start + absl::Seconds(1)).c_str());
    CHECK_EQUAL(1, queue.dropped());
}

TEST(SendQueue, TakesAtLeastOneFrameHoweverLarge)
{
    queue.push("aaaa", start, start);
    queue.push("b", start, start);
    STRCMP_EQUAL("aaaa", queue.take(2, start).c_str());
    STRCMP_EQUAL("b", queue.take(2, start).c_str());
    CHECK(queue.push("c", start, start));
}

// Guards against a crash loop of keepers: entries that couldn't be reached kept whatever was queued for them.
TEST(SendQueue, HoldsNoExpiredFramesForAPeerThatCannotBeReached)
{
    queue.push("aaa", start, start);
    queue.push("bbb", start + absl::Seconds(2), start + absl::Seconds(1));
    CHECK_EQUAL(3, queue.queuedBytes().value());
    queue.dropBefore(start + absl::Seconds(3));
    CHECK_EQUAL(0, queue.queuedBytes().value());
    CHECK_EQUAL(0, budget.used().value());
}

TEST(SendQueue, AllQueuesOfAProcessShareOneBudget)
{
    SendQueue other { Bytes(100), budget };
    queue.push("aaaa", start, start);
    other.push("bbbb", start, start);
    CHECK_FALSE(budget.isExceeded());
    other.push("cccc", start, start);
    CHECK_TRUE(budget.isExceeded());
    other.dropUntilWithinBudget();
    STRCMP_EQUAL("cccc", other.take(100, start).c_str());
    STRCMP_EQUAL("aaaa", queue.take(100, start).c_str());
    CHECK_EQUAL(0, budget.used().value());
}
