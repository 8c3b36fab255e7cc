#include "StandIns/StandInMinion.h"

#include "Adapters/Http/HttpMinionLink.h"
#include "Adapters/Http/MinionApi.h"

#include <map>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration awaitTimeout = absl::Seconds(60);

/// Both of the entry's interfaces to a minion. Records what the minion sends.
class RecordingEntry : public MinionSink, public MinionEvents {
public:
    Result<absl::Duration> announced(const MinionAnnouncement& announcement) override
    {
        const absl::MutexLock lock(&mutex_);
        announcement_ = announcement;
        return absl::Seconds(3);
    }

    void resultsPosted(ResultBatch batch) override
    {
        const absl::MutexLock lock(&mutex_);
        for (TaskResult& result : batch.results)
            results_.push_back(std::move(result));
    }

    void startsAnswered(const ServiceId&, const MinionId&, const std::vector<StartAnswer>& answers) override
    {
        const absl::MutexLock lock(&mutex_);
        for (const StartAnswer& answer : answers)
            replies_[answer.attempt] = answer.reply;
    }

    void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>& answers) override
    {
        const absl::MutexLock lock(&mutex_);
        for (const CancelAnswer& answer : answers)
            cancels_[answer.attempt] = answer.reply;
    }

    MinionAnnouncement awaitAnnouncement(MinionState state)
    {
        await([this, state] { return announcement_ && announcement_->state == state; });
        const absl::MutexLock lock(&mutex_);
        return announcement_.value_or(MinionAnnouncement {});
    }

    std::vector<TaskResult> awaitResults(size_t count)
    {
        await([this, count] { return results_.size() >= count; });
        const absl::MutexLock lock(&mutex_);
        return results_;
    }

    StartReply awaitReply(uint64_t attempt)
    {
        await([this, attempt] { return replies_.contains(AttemptId(attempt)); });
        const absl::MutexLock lock(&mutex_);
        return replies_[AttemptId(attempt)];
    }

    CancelReply awaitCancel(uint64_t attempt)
    {
        await([this, attempt] { return cancels_.contains(AttemptId(attempt)); });
        const absl::MutexLock lock(&mutex_);
        return cancels_[AttemptId(attempt)];
    }

private:
    template <typename Predicate>
    void await(Predicate predicate)
    {
        const absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(absl::Condition(&predicate), awaitTimeout);
    }

    absl::Mutex mutex_;
    std::optional<MinionAnnouncement> announcement_;
    std::vector<TaskResult> results_;
    std::map<AttemptId, StartReply> replies_;
    std::map<AttemptId, CancelReply> cancels_;
};

TaskStart start(uint64_t attempt, uint32_t index, bool isIdempotent = false)
{
    return { AttemptId(attempt), { { ServiceId("s"), BackerId("b"), CallerKey("k") }, TaskIndex(index) }, TaskKindId("t"),
        R"({"run_ms":5,"output":"x"})", absl::Now() + absl::Seconds(30), isIdempotent };
}

} // namespace

TEST_GROUP(StandInMinion)
{
    const ServiceId service { "s" };
    RecordingEntry entry;
    MinionApi api { entry };
    HttpServer server { { 8, Bytes(1U << 20U) } };
    TimerQueue timers;
    ExecutionLog log { "" };
    std::unique_ptr<HttpMinionLink> link;
    std::unique_ptr<StandInMinion> minion;
    MinionAddress address;

    void begin(const std::string& behaviour, uint64_t after = 0)
    {
        api.addRoutes(server);
        server.start({ "127.0.0.1", 0 });
        const Endpoint results { "127.0.0.1", server.port() };
        link = std::make_unique<HttpMinionLink>(HttpMinionLinkOptions { { DaemonId("e"), Incarnation(1) }, results, 2, {} }, entry);
        StandInMinionOptions options;
        options.minion = MinionId("m");
        options.service = service;
        options.dataCentre = DataCentreId("d");
        options.worker = WorkerId("w");
        options.rack = RackId("r");
        options.slots = SlotCount(2);
        options.entries = { results };
        options.behaviour = behaviour;
        options.after = after;
        minion = std::make_unique<StandInMinion>(options, timers, log);
        minion->start();
        const MinionAnnouncement announcement = entry.awaitAnnouncement(MinionState::Serving);
        address = { announcement.minion, announcement.incarnation, announcement.endpoint };
    }

    void teardown() override
    {
        link->stop();
        minion->awaitIdle();
        minion.reset();
    }
};

TEST(StandInMinion, RunsATaskOnceAndPostsItsResult)
{
    begin("obedient");
    link->sendStarts(service, address, { start(1, 0) });
    CHECK(entry.awaitReply(1) == StartReply::Started);
    const std::vector<TaskResult> results = entry.awaitResults(1);
    LONGS_EQUAL(1, results.size());
    CHECK(results[0].attempt == AttemptId(1));
    STRCMP_EQUAL("x", results[0].output.c_str());

    link->sendStarts(service, address, { start(2, 0) });
    CHECK(entry.awaitReply(2) == StartReply::RefusedSeen);
    link->sendStarts(service, address, { start(3, 1, true) });
    CHECK(entry.awaitReply(3) == StartReply::Started);
    entry.awaitResults(2);
    link->sendStarts(service, address, { start(4, 1, true) });
    CHECK(entry.awaitReply(4) == StartReply::Started);
}

TEST(StandInMinion, ACancelBeforeTheStartFencesIt)
{
    begin("obedient");
    link->sendCancels(service, address, { { AttemptId(1), start(1, 0).task } });
    CHECK(entry.awaitCancel(1) == CancelReply::Fenced);
    link->sendStarts(service, address, { start(1, 0) });
    CHECK(entry.awaitReply(1) == StartReply::RefusedSeen);
}

TEST(StandInMinion, RefusesMoreTasksThanSlots)
{
    begin("obedient");
    std::vector<TaskStart> starts { start(1, 0), start(2, 1), start(3, 2) };
    for (TaskStart& item : starts)
        item.payload = R"({"run_ms":500})";
    link->sendStarts(service, address, starts);
    CHECK(entry.awaitReply(3) == StartReply::RefusedBusy);
}

TEST(StandInMinion, ALeavingMinionRefusesStartsAndFinishesItsTasks)
{
    begin("obedient");
    link->sendStarts(service, address, { start(1, 0) });
    CHECK(entry.awaitReply(1) == StartReply::Started);
    minion->leave();
    entry.awaitAnnouncement(MinionState::Leaving);
    link->sendStarts(service, address, { start(2, 1) });
    CHECK(entry.awaitReply(2) == StartReply::RefusedLeaving);
    LONGS_EQUAL(1, entry.awaitResults(1).size());
}

TEST(StandInMinion, ALateAnswerCountsAsUnknownAndTheResultIsStillPosted)
{
    begin("answers_late");
    link->sendStarts(service, address, { start(1, 0) });
    CHECK(entry.awaitReply(1) == StartReply::Unknown);
    LONGS_EQUAL(1, entry.awaitResults(1).size());
}

TEST(StandInMinion, CrossedResultsAreFollowedByTheCorrectOnes)
{
    begin("crossed");
    link->sendStarts(service, address, { start(1, 0) });
    const std::vector<TaskResult> results = entry.awaitResults(2);
    STRCMP_EQUAL("crossed", results[0].output.c_str());
    CHECK(results[1].attempt == AttemptId(1));
    STRCMP_EQUAL("x", results[1].output.c_str());
}
