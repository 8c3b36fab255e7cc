#include "Ctl/HttpCallerLink.h"
#include "Ctl/HttpOperatorLink.h"

#include "Adapters/Clock/SystemClock.h"
#include "Adapters/Http/CallerApi.h"
#include "Adapters/Http/OperatorApi.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

class FakeOperations : public Operations {
public:
    DaemonStatus status() const override { return current; }
    Configuration configuration() const override { return { ConfigurationVersion(7), {} }; }
    void publish(PublishRecord record, std::function<void(Result<ConfigurationVersion>)> done) override
    {
        done(record.base == ConfigurationVersion(7) ? Result<ConfigurationVersion>(ConfigurationVersion(8)) : Result<ConfigurationVersion>(conflict));
    }
    void drain() override { current.isDraining = true; }
    void removeMember(const MemberRemoval&, std::function<void(Result<Done>)> done) override { done(Done {}); }

    const Error conflict { ErrorCode::Conflict, "version 8 was published by bold", Verdict::NotRun };
    DaemonStatus current;
};

class FakeMetricsSource : public MetricsSource {
public:
    MetricsSnapshot snapshot() const override { return { absl::FromUnixSeconds(5), {}, {}, {}, {}, 3 }; }
};

/// Completes requests immediately and jobs at the second poll; submissions of the backer "bad" fail.
class FakeCallerOperations : public CallerOperations {
public:
    CallerKey nextRequestKey() override { return CallerKey("r"); }
    void request(Submission submission, StateCallback done) override { done(outcomeOf(submission.id.backer, submission.tasks.size())); }
    void submit(Submission submission, StateCallback done) override
    {
        tasks = submission.tasks.size();
        done(StillRunning {});
    }
    void awaitOutcome(const SubmissionKey& key, absl::Duration, StateCallback done) override
    {
        done(++polls < 2 ? SubmissionState(StillRunning {}) : outcomeOf(key.backer, tasks));
    }
    void cancel(const SubmissionKey&, StateCallback done) override { done(StillRunning {}); }

    static SubmissionState outcomeOf(const BackerId& backer, size_t tasks)
    {
        if (backer == BackerId("bad"))
            return Error { ErrorCode::TaskFailed, "task 1 failed", Verdict::Ran };
        return JobAnswer { std::vector<std::string>(tasks, "out") };
    }

    size_t tasks = 0;
    int polls = 0;
};

} // namespace

TEST_GROUP(HttpLinks)
{
    SystemClock clock;
    FakeOperations operations;
    FakeMetricsSource metricsSource;
    FakeCallerOperations callerOperations;
    OperatorApi operatorApi { operations, metricsSource, [](const MetricsSnapshot&) { return std::string(); } };
    CallerApi callerApi { callerOperations, clock, 4 };
    HttpServer server { { 4, Bytes { 1U << 20U } } };

    void setup() override
    {
        operatorApi.addRoutes(server);
        callerApi.addRoutes(server);
        CHECK_TRUE(valueOf(server.start({ "127.0.0.1", 0 })));
    }

    void teardown() override
    {
        server.stop();
    }

    Endpoint endpoint() const
    {
        return { "127.0.0.1", server.port() };
    }
};

TEST(HttpLinks, OperatorsReachEachRoute)
{
    HttpOperatorLink link(endpoint());
    CHECK_TRUE(link.configuration() == Result<Configuration>(operations.configuration()));
    CHECK_TRUE(link.metrics() == Result<MetricsSnapshot>(metricsSource.snapshot()));
    CHECK_TRUE(link.publish({ ConfigurationVersion(7), {}, {}, {}, "abebe" }) == Result<ConfigurationVersion>(ConfigurationVersion(8)));
    const Result<ConfigurationVersion> lost = link.publish({ ConfigurationVersion(6), {}, {}, {}, "abebe" });
    CHECK_TRUE(errorOf(lost)->code == ErrorCode::Conflict);
    STRCMP_EQUAL((link.address() + ": " + operations.conflict.message).c_str(), errorOf(lost)->message.c_str());
    CHECK_TRUE(valueOf(link.drain())->isDraining);
    CHECK_TRUE(valueOf(link.removeMember({ GroupId("configuration"), DaemonId("a") })));
}

TEST(HttpLinks, AnUnreachableDaemonDidNotRunTheCall)
{
    server.stop();
    HttpOperatorLink link({ "127.0.0.1", 1 });
    const Result<DaemonStatus> status = link.status();
    CHECK_TRUE(errorOf(status)->code == ErrorCode::Lost);
    CHECK_TRUE(errorOf(status)->verdict == Verdict::NotRun);
}

TEST(HttpLinks, CallersGetCompleteAnswersAndErrors)
{
    HttpCallerLink link(endpoint());
    LoadItem item;
    item.service = ServiceId("s");
    item.backer = BackerId("b");
    item.kind = TaskKindId("k");
    item.deadline = absl::Seconds(5);
    item.payloads = { "{}" };
    CHECK_TRUE(link.send(item) == Result<size_t>(size_t { 1 }));
    item.isJob = true;
    item.key = CallerKey("job-1");
    item.payloads = { "{}", "{}", "{}" };
    CHECK_TRUE(link.send(item) == Result<size_t>(size_t { 3 }));
    LONGS_EQUAL(2, callerOperations.polls);
    item.backer = BackerId("bad");
    const Result<size_t> failed = link.send(item);
    CHECK_TRUE(errorOf(failed)->code == ErrorCode::TaskFailed);
    CHECK_TRUE(errorOf(failed)->verdict == Verdict::Ran);
}
