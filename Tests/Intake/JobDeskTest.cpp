#include "Intake/JobDesk.h"
#include "Support/FakeClock.h"
#include "Support/RecordingEventLog.h"
#include "Support/RecordingPeers.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

class RecordingReplies : public CallerReplies {
public:
    void reply(Ticket ticket, const CallerAnswer& answer) override { answers.emplace_back(ticket, answer); }
    std::vector<std::pair<Ticket, CallerAnswer>> answers;
};

class NoMetrics : public Metrics {
public:
    void count(std::string_view, const MetricLabels&, uint64_t) override { }
    void observe(std::string_view, const MetricLabels&, absl::Duration) override { }
    void set(std::string_view, const MetricLabels&, double) override { }
};

} // namespace

TEST_GROUP(JobDesk)
{
    FakeClock clock;
    RecordingReplies replies;
    RecordingPeers peers;
    RecordingEventLog log;
    NoMetrics metrics;
    JobDesk desk { { replies, peers, clock, log, metrics }, 100 };
    const CellGrant grant { { ServiceId("service"), DataCentreId("home") }, { DaemonId("owner"), Incarnation(1) }, OwnerEpoch(3) };

    void open(uint64_t ticket, const std::string& key)
    {
        openIn(ticket, key, { { grant, 2 } });
    }

    /// Opens a job that two cells share: task 0 at "owner", task 1 at "other".
    void openShared(uint64_t ticket, const std::string& key)
    {
        const CellGrant other { { ServiceId("service"), DataCentreId("far") }, { DaemonId("other"), Incarnation(1) }, OwnerEpoch(4) };
        openIn(ticket, key, { { grant, 1 }, { other, 1 } });
    }

    void openIn(uint64_t ticket, const std::string& key, const std::vector<CellShare>& shares)
    {
        IncomingJob job;
        job.key = JobKey(key);
        job.taskCount = 2;
        job.estimate = absl::Milliseconds(100);
        job.maxWait = absl::Seconds(4);
        Route route;
        route.timeout = absl::Seconds(1);
        route.stretch = 2;
        route.latencyTarget = absl::Milliseconds(60);
        desk.open(Ticket(ticket), job, route, shares);
    }

    void end(const std::string& from, const std::string& key, uint64_t offerNumber, JobEnd how)
    {
        desk.ended(DaemonId(from), { JobKey(key), offerNumber, how, absl::Seconds(2), {} });
    }
};

TEST(JobDesk, AJobIsOfferedWithTheTimeThatItsCallerHas)
{
    open(1, "job");
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(1, offers.size());
    CHECK(offers.front().first == DaemonId("owner"));
    CHECK(offers.front().second.untilLate == absl::Milliseconds(260));
    // The caller waits longer than the route's own timeout.
    CHECK(offers.front().second.untilTimeout > absl::Milliseconds(3900));
}

TEST(JobDesk, EachLastWordHasItsAnswer)
{
    const std::vector<std::pair<JobEnd, AnswerKind>> rows {
        { JobEnd::Completed, AnswerKind::Completed },
        { JobEnd::Failed, AnswerKind::Failed },
        { JobEnd::Rejected, AnswerKind::Overloaded },
        { JobEnd::Impossible, AnswerKind::Unavailable },
        { JobEnd::GivenUp, AnswerKind::GaveUp },
    };
    uint64_t number = 0;
    for (const auto& [end, kind] : rows) {
        ++number;
        open(number, std::to_string(number));
        this->end("owner", std::to_string(number), 100 + number, end);
        CHECK(replies.answers.back().first == Ticket(number));
        CHECK(replies.answers.back().second.kind == kind);
    }
    LONGS_EQUAL(0, desk.openCount());
}

TEST(JobDesk, AnAnswerForAnotherLifeIsDropped)
{
    open(1, "job");
    end("owner", "job", 99, JobEnd::Completed);
    LONGS_EQUAL(0, replies.answers.size());
}

TEST(JobDesk, ACallerThatComesBackJoinsItsJob)
{
    open(1, "job");
    open(2, "job");
    LONGS_EQUAL(1, peers.take<JobOffer>().size());
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(2, replies.answers.size());
}

TEST(JobDesk, ACallerThatLeavesCancelsItsJob)
{
    open(1, "job");
    desk.abandoned(Ticket(1));
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    LONGS_EQUAL(101, cancels.front().second.offerNumber);
    LONGS_EQUAL(0, desk.openCount());
}

// Pattern: the owner's machine goes while callers wait.
TEST(JobDesk, ANewOwnerIsOfferedTheJobsAsATakeover)
{
    open(1, "job");
    clock.time += absl::Milliseconds(500);
    CellGrant next = grant;
    next.owner.daemon = DaemonId("next");
    next.epoch = OwnerEpoch(8);
    desk.moved(next);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(2, offers.size());
    CHECK(offers.back().first == DaemonId("next"));
    CHECK(offers.back().second.isTakeover);
    LONGS_EQUAL(101, offers.back().second.offerNumber);
    // The earlier owner's last word comes too late.
    end("owner", "job", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    end("next", "job", 101, JobEnd::Completed);
    CHECK(replies.answers.front().second.kind == AnswerKind::Completed);
}

// Pattern: wide jobs at a crest, shared by the cells that have room left.
TEST(JobDesk, ASharedJobIsAnsweredWhenAllItsPartsHaveEnded)
{
    openShared(1, "job");
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(2, offers.size());
    LONGS_EQUAL(0, offers[0].second.firstTask);
    LONGS_EQUAL(1, offers[1].second.firstTask);
    CHECK(offers[1].first == DaemonId("other"));
    end("other", "job", 102, JobEnd::Completed);
    LONGS_EQUAL(0, replies.answers.size());
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.front().second.kind == AnswerKind::Completed);
    LONGS_EQUAL(0, peers.take<JobCancel>().size());
}

