#include "Intake/JobCoordinator.h"
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

TEST_GROUP(JobCoordinator)
{
    FakeClock clock;
    RecordingReplies replies;
    RecordingPeers peers;
    RecordingEventLog log;
    NoMetrics metrics;
    static constexpr absl::Duration maxClaimAge = absl::Milliseconds(1200);
    JobCoordinator coordinator { { replies, peers, clock, log, metrics }, 100, maxClaimAge };
    const CellGrant grant { { ServiceId("service"), DataCentreId("home") }, { DaemonId("owner"), Incarnation(1) }, OwnerEpoch(3) };

    void open(uint64_t ticket, const std::string& key)
    {
        openIn(ticket, key, { { grant, 2 } });
    }

    /// Opens a job that two cells share: task 0 is offered to "owner", task 1 to "other".
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
        coordinator.open(Ticket(ticket), job, route, shares);
    }

    void changeOwner(const std::string& daemon, uint64_t incarnation, uint64_t epoch)
    {
        coordinator.ownerChanged({ grant.cell, { DaemonId(daemon), Incarnation(incarnation) }, OwnerEpoch(epoch) });
    }

    /// @return the number of the offer that was sent last.
    uint64_t lastOffer() const
    {
        return peers.take<JobOffer>().back().second.offerNumber;
    }

    void end(const std::string& from, const std::string& key, uint64_t offerNumber, JobEnd how)
    {
        coordinator.resultReceived(DaemonId(from), { JobKey(key), offerNumber, how, absl::Seconds(2), {} });
    }
};

TEST(JobCoordinator, AJobIsOfferedWithItsCallersTimeout)
{
    open(1, "job");
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(1, offers.size());
    CHECK(offers.front().first == DaemonId("owner"));
    CHECK(offers.front().second.untilLate == absl::Milliseconds(260));
    // The caller's timeout is longer than that of the route and takes precedence.
    CHECK(offers.front().second.untilTimeout > absl::Milliseconds(3900));
}

TEST(JobCoordinator, EachResultHasItsAnswer)
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
    LONGS_EQUAL(0, coordinator.openCount());
}

TEST(JobCoordinator, AResultForAnotherOfferIsIgnored)
{
    open(1, "job");
    end("owner", "job", 99, JobEnd::Completed);
    LONGS_EQUAL(0, replies.answers.size());
}

// A trace shows which result an answer came from, and which results came too late.
TEST(JobCoordinator, TheLogNamesTheOfferOfEachResult)
{
    openShared(1, "job");
    end("other", "job", 102, JobEnd::Completed);
    end("other", "job", 102, JobEnd::Rejected);
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(1, log.count("event=job_offered request=\"\" job=job offer=101 "));
    LONGS_EQUAL(1, log.count("event=part_ended request=\"\" job=job offer=102 owner=other result=completed"));
    LONGS_EQUAL(1, log.count("event=result_ignored request=\"\" job=job offer=102 owner=other result=overloaded"));
    LONGS_EQUAL(1, log.count("event=job_answered request=\"\" job=job outcome=completed offer=101 "));
}

TEST(JobCoordinator, AResubmittedJobIsAnsweredWithTheOpenOne)
{
    open(1, "job");
    open(2, "job");
    LONGS_EQUAL(1, peers.take<JobOffer>().size());
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(2, replies.answers.size());
}

// Guards against a caller that is told that nothing ran while its job runs for its earlier request: no owner is heard, or the
// entry drains.
TEST(JobCoordinator, AnOpenJobIsJoinedWithoutAChoiceOfCells)
{
    IncomingJob job;
    job.key = JobKey("job");
    CHECK_FALSE(coordinator.joinOpen(Ticket(1), job));
    open(1, "job");
    CHECK(coordinator.joinOpen(Ticket(2), job));
    LONGS_EQUAL(1, peers.take<JobOffer>().size());
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(2, replies.answers.size());
}

