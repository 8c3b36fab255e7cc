#include "Base/StallFreeTime.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(StallFreeTime)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    StallFreeTime time;
};

TEST(StallFreeTime, EqualsTheClockWhileTimersAreOnTime)
{
    time.recordDelay(absl::Milliseconds(3));
    CHECK(time.at(start) == start);
}

TEST(StallFreeTime, LeavesOutStalls)
{
    const absl::Time before = time.at(start);
    time.recordDelay(absl::Milliseconds(400));
    CHECK(time.at(start + absl::Milliseconds(500)) - before == absl::Milliseconds(100));
}
