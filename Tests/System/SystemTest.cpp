#include "System/Cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration outcomeTimeout = absl::Seconds(90);

CallerJob makeJob(const std::string& key, uint32_t tasks, absl::Duration runTime, const std::string& backer = "shop-a")
{
    CallerJob job { { ServiceId("follow-up"), BackerId(backer), CallerKey(key) }, TaskKindId("price"), TaskCount(tasks), runTime };
    job.timeout = absl::Seconds(60);
    return job;
}

} // namespace

TEST_GROUP(System)
{
    Cluster cluster;

    void begin(int minions = 5)
    {
        for (const char* daemon : { "bole-1", "bole-2", "merkato-1", "merkato-2" })
            cluster.startDaemon(daemon);
        cluster.startMinions("bole-minions", "bole", minions);
        cluster.startMinions("merkato-minions", "merkato", minions);
        CHECK_TEXT(cluster.publishAndAwaitService(), "the entries serve both backers");
    }

    CallerReply outcome(const CallerJob& job, const std::vector<std::string>& daemons)
    {
        std::vector<Endpoint> entries;
        entries.reserve(daemons.size());
        for (const std::string& daemon : daemons)
            entries.push_back(cluster.http(daemon));
        return Caller::awaitOutcome(entries, job.id, outcomeTimeout);
    }

    void checkComplete(const CallerReply& reply, const CallerJob& job)
    {
        const std::string fault = cluster.faultOf(reply, job);
        if (!fault.empty())
            FAIL(fault.c_str());
        if (!reply.isComplete())
            FAIL(absl::StrCat("failed: ", reply.errorCode, " ", reply.verdict, " ", reply.message).c_str());
    }

    /// Checks that the outcome agrees with the execution log, whether it is complete or a failure.
    void checkConsistent(const CallerReply& reply, const CallerJob& job)
    {
        const std::string fault = cluster.faultOf(reply, job);
        if (!fault.empty())
            FAIL(fault.c_str());
    }

    void submit(const std::string& daemon, const CallerJob& job)
    {
        const CallerReply reply = Caller::submit(cluster.http(daemon), job);
        if (reply.httpStatus != 202 && reply.httpStatus != 200)
            FAIL(absl::StrCat("not accepted: HTTP ", reply.httpStatus, " ", reply.errorCode, " ", reply.message).c_str());
    }
};

TEST(System, JobsOverTwoEntriesCompleteWhole)
{
    begin();
    const CallerJob first = makeJob("first", 500, absl::Milliseconds(50));
    const CallerJob second = makeJob("second", 500, absl::Milliseconds(50));
    submit("bole-1", first);
    submit("bole-2", second);
    // Fetch each outcome from the entry that didn't accept the job.
    checkComplete(outcome(first, { "bole-2" }), first);
    checkComplete(outcome(second, { "bole-1" }), second);
}

TEST(System, SigtermCutsOffNothing)
{
    begin();
    const CallerJob job = makeJob("drained", 500, absl::Milliseconds(50));
    submit("bole-1", job);
    CHECK(cluster.awaitStarts(job.id, 20));
    CallerReply reply;
    std::thread poller([&] { reply = outcome(job, { "bole-1", "bole-2" }); });
    cluster.process("bole-1").signal(SIGTERM);
    poller.join();
    checkComplete(reply, job);
    const std::optional<int> status = cluster.process("bole-1").await(outcomeTimeout);
    LONGS_EQUAL(0, status.value_or(-1));
}

TEST(System, AResubmissionToAnotherEntryJoins)
{
    begin();
    const CallerJob job = makeJob("joined", 200, absl::Milliseconds(50));
    std::thread other([&] { submit("merkato-2", job); });
    submit("bole-1", job);
    other.join();
    submit("bole-2", job);
    for (const char* daemon : { "bole-1", "bole-2", "merkato-1", "merkato-2" })
        checkComplete(outcome(job, { daemon }), job);
    submit("merkato-1", job);
    checkComplete(outcome(job, { "merkato-1" }), job);
}

TEST(System, TheSameIdWithOtherContentIsAConflict)
{
    begin();
    const CallerJob job = makeJob("taken", 20, absl::Milliseconds(50));
    CallerJob changed = job;
    changed.runTime = absl::Milliseconds(51);
    submit("bole-1", job);
    const CallerReply reply = Caller::submit(cluster.http("bole-2"), changed);
    LONGS_EQUAL(409, reply.httpStatus);
    STRCMP_EQUAL("conflict", reply.errorCode.c_str());
    checkComplete(outcome(job, { "bole-1" }), job);
}

