#include "Adapters/Wire/SendQueue.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SendQueue)
{
    SendQueue queue { Bytes(6) };
    const absl::Time start = absl::UnixEpoch();
};

TEST(SendQueue, DropsTheOldestFramesBeyondTheLimit)
{
    CHECK(queue.push("aaa", start));
    CHECK(!queue.push("bbb", start));
    CHECK(!queue.push("ccc", start));
    STRCMP_EQUAL("bbbccc", queue.take(100, start).c_str());
    CHECK_EQUAL(1, queue.dropped());
}

TEST(SendQueue, DropsFramesThatWaitedTooLong)
{
    queue.push("a", start);
    queue.push("b", start + absl::Seconds(5));
    STRCMP_EQUAL("b", queue.take(100, start + absl::Seconds(1)).c_str());
    CHECK_EQUAL(1, queue.dropped());
}

TEST(SendQueue, TakesAtLeastOneFrameHoweverLarge)
{
    queue.push("aaaa", start);
    queue.push("b", start);
    STRCMP_EQUAL("aaaa", queue.take(2, start).c_str());
    STRCMP_EQUAL("b", queue.take(2, start).c_str());
    CHECK(queue.push("c", start));
}
