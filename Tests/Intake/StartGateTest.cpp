#include "Intake/StartGate.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// All processes restart after a power loss while callers keep sending requests.
TEST_GROUP(StartGate)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    StartGate gate { now };
};

TEST(StartGate, CallersWaitUntilTheEntryIsReady)
{
    CHECK(gate.isClosed(false, now + absl::Milliseconds(300)));
    CHECK_FALSE(gate.isClosed(true, now + absl::Milliseconds(400)));
}

TEST(StartGate, AnEntryThatWasReadyRejectsAtOnceWhatItCantServe)
{
    CHECK_FALSE(gate.isClosed(true, now + absl::Milliseconds(400)));
    CHECK_FALSE(gate.isClosed(false, now + absl::Milliseconds(500)));
}

TEST(StartGate, CallersWaitOnlyBrieflyForAnEntryThatFindsNoKeeper)
{
    CHECK(gate.isClosed(false, now + absl::Milliseconds(900)));
    CHECK_FALSE(gate.isClosed(false, now + absl::Milliseconds(1100)));
}
