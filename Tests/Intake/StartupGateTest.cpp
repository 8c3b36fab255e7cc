#include "Intake/StartupGate.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// All processes restart after a power loss while callers keep sending requests.
TEST_GROUP(StartupGate)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    StartupGate gate { now };
};

TEST(StartupGate, CallersWaitUntilTheEntryIsReady)
{
    CHECK(gate.shouldWait(false, now + absl::Milliseconds(300)));
    CHECK_FALSE(gate.shouldWait(true, now + absl::Milliseconds(400)));
}

TEST(StartupGate, AnEntryThatWasReadyRejectsAtOnceWhatItCantServe)
{
    CHECK_FALSE(gate.shouldWait(true, now + absl::Milliseconds(400)));
    CHECK_FALSE(gate.shouldWait(false, now + absl::Milliseconds(500)));
}

TEST(StartupGate, CallersWaitOnlyBrieflyForAnEntryThatFindsNoKeeper)
{
    CHECK(gate.shouldWait(false, now + absl::Milliseconds(900)));
    CHECK_FALSE(gate.shouldWait(false, now + absl::Milliseconds(1100)));
}
