#include "Base/StallFreeTime.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(StallFreeTime)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    StallFreeTime running;
};

TEST(StallFreeTime, PassesLikeTheClockWhileTimersAreOnTime)
{
    running.recordDelay(absl::Milliseconds(3));
    CHECK(running.at(start) == start);
}

TEST(StallFreeTime, TimeThatWasLostDoesNotPass)
{
    const absl::Time before = running.at(start);
    running.recordDelay(absl::Milliseconds(400));
    CHECK(running.at(start + absl::Milliseconds(500)) - before == absl::Milliseconds(100));
}