TEST(JobCoordinator, AnOwnerWithANewGrantIsSentClaimsAtOnce)
{
    open(1, "job");
    CHECK(coordinator.loadReceived(grant, clock.now()));
    CHECK_FALSE(coordinator.loadReceived(grant, clock.now()));
    CHECK(coordinator.loadReceived({ grant.cell, grant.owner, OwnerEpoch(8) }, clock.now()));
}

TEST(JobCoordinator, ACallerThatDisconnectsCancelsItsJob)
{
    open(1, "job");
    coordinator.abandoned(Ticket(1));
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    LONGS_EQUAL(101, cancels.front().second.offerNumber);
    LONGS_EQUAL(0, coordinator.openCount());
}

// The owner's machine fails while callers wait.
TEST(JobCoordinator, ANewOwnerIsOfferedTheJobsAsATakeover)
{
    open(1, "job");
    clock.time += absl::Milliseconds(500);
    CellGrant next = grant;
    next.owner.daemon = DaemonId("next");
    next.epoch = OwnerEpoch(8);
    coordinator.ownerChanged(next);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(2, offers.size());
    CHECK(offers.back().first == DaemonId("next"));
    CHECK(offers.back().second.isTakeover);
    LONGS_EQUAL(102, offers.back().second.offerNumber);
    // The result from the earlier owner arrives too late and is ignored, and so is one of the new owner for an offer
    // that it wasn't made.
    end("owner", "job", 101, JobEnd::Rejected);
    end("owner", "job", 102, JobEnd::Rejected);
    end("next", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(0, replies.answers.size());
    end("next", "job", 102, JobEnd::Completed);
    CHECK(replies.answers.front().second.kind == AnswerKind::Completed);
}

// At a peak, jobs with many tasks are shared by the cells that have free cores.
TEST(JobCoordinator, ASharedJobIsAnsweredWhenAllItsPartsHaveEnded)
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

TEST(JobCoordinator, ASharedJobIsRejectedOnlyAfterEveryOwnerReportedThatNothingRan)
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

TEST(JobCoordinator, ASharedJobOfWhichAPartRanIsNotRejected)
{
    for (const JobEnd word : { JobEnd::GivenUp, JobEnd::Completed }) {
        openShared(1, "job");
        const uint64_t offerNumber = peers.take<JobOffer>().back().second.offerNumber;
        end("owner", "job", offerNumber - 1, JobEnd::Rejected);
        end("other", "job", offerNumber, word);
        CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
        LONGS_EQUAL(0, coordinator.openCount());
    }
}

TEST(JobCoordinator, AFailedPartFailsTheJobAndStopsTheRest)
{
    openShared(1, "job");
    end("other", "job", 102, JobEnd::Failed);
    CHECK(replies.answers.front().second.kind == AnswerKind::Failed);
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    CHECK(cancels.front().first == DaemonId("owner"));
}

TEST(JobCoordinator, OnlyThePartOfTheCellWithANewOwnerIsTakenOver)
{
    openShared(1, "job");
    CellGrant next = grant;
    next.owner.daemon = DaemonId("next");
    next.epoch = OwnerEpoch(8);
    coordinator.ownerChanged(next);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(3, offers.size());
    CHECK(offers.back().first == DaemonId("next"));
    LONGS_EQUAL(0, offers.back().second.firstTask);
    LONGS_EQUAL(1, offers.back().second.taskCount);
}

// Guards against callers that waited until their own timeout because a network partition cut off the data centre that
// their job was sent to.
TEST(JobCoordinator, AJobWhoseOwnerFellSilentIsAnsweredWellBeforeItsTimeout)
{
    open(1, "job");
    for (int i = 0; i < 10; ++i) {
        clock.time += absl::Milliseconds(200);
        coordinator.loadReceived(grant, clock.now());
        coordinator.tick();
    }
    LONGS_EQUAL(0, replies.answers.size());
    clock.time += absl::Milliseconds(1600);
    coordinator.tick();
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.front().second.kind == AnswerKind::GaveUp);
}

