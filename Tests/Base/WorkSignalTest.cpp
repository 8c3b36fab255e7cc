#include "Base/WorkSignal.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <thread>

using namespace trefoilwing;

TEST_GROUP(WorkSignal)
{
    WorkSignal signal;

    /// @return how long a wait of at most the time given took.
    std::chrono::milliseconds waited(absl::Duration longest)
    {
        const auto begin = std::chrono::steady_clock::now();
        signal.wait(longest);
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    }
};

TEST(WorkSignal, AWaitEndsAfterItsTime)
{
    CHECK(waited(absl::Milliseconds(60)) >= std::chrono::milliseconds(60));
}

TEST(WorkSignal, ARaiseBeforeTheWaitEndsItAtOnceAndOnlyIt)
{
    signal.raise();
    CHECK(waited(absl::Minutes(10)) < std::chrono::minutes(1));
    CHECK(waited(absl::Milliseconds(60)) >= std::chrono::milliseconds(60));
}

TEST(WorkSignal, ARaiseFromAnotherThreadEndsAnInfiniteWait)
{
    std::thread other([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        signal.raise();
    });
    CHECK(waited(absl::InfiniteDuration()) < std::chrono::minutes(1));
    other.join();
}

TEST(WorkSignal, ATimeThatIsOverDoesntWait)
{
    CHECK(waited(-absl::Seconds(5)) < std::chrono::minutes(1));
}
