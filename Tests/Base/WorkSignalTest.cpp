#include "Base/WorkSignal.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <thread>

using namespace trefoilwing;

TEST_GROUP(WorkSignal)
{
    WorkSignal signal;

    /// @return how long a wait with the given timeout took.
    std::chrono::milliseconds measureWait(absl::Duration timeout)
    {
        const auto begin = std::chrono::steady_clock::now();
        signal.wait(timeout);
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    }
};

TEST(WorkSignal, AWaitEndsAfterItsTimeout)
{
    CHECK(measureWait(absl::Milliseconds(60)) >= std::chrono::milliseconds(60));
}

TEST(WorkSignal, ARaiseBeforeAWaitEndsOnlyThatWait)
{
    signal.raise();
    CHECK(measureWait(absl::Minutes(10)) < std::chrono::minutes(1));
    CHECK(measureWait(absl::Milliseconds(60)) >= std::chrono::milliseconds(60));
}

TEST(WorkSignal, ARaiseFromAnotherThreadEndsAnInfiniteWait)
{
    std::thread other([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        signal.raise();
    });
    CHECK(measureWait(absl::InfiniteDuration()) < std::chrono::minutes(1));
    other.join();
}

TEST(WorkSignal, ANegativeTimeoutDoesntWait)
{
    CHECK(measureWait(-absl::Seconds(5)) < std::chrono::minutes(1));
}