TEST(JobCoordinator, AnOwnerThatIsSilentBrieflyKeepsItsJobs)
{
    open(1, "job");
    clock.time += absl::Milliseconds(1400);
    coordinator.tick();
    LONGS_EQUAL(0, replies.answers.size());
}

TEST(JobCoordinator, AJobPastItsTimeoutMayHaveRun)
{
    open(1, "job");
    clock.time += absl::Milliseconds(4000);
    coordinator.loadReceived(grant, clock.now());
    clock.time += absl::Milliseconds(100);
    coordinator.tick();
    CHECK(replies.answers.front().second.kind == AnswerKind::GaveUp);
    LONGS_EQUAL(1, peers.take<JobCancel>().size());
}

// A pool grows until it is divided into more cells while it has open jobs.
TEST(JobCoordinator, JobsOfADividedPoolAreAnsweredAtOnce)
{
    open(1, "job");
    CellId part = grant.cell;
    part.part = { 0, 4 };
    coordinator.poolDivided(part);
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
}

TEST(JobCoordinator, JobsOfOtherPoolsStayOpenWhenOneIsDivided)
{
    open(1, "job");
    coordinator.poolDivided({ grant.cell.service, DataCentreId("far"), { 0, 4 } });
    coordinator.poolDivided(grant.cell);
    LONGS_EQUAL(0, replies.answers.size());
}

// Owners tell from the stamps how old an offer or a heartbeat is at most.
TEST(JobCoordinator, OffersAndHeartbeatsReturnTheOwnersNewestStamp)
{
    open(1, "first");
    CHECK(!peers.take<JobOffer>().front().second.stamp);
    const absl::Time sentAt = absl::FromUnixSeconds(7);
    CHECK(coordinator.loadReceived(grant, sentAt));
    CHECK(!coordinator.loadReceived(grant, sentAt - absl::Seconds(1)));
    open(2, "second");
    CHECK(peers.take<JobOffer>().back().second.stamp == OwnerStamp({ Incarnation(1), sentAt }));
    CHECK(coordinator.claimJobs().at(DaemonId("owner")) == JobClaims({ { Incarnation(1), sentAt }, { 101, 102 } }));
}

// Guards against a process that stood still and claims its jobs again, whose callers have submitted them elsewhere meanwhile
// and whose closes are held up.
TEST(JobCoordinator, AJobWhoseClaimHasLapsedIsNeverClaimedAgain)
{
    open(1, "job");
    coordinator.loadReceived(grant, clock.time);
    clock.time += maxClaimAge;
    CHECK(coordinator.claimJobs().at(DaemonId("owner")).value().offerNumbers == std::vector<uint64_t>({ 101 }));
    clock.time += maxClaimAge + absl::Milliseconds(1);
    open(2, "later");
    CHECK(coordinator.claimJobs().at(DaemonId("owner")).value().offerNumbers == std::vector<uint64_t>({ 102 }));
    CHECK(coordinator.claimJobs().at(DaemonId("owner")).value().offerNumbers == std::vector<uint64_t>({ 102 }));
    LONGS_EQUAL(1, log.count("claim_lapsed"));
    // Whatever its owner has decided is still delivered.
    coordinator.resultReceived(DaemonId("owner"), { JobKey("job"), 101, JobEnd::Completed, {}, {} });
    CHECK(replies.answers.back().second.kind == AnswerKind::Completed);
}

TEST(JobCoordinator, AJobWhoseClaimHasLapsedIsNotOfferedToANewOwner)
{
    open(1, "job");
    clock.time += maxClaimAge + absl::Milliseconds(1);
    changeOwner("other", 1, 4);
    LONGS_EQUAL(1, peers.take<JobOffer>().size());
    LONGS_EQUAL(1, peers.take<JobCancel>().size());
    CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
}

