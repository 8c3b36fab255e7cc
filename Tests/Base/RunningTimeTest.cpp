#include "Base/RunningTime.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(RunningTime)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    RunningTime running;
};

TEST(RunningTime, PassesLikeTheClockWhileTimersAreOnTime)
{
    running.ranLate(absl::Milliseconds(3));
    CHECK(running.at(start) == start);
}

TEST(RunningTime, TimeThatWasLostDoesNotPass)
{
    const absl::Time before = running.at(start);
    running.ranLate(absl::Milliseconds(400));
    CHECK(running.at(start + absl::Milliseconds(500)) - before == absl::Milliseconds(100));
}
