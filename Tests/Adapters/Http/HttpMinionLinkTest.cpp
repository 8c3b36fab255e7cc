#include "Adapters/Http/HttpMinionLink.h"
#include "Adapters/Http/HttpServer.h"
#include "Adapters/Http/MinionCodec.h"

#include <absl/synchronization/notification.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration answerTimeout = absl::Seconds(30);

/// Records the answers and lets a test wait for them.
class RecordingEvents : public MinionEvents {
public:
    void startsAnswered(const ServiceId&, const MinionId& minion, const std::vector<StartAnswer>& answers) override
    {
        const absl::MutexLock lock(&mutex_);
        for (const StartAnswer& answer : answers)
            starts_[{ minion, answer.attempt }] = answer.reply;
    }

    void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>& answers) override
    {
        const absl::MutexLock lock(&mutex_);
        for (const CancelAnswer& answer : answers)
            cancels_[answer.attempt] = answer.reply;
    }

    std::map<std::pair<MinionId, AttemptId>, StartReply> awaitStarts(size_t count)
    {
        const absl::MutexLock lock(&mutex_);
        const auto hasAll = [this, count] { return starts_.size() >= count; };
        mutex_.AwaitWithTimeout(absl::Condition(&hasAll), answerTimeout);
        return starts_;
    }

    std::map<AttemptId, CancelReply> awaitCancels(size_t count)
    {
        const absl::MutexLock lock(&mutex_);
        const auto hasAll = [this, count] { return cancels_.size() >= count; };
        mutex_.AwaitWithTimeout(absl::Condition(&hasAll), answerTimeout);
        return cancels_;
    }

private:
    absl::Mutex mutex_;
    std::map<std::pair<MinionId, AttemptId>, StartReply> starts_;
    std::map<AttemptId, CancelReply> cancels_;
};

TaskStart start(uint64_t attempt)
{
    return { AttemptId(attempt), { { ServiceId("s"), BackerId("b"), CallerKey("k") }, TaskIndex(0) }, TaskKindId("t"), "", absl::Now(), false };
}

/// Answers as a minion that starts odd attempts, rejects even ones as busy, and omits attempt 99 from its answer.
HttpResponse answerStarts(const HttpRequest& request)
{
    std::vector<StartAnswer> answers;
    const Result<StartBatch> batch = MinionCodec::decodeStarts(request.body);
    if (valueOf(batch)->incarnation != Incarnation(1))
        return { 409, "", "application/json", {} };
    for (const TaskStart& item : valueOf(batch)->starts) {
        if (item.attempt != AttemptId(99))
            answers.push_back({ item.attempt, item.attempt.value() % 2 ? StartReply::Started : StartReply::RefusedBusy });
    }
    return { 200, MinionCodec::encodeStartAnswers(answers), "application/json", {} };
}

HttpResponse answerCancels(const HttpRequest& request)
{
    const Result<CancelBatch> batch = MinionCodec::decodeCancels(request.body);
    return { 200, MinionCodec::encodeCancelAnswers({ { valueOf(batch)->cancels.at(0).attempt, CancelReply::Fenced } }), "application/json", {} };
}

} // namespace

TEST_GROUP(HttpMinionLink)
{
    const ServiceId service { "s" };
    const MinionId minion { "m" };
    const MinionId hungMinion { "hung" };
    absl::Notification release;
    HttpServer server { {} };
    HttpServer hungServer { {} };
    RecordingEvents events;
    HttpMinionLink link { { { DaemonId("e"), Incarnation(1) }, { "127.0.0.1", 9 }, 2, { absl::Seconds(2), absl::Seconds(2) } }, events };
    MinionAddress address;
    MinionAddress hungAddress;

    void setup() override
    {
        server.route(HttpMethod::Post, "/v1/tasks", answerStarts);
        server.route(HttpMethod::Post, "/v1/cancel", answerCancels);
        hungServer.route(HttpMethod::Post, "/v1/tasks", [this](const HttpRequest& request) {
            release.WaitForNotification();
            return answerStarts(request);
        });
        server.start({ "127.0.0.1", 0 });
        hungServer.start({ "127.0.0.1", 0 });
        address = { minion, Incarnation(1), { "127.0.0.1", server.port() } };
        hungAddress = { hungMinion, Incarnation(1), { "127.0.0.1", hungServer.port() } };
    }

    void teardown() override
    {
        link.stop();
        release.Notify();
    }
};

TEST(HttpMinionLink, GivesEachAttemptItsOwnReply)
{
    link.sendStarts(service, address, { start(1), start(2), start(99) });
    auto replies = events.awaitStarts(3);
    CHECK((replies[{ minion, AttemptId(1) }] == StartReply::Started));
    CHECK((replies[{ minion, AttemptId(2) }] == StartReply::RefusedBusy));
    CHECK((replies[{ minion, AttemptId(99) }] == StartReply::Unknown));
}

TEST(HttpMinionLink, AFailedConnectionIsReportedAsNotSent)
{
    server.stop();
    link.sendStarts(service, address, { start(1) });
    CHECK((events.awaitStarts(1)[{ minion, AttemptId(1) }] == StartReply::NotSent));
}

TEST(HttpMinionLink, StartsForAnotherIncarnationAreReportedAsNotSent)
{
    address.incarnation = Incarnation(2);
    link.sendStarts(service, address, { start(1) });
    CHECK((events.awaitStarts(1)[{ minion, AttemptId(1) }] == StartReply::NotSent));
}

TEST(HttpMinionLink, AHungMinionGivesUnknownAndDoesNotDelayOthers)
{
    // The link has two senders. The hung minion occupies only one of them, no matter how much is queued for it.
    link.sendStarts(service, hungAddress, { start(1) });
    CHECK((events.awaitStarts(1)[{ hungMinion, AttemptId(1) }] == StartReply::Unknown));
    for (uint64_t attempt = 2; attempt < 12; ++attempt) {
        link.sendStarts(service, hungAddress, { start(attempt) });
        link.sendStarts(service, address, { start(attempt) });
    }
    auto replies = events.awaitStarts(21);
    LONGS_EQUAL(21, replies.size());
    CHECK((replies[{ minion, AttemptId(11) }] == StartReply::Started));
    CHECK((replies[{ hungMinion, AttemptId(11) }] == StartReply::Unknown));
}

TEST(HttpMinionLink, CancelsAreAnswered)
{
    link.sendCancels(service, address, { { AttemptId(5), start(5).task } });
    CHECK(events.awaitCancels(1)[AttemptId(5)] == CancelReply::Fenced);
}

TEST(HttpMinionLink, StartsAfterStopAreReportedAsNotSent)
{
    link.stop();
    link.sendStarts(service, address, { start(1) });
    CHECK((events.awaitStarts(1)[{ minion, AttemptId(1) }] == StartReply::NotSent));
}
