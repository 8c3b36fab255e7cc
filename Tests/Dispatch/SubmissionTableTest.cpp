#include "Dispatch/SubmissionTable.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SubmissionTable)
{
    SubmissionTable table { Bytes(1000) };
    absl::Time now = absl::FromUnixSeconds(1000);
    SubmissionState told;

    SubmissionKey key(int number)
    {
        return { ServiceId("follow-up"), BackerId("shop-7"), CallerKey(std::to_string(number)) };
    }

    void publish(int number, size_t bytes)
    {
        StateNotices notices;
        table.admit(
            key(number), Digest(1), absl::Seconds(60), [](const SubmissionState&) {}, notices);
        table.setRunning(key(number), notices);
        table.publish(key(number), JobAnswer { { std::string(bytes, 'x') } }, now, notices);
        notices.deliver();
    }

    bool isAnswered(int number)
    {
        StateNotices notices;
        CHECK(table.watch(
            key(number), now, [this](const SubmissionState& state) { told = state; }, notices));
        notices.deliver();
        return std::holds_alternative<JobAnswer>(told);
    }
};

TEST(SubmissionTable, TheOldestAnswersAboveTheLimitAreDroppedAndTheirVerdictIsKept)
{
    publish(1, 400);
    publish(2, 400);
    CHECK(isAnswered(1));
    publish(3, 400);
    CHECK_FALSE(isAnswered(1));
    CHECK(std::get<Error>(told).verdict == Verdict::Ran);
    CHECK(isAnswered(2));
    CHECK(isAnswered(3));
}

TEST(SubmissionTable, TheNewestAnswerIsKeptRegardlessOfItsSize)
{
    publish(1, 400);
    publish(2, 5000);
    CHECK(isAnswered(2));
    CHECK_FALSE(isAnswered(1));
}

TEST(SubmissionTable, AnswersPastTheirRetentionFreeTheirBytes)
{
    publish(1, 400);
    publish(2, 400);
    now += absl::Seconds(61);
    StateNotices notices;
    table.tick(now, notices);
    publish(3, 400);
    publish(4, 400);
    CHECK(isAnswered(3));
    CHECK(isAnswered(4));
}