TEST(JobCoordinator, ACallerThatSubmitsALapsedJobAgainRenewsItsClaim)
{
    open(1, "job");
    coordinator.loadReceived(grant, clock.time);
    clock.time += maxClaimAge + absl::Milliseconds(1);
    open(2, "job");
    CHECK(coordinator.claimJobs().at(DaemonId("owner")).value().offerNumbers == std::vector<uint64_t>({ 101 }));
}

// Guards against an owner whose jobs nobody claims any more, because it restarted after its time of day was set back.
TEST(JobCoordinator, StampsOfARestartedOwnerReplaceEarlierOnesWhateverItsIncarnation)
{
    open(1, "job");
    coordinator.loadReceived({ grant.cell, { DaemonId("owner"), Incarnation(9) }, OwnerEpoch(3) }, absl::FromUnixSeconds(7));
    CHECK(coordinator.loadReceived({ grant.cell, { DaemonId("owner"), Incarnation(2) }, OwnerEpoch(8) }, absl::FromUnixSeconds(1)));
    // A report of the earlier process that was held up changes nothing.
    CHECK(!coordinator.loadReceived({ grant.cell, { DaemonId("owner"), Incarnation(9) }, OwnerEpoch(3) }, absl::FromUnixSeconds(8)));
    CHECK(coordinator.claimJobs().at(DaemonId("owner")) == JobClaims({ { Incarnation(2), absl::FromUnixSeconds(1) }, { 101 } }));
}

// Reports of an owner's earlier process that were held up don't show that the new one runs.
TEST(JobCoordinator, LateReportsOfAnEarlierProcessDontKeepAnOwnerFromBeingSilent)
{
    const CellGrant restarted { grant.cell, { DaemonId("owner"), Incarnation(2) }, OwnerEpoch(8) };
    coordinator.ownerChanged(restarted);
    coordinator.loadReceived(restarted, clock.now());
    open(1, "job");
    for (int i = 0; i < 9; ++i) {
        clock.time += absl::Milliseconds(200);
        coordinator.loadReceived(grant, clock.now());
        coordinator.tick();
    }
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
}

TEST(JobCoordinator, AnOfferToANewOwnerClaimsNothing)
{
    open(1, "job");
    coordinator.loadReceived({ grant.cell, { DaemonId("next"), Incarnation(1) }, OwnerEpoch(8) }, clock.now());
    coordinator.ownerChanged({ grant.cell, { DaemonId("next"), Incarnation(1) }, OwnerEpoch(8) });
    CHECK(peers.take<JobOffer>().back().first == DaemonId("next"));
    CHECK(!peers.take<JobOffer>().back().second.stamp);
}

// Guards against callers that wait until their own timeout, because the owner of their job was killed and is the owner
// again a second later, without knowing the job.
TEST(JobCoordinator, AnOwnerThatRestartedIsOfferedItsOpenJobsAgain)
{
    open(1, "job");
    coordinator.ownerChanged(grant);
    LONGS_EQUAL(1, peers.take<JobOffer>().size());
    coordinator.ownerChanged({ grant.cell, { DaemonId("owner"), Incarnation(2) }, OwnerEpoch(8) });
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(2, offers.size());
    CHECK(offers.back().first == DaemonId("owner"));
    CHECK(offers.back().second.isTakeover);
    CHECK(offers.back().second.offerNumber != offers.front().second.offerNumber);
    end("owner", "job", lastOffer(), JobEnd::Completed);
    LONGS_EQUAL(1, replies.answers.size());
}