TEST(JobDesk, ASharedJobIsRefusedOnlyOnceEveryOwnerSaysThatNothingRan)
{
    openShared(1, "job");
    end("owner", "job", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    CHECK(cancels.front().first == DaemonId("other"));
    end("other", "job", 102, JobEnd::Rejected);
    CHECK(replies.answers.front().second.kind == AnswerKind::Overloaded);
    CHECK(replies.answers.front().second.retryAfter == absl::Seconds(2));
}

TEST(JobDesk, ASharedJobOfWhichAPartRanIsNotCalledNotRun)
{
    for (const JobEnd word : { JobEnd::GivenUp, JobEnd::Completed }) {
        openShared(1, "job");
        const uint64_t offerNumber = peers.take<JobOffer>().back().second.offerNumber;
        end("owner", "job", offerNumber - 1, JobEnd::Rejected);
        end("other", "job", offerNumber, word);
        CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
        LONGS_EQUAL(0, desk.openCount());
    }
}

TEST(JobDesk, AFailedPartFailsTheJobAndStopsTheRest)
{
    openShared(1, "job");
    end("other", "job", 102, JobEnd::Failed);
    CHECK(replies.answers.front().second.kind == AnswerKind::Failed);
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    CHECK(cancels.front().first == DaemonId("owner"));
}

TEST(JobDesk, OnlyThePartOfTheCellThatMovedIsTakenOver)
{
    openShared(1, "job");
    CellGrant next = grant;
    next.owner.daemon = DaemonId("next");
    next.epoch = OwnerEpoch(8);
    desk.moved(next);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(3, offers.size());
    CHECK(offers.back().first == DaemonId("next"));
    LONGS_EQUAL(0, offers.back().second.firstTask);
    LONGS_EQUAL(1, offers.back().second.taskCount);
}

// Pattern: a data centre is cut off after a job was sent across; its caller was held to its own deadline.
TEST(JobDesk, AJobWhoseOwnerFellSilentIsAnsweredWellBeforeItsCallerLeaves)
{
    open(1, "job");
    for (int i = 0; i < 10; ++i) {
        clock.time += absl::Milliseconds(200);
        desk.ownerHeard(DaemonId("owner"));
        desk.tick();
    }
    LONGS_EQUAL(0, replies.answers.size());
    clock.time += absl::Milliseconds(1600);
    desk.tick();
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.front().second.kind == AnswerKind::GaveUp);
}

TEST(JobDesk, AnOwnerThatFallsSilentForAMomentKeepsItsJobs)
{
    open(1, "job");
    clock.time += absl::Milliseconds(1400);
    desk.tick();
    LONGS_EQUAL(0, replies.answers.size());
}

TEST(JobDesk, ASilentOwnersJobMayHaveRun)
{
    open(1, "job");
    clock.time += absl::Milliseconds(4000);
    desk.ownerHeard(DaemonId("owner"));
    clock.time += absl::Milliseconds(100);
    desk.tick();
    CHECK(replies.answers.front().second.kind == AnswerKind::GaveUp);
    LONGS_EQUAL(1, peers.take<JobCancel>().size());
}

// Pattern: a pool grows until it is divided anew, while jobs are under way in it.
TEST(JobDesk, JobsOfACellThatIsDividedAreAnsweredAtOnce)
{
    open(1, "job");
    CellId part = grant.cell;
    part.part = { 0, 4 };
    desk.divided(part);
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
}

TEST(JobDesk, JobsOfOtherPoolsGoOnWhenOneIsDivided)
{
    open(1, "job");
    desk.divided({ grant.cell.service, DataCentreId("far"), { 0, 4 } });
    desk.divided(grant.cell);
    LONGS_EQUAL(0, replies.answers.size());
}

TEST(JobDesk, OnlyOwnersOfOpenPartsWaitForSignsOfLife)
{
    openShared(1, "job");
    LONGS_EQUAL(2, desk.openOwners().size());
    end("owner", "job", 101, JobEnd::Completed);
    CHECK(desk.openOwners() == std::set<DaemonId> { DaemonId("other") });
    end("other", "job", 102, JobEnd::Completed);
    CHECK(desk.openOwners().empty());
}

// Guards against an entry without processor that gives up jobs of owners whose signs of life it hasn't read yet.
TEST(JobDesk, OwnersAreNotSilentForTimeInWhichThisEntryDidNotRun)
{
    open(1, "job");
    clock.time += absl::Seconds(2);
    desk.recordDelay(absl::Milliseconds(1800));
    desk.tick();
    LONGS_EQUAL(0, replies.answers.size());
    clock.time += absl::Seconds(1);
    desk.ownerHeard(DaemonId("owner"));
    clock.time += absl::Seconds(2);
    desk.tick();
    LONGS_EQUAL(1, replies.answers.size());
}
