#include "Intake/StartGate.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: all processes lost power and start again while callers keep coming.
TEST_GROUP(StartGate)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    StartGate gate { now };
};

TEST(StartGate, CallersWaitUntilTheEntryServes)
{
    CHECK(gate.isClosed(false, now + absl::Milliseconds(300)));
    CHECK_FALSE(gate.isClosed(true, now + absl::Milliseconds(400)));
}

TEST(StartGate, AnEntryThatHasServedRefusesAtOnceWhatItCantServe)
{
    CHECK_FALSE(gate.isClosed(true, now + absl::Milliseconds(400)));
    CHECK_FALSE(gate.isClosed(false, now + absl::Milliseconds(500)));
}

TEST(StartGate, NobodyWaitsForAnEntryThatFindsNoKeeper)
{
    CHECK(gate.isClosed(false, now + absl::Milliseconds(900)));
    CHECK_FALSE(gate.isClosed(false, now + absl::Milliseconds(1100)));
}
