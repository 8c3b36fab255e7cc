#include "platform/JobCodec.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr uint32_t maxTasks = 1300;

WebRequest request(const std::string& body)
{
    return { "POST", "/lohu930/5c0e7a21d94b36f8?x=1", "nony24.example:8161", { { "x-trefoilwing-deadline-ms", "1500" } }, body };
}

Result<IncomingJob> decode(const std::string& body)
{
    return platform::decodeJob(request(body), "5c0e7a21d94b36f8", maxTasks);
}

} // namespace

TEST_GROUP(JobCodec) {};

TEST(JobCodec, AJobIsDecoded)
{
    const Result<IncomingJob> decoded = decode(R"J({"spec":"(text)","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900}]})J");
    CHECK(valueOf(decoded));
    const IncomingJob& job = *valueOf(decoded);
    STRCMP_EQUAL("5c0e7a21d94b36f8", job.key.value().c_str());
    STRCMP_EQUAL("nony24.example", job.host.c_str());
    STRCMP_EQUAL("/lohu930/5c0e7a21d94b36f8", job.path.c_str());
    LONGS_EQUAL(4, job.taskCount);
    LONGS_EQUAL(500, job.need.milliCores);
    LONGS_EQUAL(256, job.need.memoryMb);
    CHECK(job.estimate == absl::Milliseconds(900));
    CHECK(job.maxWait == absl::Milliseconds(1500));
}

// A job that needs an unsupported feature must be rejected before any part of it runs.
TEST(JobCodec, JobsThatAskForMoreAreUnavailable)
{
    for (const char* body : { R"({"spec":"s","steps":[{"count":1,"cpu":1}]})", R"({"spec":"s","best_effort":true,"repeat_count":2,"steps":[{"count":1,"cpu":1}]})",
             R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1,"gang":true}]})", R"({"spec":"s","best_effort":true,"steps":[{"count":1},{"count":1,"depends_on":[0]}]})" }) {
        const Result<IncomingJob> decoded = decode(body);
        CHECK(errorOf(decoded) && errorOf(decoded)->code == ErrorCode::Unavailable);
        LONGS_EQUAL(503, platform::encodeError(*errorOf(decoded)).status);
    }
}

TEST(JobCodec, BadJobsAreMalformed)
{
    for (const char* body : { "", "{", "[]", R"({"spec":1,"best_effort":true,"steps":[{"count":1}]})", R"({"spec":"s","best_effort":true,"steps":[]})",
             R"({"spec":"s","best_effort":true,"steps":[{"count":0}]})", R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":-5}]})" }) {
        const Result<IncomingJob> decoded = decode(body);
        CHECK(errorOf(decoded) && errorOf(decoded)->code == ErrorCode::Malformed);
    }
    CHECK(errorOf(platform::decodeJob(request("{}"), "short", maxTasks)));
    CHECK(errorOf(platform::decodeJob(request("{}"), "5c0e7a21d94b36fz", maxTasks)));
}

// Guards against a job that its cell can't hold: it ended one owner after the other (review/10).
TEST(JobCodec, AJobOfTooManyTasksIsTooLargeAndFinal)
{
    CHECK(valueOf(decode(R"({"spec":"s","best_effort":true,"steps":[{"count":1300,"cpu":1}]})")));
    for (const char* body : { R"({"spec":"s","best_effort":true,"steps":[{"count":1301,"cpu":1}]})", R"({"spec":"s","best_effort":true,"steps":[{"count":100000000000,"cpu":1}]})" }) {
        const Result<IncomingJob> decoded = decode(body);
        CHECK(errorOf(decoded) && errorOf(decoded)->code == ErrorCode::TooLarge);
        LONGS_EQUAL(413, platform::encodeError(*errorOf(decoded)).status);
    }
}

TEST(JobCodec, AnswersHaveTheirStatus)
{
    LONGS_EQUAL(200, platform::encodeAnswer({ AnswerKind::Completed, {} }).status);
    STRCMP_EQUAL(R"({"state":"failed"})", platform::encodeAnswer({ AnswerKind::Failed, {} }).body.c_str());
    LONGS_EQUAL(504, platform::encodeAnswer({ AnswerKind::GaveUp, {} }).status);
    LONGS_EQUAL(404, platform::encodeAnswer({ AnswerKind::UnknownRoute, {} }).status);
    const WebResponse overloaded = platform::encodeAnswer({ AnswerKind::Overloaded, absl::Milliseconds(1200) });
    LONGS_EQUAL(429, overloaded.status);
    STRCMP_EQUAL("2", findHeader(overloaded.headers, "retry-after")->c_str());
}