TEST(System, RefusalsAreTrulyNotRun)
{
    begin();
    const CallerJob right = makeJob("refused", 2, absl::Milliseconds(1));
    std::vector<CallerJob> wrong(5, right);
    wrong[0].id.service = ServiceId("unknown");
    wrong[1].id.backer = BackerId("unknown");
    wrong[2].kind = TaskKindId("unknown");
    wrong[3].timeout = absl::ZeroDuration();
    wrong[4].tasks = TaskCount(1001);
    std::vector<CallerReply> replies;
    replies.reserve(2 * wrong.size());
    for (const CallerJob& job : wrong)
        replies.push_back(Caller::submit(cluster.http("bole-1"), job));
    // A request always has one task, so too many tasks, the last case, can't occur there.
    wrong.pop_back();
    for (const CallerJob& job : wrong)
        replies.push_back(Caller::request(cluster.http("merkato-1"), job));
    const std::string begin = R"({"service":"follow-up","backer":"shop-a","id":"refused","tasks":[{"kind":"price","payload":")";
    replies.push_back(Caller::post(cluster.http("bole-1"), "/v1/submissions", begin + std::string(5000, 'x') + R"("}]})"));
    replies.push_back(Caller::post(cluster.http("bole-1"), "/v1/submissions", begin));
    replies.push_back(Caller::post(cluster.http("bole-1"), "/v1/submissions", "[]"));
    replies.push_back(Caller::post(cluster.http("bole-1"), "/v1/requests", R"({"service":7})"));
    for (const CallerReply& reply : replies) {
        if (reply.httpStatus < 400 || reply.httpStatus > 499 || reply.verdict != "not run" || reply.message.empty())
            FAIL(absl::StrCat("HTTP ", reply.httpStatus, " ", reply.errorCode, " '", reply.verdict, "' ", reply.message).c_str());
    }
    LONGS_EQUAL(0, cluster.record(right.id).starts.size());
}

TEST(System, AKilledEntryLeavesATrueOutcome)
{
    begin();
    const CallerJob job = makeJob("owner-killed", 200, absl::Milliseconds(100));
    submit("bole-1", job);
    CHECK(cluster.awaitStarts(job.id, 10));
    cluster.process("bole-1").kill();
    submit("bole-2", job);
    checkConsistent(outcome(job, { "bole-2", "merkato-1" }), job);

    // The other daemons still serve, and the killed entry gives the same outcome after its restart.
    const CallerJob next = makeJob("after-the-kill", 50, absl::Milliseconds(20));
    submit("bole-2", next);
    checkComplete(outcome(next, { "bole-2" }), next);
    cluster.startDaemon("bole-1");
    checkConsistent(outcome(job, { "bole-1" }), job);
}

TEST(System, AStoppedEntryLeavesATrueOutcome)
{
    begin();
    const CallerJob job = makeJob("owner-stopped", 200, absl::Milliseconds(100));
    submit("bole-1", job);
    CHECK(cluster.awaitStarts(job.id, 10));
    cluster.process("bole-1").signal(SIGSTOP);
    std::thread resubmission([&] { Caller::submit(cluster.http("bole-2"), job); });
    absl::SleepFor(absl::Seconds(10));
    cluster.process("bole-1").signal(SIGCONT);
    resubmission.join();
    const CallerReply reply = outcome(job, { "bole-2" });
    checkConsistent(reply, job);
    // The entry that was stopped returns the same outcome.
    const CallerReply same = outcome(job, { "bole-1" });
    checkConsistent(same, job);
    STRCMP_EQUAL(reply.state.c_str(), same.state.c_str());
    STRCMP_EQUAL(reply.verdict.c_str(), same.verdict.c_str());
}

TEST(System, AKilledMinionLeavesATrueOutcome)
{
    begin();
    cluster.startMinions("doomed", "bole", 3);
    const CallerJob job = makeJob("minion-killed", 300, absl::Milliseconds(100));
    submit("bole-1", job);
    CHECK(cluster.awaitStarts(job.id, 50));
    cluster.process("doomed").kill();
    checkConsistent(outcome(job, { "bole-2" }), job);

    const CallerJob next = makeJob("after-the-minion", 50, absl::Milliseconds(20));
    submit("bole-1", next);
    checkConsistent(outcome(next, { "bole-1" }), next);
}

TEST(System, AWipedKeeperStartsNothingAgain)
{
    begin();
    const CallerJob job = makeJob("before-the-wipe", 50, absl::Milliseconds(20));
    submit("bole-1", job);
    checkComplete(outcome(job, { "bole-1" }), job);
    cluster.process("bole-1").kill();
    std::filesystem::remove_all(cluster.dataFolder("bole-1"));
    std::filesystem::create_directory(cluster.dataFolder("bole-1"));
    cluster.startDaemon("bole-1");
    for (const char* daemon : { "bole-2", "bole-1", "merkato-1" })
        Caller::submit(cluster.http(daemon), job);
    checkConsistent(outcome(job, { "bole-2" }), job);
}

TEST(System, AdverseMinionsStartNoTaskTwice)
{
    begin(1);
    int number = 0;
    for (const char* behaviour : { "slow", "straggler", "refuses", "cannot_begin", "answers_late", "answers_twice", "crossed" })
        cluster.startMinions(absl::StrCat("adverse-", number++), "bole", 1, behaviour);
    cluster.startMinions("silent", "bole", 1, "silent", 5);
    cluster.startMinions("hung", "bole", 1, "hung", 5);
    cluster.startMinions("crash", "bole", 1, "crash", 5);
    for (int i = 0; i < 5; ++i) {
        const CallerJob job = makeJob(absl::StrCat("adverse-", i), 50, absl::Milliseconds(20));
        submit(i % 2 ? "bole-1" : "bole-2", job);
        checkConsistent(outcome(job, { "bole-1", "bole-2" }), job);
    }
}