// Guards against jobs that run after their callers were told that they had not: a rejection of the first offer to an
// owner was taken for one of the second.
TEST(JobCoordinator, ARejectionOfAnOfferFromBeforeItsOwnersRestartIsIgnored)
{
    open(1, "job");
    changeOwner("owner", 2, 8);
    end("owner", "job", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    end("owner", "job", lastOffer(), JobEnd::Completed);
    CHECK(replies.answers.back().second.kind == AnswerKind::Completed);
}

// The same with another owner in between.
TEST(JobCoordinator, ARejectionOfAnOfferFromBeforeTheCellCameBackIsIgnored)
{
    open(1, "job");
    changeOwner("next", 1, 8);
    changeOwner("owner", 1, 9);
    end("owner", "job", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    end("owner", "job", lastOffer(), JobEnd::Completed);
    CHECK(replies.answers.back().second.kind == AnswerKind::Completed);
}

TEST(JobCoordinator, AnOfferNamesTheGrantOfItsOwner)
{
    open(1, "job");
    CHECK(peers.take<JobOffer>().back().second.epoch == OwnerEpoch(3));
    changeOwner("next", 1, 8);
    CHECK(peers.take<JobOffer>().back().second.epoch == OwnerEpoch(8));
}

// Guards against callers that wait until their own timeout, because the process that has their job lost its cell, got it
// back and has dropped the jobs of the earlier grant.
TEST(JobCoordinator, AProcessThatGetsItsCellBackIsOfferedItsOpenJobsAgain)
{
    open(1, "job");
    changeOwner("owner", 1, 8);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(2, offers.size());
    CHECK(offers.back().second.isTakeover);
    end("owner", "job", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
}

// Guards against jobs that move back to an owner that has been replaced, since keepers that are behind tell older grants.
TEST(JobCoordinator, AGrantThatIsOlderThanAKnownOneChangesNothing)
{
    open(1, "job");
    changeOwner("next", 1, 8);
    changeOwner("owner", 1, 3);
    changeOwner("third", 1, 7);
    LONGS_EQUAL(2, peers.take<JobOffer>().size());
}

// Guards against a job that no owner has: its cell was granted anew between the choice of the cell and the offer.
TEST(JobCoordinator, AJobIsOfferedToTheOwnerOfTheNewestGrant)
{
    changeOwner("next", 1, 8);
    open(1, "job");
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(1, offers.size());
    CHECK(offers.back().first == DaemonId("next"));
    CHECK(offers.back().second.epoch == OwnerEpoch(8));
    CHECK_FALSE(offers.back().second.isTakeover);
}

// A part that is being cancelled can't be called not run any more once its owner has changed.
TEST(JobCoordinator, APartOfARejectedJobIsNotOfferedToANewOwner)
{
    openShared(1, "job");
    end("other", "job", 102, JobEnd::Rejected);
    changeOwner("next", 1, 8);
    LONGS_EQUAL(2, peers.take<JobOffer>().size());
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.back().second.kind == AnswerKind::GaveUp);
}

TEST(JobCoordinator, OnlyOwnersOfOpenPartsAreListed)
{
    openShared(1, "job");
    LONGS_EQUAL(2, coordinator.claimJobs().size());
    end("owner", "job", 101, JobEnd::Completed);
    LONGS_EQUAL(1, coordinator.claimJobs().size());
    CHECK(coordinator.claimJobs().contains(DaemonId("other")));
    end("other", "job", 102, JobEnd::Completed);
    CHECK(coordinator.claimJobs().empty());
}

// Guards against an entry that got no processor time and then abandons the jobs of owners whose messages it hasn't read
// yet.
TEST(JobCoordinator, OwnersAreNotSilentForTimeInWhichThisEntryDidNotRun)
{
    open(1, "job");
    clock.time += absl::Seconds(2);
    coordinator.recordDelay(absl::Milliseconds(1800));
    coordinator.tick();
    LONGS_EQUAL(0, replies.answers.size());
    clock.time += absl::Seconds(1);
    coordinator.loadReceived(grant, clock.now());
    clock.time += absl::Seconds(2);
    coordinator.tick();
    LONGS_EQUAL(1, replies.answers.size());
}
