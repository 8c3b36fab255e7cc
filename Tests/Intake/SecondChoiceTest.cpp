#include "Intake/CellChooser.h"
#include "Intake/JobCoordinator.h"
#include "Support/FakeClock.h"
#include "Support/RecordingEventLog.h"
#include "Support/RecordingPeers.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>

using namespace trefoilwing;

namespace {

class RecordingReplies : public CallerReplies {
public:
    void reply(Ticket, const CallerAnswer& answer) override { answers.push_back(answer); }
    std::vector<CallerAnswer> answers;
};

class CountingMetrics : public Metrics {
public:
    void count(std::string_view name, const MetricLabels&, uint64_t amount) override { counts[std::string(name)] += amount; }
    void observe(std::string_view, const MetricLabels&, absl::Duration) override { }
    void set(std::string_view, const MetricLabels&, double) override { }
    std::map<std::string, uint64_t> counts;
};

/// Answers with prepared choices, and runs an action before, as another thread may while a cell is being chosen.
class PreparedChoices : public SecondChoice {
public:
    std::optional<CellGrant> chooseAgain(const RejectedPart& part) override
    {
        asked.push_back(part);
        if (meanwhile)
            std::exchange(meanwhile, nullptr)();
        if (choices.empty())
            return std::nullopt;
        std::optional<CellGrant> choice = choices.front();
        choices.pop_front();
        return choice;
    }

    std::deque<CellGrant> choices;
    std::function<void()> meanwhile;
    std::vector<RejectedPart> asked;
};

/// Chooses by the load reports, as an entry does.
class ChosenByLoad : public SecondChoice {
public:
    ChosenByLoad(CellChooser& chooser, Clock& clock)
        : chooser_(chooser)
        , clock_(clock)
    {
    }

    std::optional<CellGrant> chooseAgain(const RejectedPart& part) override { return chooser_.chooseAgain(part, clock_.now()); }

private:
    CellChooser& chooser_;
    Clock& clock_;
};

CellGrant grantOf(const std::string& dataCentre, const std::string& owner, uint64_t epoch, CellPart part = {})
{
    return { { ServiceId("service"), DataCentreId(dataCentre), part }, { DaemonId(owner), Incarnation(1) }, OwnerEpoch(epoch) };
}

/// Opens a job of two tasks of 10 cores and 100 ms, which is late after 220 ms.
void openJob(JobCoordinator& coordinator, const std::string& key, const std::vector<CellShare>& shares)
{
    IncomingJob job;
    job.key = JobKey(key);
    job.taskCount = 2;
    job.need = { 10000, 0, 0 };
    job.estimate = absl::Milliseconds(100);
    job.maxWait = absl::Milliseconds(1500);
    Route route;
    route.stretch = 1.6;
    route.latencyTarget = absl::Milliseconds(60);
    coordinator.open(Ticket(1), job, route, shares);
}

} // namespace

TEST_GROUP(SecondChoice)
{
    FakeClock clock;
    RecordingReplies replies;
    RecordingPeers peers;
    RecordingEventLog log;
    CountingMetrics metrics;
    PreparedChoices choices;
    JobCoordinator coordinator { { replies, peers, clock, log, metrics }, 100, absl::InfiniteDuration(), { &choices, 1 } };
    const CellGrant home = grantOf("home", "owner", 3);
    const CellGrant far = grantOf("far", "other", 4);
    const CellGrant third = grantOf("third", "third", 5);

    void open()
    {
        openJob(coordinator, "job", { { home, 2 } });
    }

    /// Task 0 is offered to "owner" and task 1 to "other".
    void openShared()
    {
        openJob(coordinator, "job", { { home, 1 }, { far, 1 } });
    }

    void end(const std::string& from, uint64_t offerNumber, JobEnd how, RejectionReason reason = RejectionReason::ExpectedWait)
    {
        coordinator.resultReceived(DaemonId(from), { JobKey("job"), offerNumber, how, absl::Seconds(2), {}, reason });
    }

    std::pair<DaemonId, JobOffer> lastOffer() const
    {
        return peers.take<JobOffer>().back();
    }
    size_t offerCount() const
    {
        return peers.take<JobOffer>().size();
    }
};

// Guards against refusals while another cell has room.
TEST(SecondChoice, ARejectedJobIsServedByAnotherCell)
{
    choices.choices = { far };
    open();
    clock.time += absl::Milliseconds(20);
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    // 200 ms are left until the objective, an owner starts jobs that are late by 0.3 of these, and a task takes 100 ms.
    CHECK(choices.asked.back().maxWait == absl::Milliseconds(160));
    const auto [owner, offer] = lastOffer();
    CHECK(owner == DaemonId("other"));
    CHECK(offer.cell == far.cell);
    CHECK(offer.epoch == OwnerEpoch(4));
    LONGS_EQUAL(102, offer.offerNumber);
    LONGS_EQUAL(2, offer.taskCount);
    CHECK(offer.untilLate == absl::Milliseconds(200));
    CHECK(offer.untilTimeout == absl::Milliseconds(1460));
    CHECK_FALSE(offer.isTakeover);
    LONGS_EQUAL(1, log.count("event=job_offered_again request=\"\" job=job offer=102 rejected_offer=101 reason=expected_wait first_task=0 tasks=2 until_late_ms=200 rejecting_cell=home cell=far owner=other epoch=4"));
    LONGS_EQUAL(1, metrics.counts["second_choices"]);
    end("other", 102, JobEnd::Completed);
    CHECK(replies.answers.back().kind == AnswerKind::Completed);
    LONGS_EQUAL(1, metrics.counts["second_choices_served"]);
}

// Guards against a wait until the caller's timeout when every cell is full.
TEST(SecondChoice, ARejectionStandsAtOnceIfNoCellHasRoom)
{
    open();
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(1, replies.answers.size());
    CHECK(replies.answers.back().kind == AnswerKind::Overloaded);
    CHECK(replies.answers.back().retryAfter == absl::Seconds(2));
    LONGS_EQUAL(1, offerCount());
}

// Guards against jobs that go around between full cells.
TEST(SecondChoice, ASecondRejectionStands)
{
    choices.choices = { far, third };
    open();
    end("owner", 101, JobEnd::Rejected);
    end("other", 102, JobEnd::Rejected);
    CHECK(replies.answers.back().kind == AnswerKind::Overloaded);
    LONGS_EQUAL(2, offerCount());
    LONGS_EQUAL(1, choices.asked.size());
}

// Guards against offers that the next owner rejects as well, because the first rejection came late.
TEST(SecondChoice, APartThatCantEndInTimeIsNotOfferedAgain)
{
    choices.choices = { far };
    open();
    clock.time += absl::Milliseconds(150);
    end("owner", 101, JobEnd::Rejected, RejectionReason::OutOfTime);
    CHECK(replies.answers.back().kind == AnswerKind::Overloaded);
    LONGS_EQUAL(1, offerCount());
}

// Guards against runs of the other parts that are stopped although the job can be served.
TEST(SecondChoice, OnlyTheRejectedPartOfASplitJobIsOfferedAgain)
{
    choices.choices = { third };
    openShared();
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, peers.take<JobCancel>().size());
    CHECK(choices.asked.back().offeredCells == std::set<CellId>({ home.cell, far.cell }));
    const auto [owner, offer] = lastOffer();
    CHECK(owner == DaemonId("third"));
    LONGS_EQUAL(0, offer.firstTask);
    LONGS_EQUAL(1, offer.taskCount);
    end("other", 102, JobEnd::Completed);
    LONGS_EQUAL(0, replies.answers.size());
    end("third", 103, JobEnd::Completed);
    CHECK(replies.answers.back().kind == AnswerKind::Completed);
}

// Guards against a job with runs that is called not run, since its second owner rejected a part.
TEST(SecondChoice, AJobIsNotRunOnlyIfTheOwnersOfAllOffersSaySo)
{
    choices.choices = { third };
    openShared();
    end("owner", 101, JobEnd::Rejected);
    end("third", 103, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    LONGS_EQUAL(1, peers.take<JobCancel>().size());
    end("other", 102, JobEnd::GivenUp);
    CHECK(replies.answers.back().kind == AnswerKind::GaveUp);
}

// An owner takes a second offer of a job for a new submission, and stops the part that it has.
TEST(SecondChoice, TwoPartsOfAJobAreNeverOfferedToTheSameCell)
{
    const CellGrant fourth = grantOf("fourth", "fourth", 6);
    choices.choices = { third, third, fourth };
    openShared();
    // While a cell is chosen for the first part, it is chosen for the second one.
    choices.meanwhile = [&] { end("other", 102, JobEnd::Rejected); };
    end("owner", 101, JobEnd::Rejected);
    const auto offers = peers.take<JobOffer>();
    LONGS_EQUAL(4, offers.size());
    CHECK(offers[2].second.cell == third.cell);
    LONGS_EQUAL(1, offers[2].second.firstTask);
    CHECK(offers[3].second.cell == fourth.cell);
    LONGS_EQUAL(0, offers[3].second.firstTask);
    CHECK(choices.asked.back().offeredCells.contains(third.cell));
}

// Guards against an answer of one part that is taken for the job's while a cell is chosen for another part.
TEST(SecondChoice, AJobIsNotCompletedWhileACellIsChosenForAPart)
{
    choices.choices = { third };
    openShared();
    choices.meanwhile = [&] { end("other", 102, JobEnd::Completed); };
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    end("third", 103, JobEnd::Completed);
    CHECK(replies.answers.back().kind == AnswerKind::Completed);
}

// The owners of an evacuated data centre hand back what hasn't started, before this entry has learned of the evacuation.
TEST(SecondChoice, PartsOfAnEvacuatedDataCentreGoToAnother)
{
    choices.choices = { far };
    open();
    end("owner", 101, JobEnd::Rejected, RejectionReason::Evacuated);
    CHECK(choices.asked.back().evacuated == std::set<DataCentreId>({ DataCentreId("home") }));
    LONGS_EQUAL(1, log.count("event=job_offered_again request=\"\" job=job offer=102 rejected_offer=101 reason=evacuated"));
    CHECK(lastOffer().first == DaemonId("other"));
}

// Guards against jobs that run after their callers were told that they had not.
TEST(SecondChoice, LateResultsOfTheFirstOwnerAreIgnored)
{
    choices.choices = { far };
    open();
    end("owner", 101, JobEnd::Rejected);
    end("owner", 101, JobEnd::Rejected);
    end("owner", 101, JobEnd::GivenUp);
    end("owner", 102, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
    LONGS_EQUAL(3, log.count("event=result_ignored"));
    LONGS_EQUAL(2, offerCount());
    end("other", 102, JobEnd::Completed);
    CHECK(replies.answers.back().kind == AnswerKind::Completed);
}

TEST(SecondChoice, ACallerThatLeavesDuringTheChoiceEndsIt)
{
    choices.choices = { far };
    open();
    choices.meanwhile = [&] { coordinator.abandoned(Ticket(1)); };
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(1, offerCount());
    LONGS_EQUAL(0, coordinator.openCount());
}

TEST(SecondChoice, ACallerThatLeavesLaterCancelsTheSecondOffer)
{
    choices.choices = { far };
    open();
    end("owner", 101, JobEnd::Rejected);
    coordinator.abandoned(Ticket(1));
    const auto cancels = peers.take<JobCancel>();
    LONGS_EQUAL(1, cancels.size());
    CHECK(cancels.back().first == DaemonId("other"));
    CHECK(cancels.back().second.cell == far.cell);
    LONGS_EQUAL(102, cancels.back().second.offerNumber);
}

// Guards against a job that is called not run after its second owner was lost, which may have started it.
TEST(SecondChoice, AJobMayHaveRunIfItsSecondOwnerFallsSilent)
{
    choices.choices = { far };
    open();
    end("owner", 101, JobEnd::Rejected);
    clock.time += absl::Milliseconds(1400);
    coordinator.loadReceived(home, clock.now());
    coordinator.tick();
    LONGS_EQUAL(0, replies.answers.size());
    clock.time += absl::Milliseconds(110);
    coordinator.tick();
    CHECK(replies.answers.back().kind == AnswerKind::GaveUp);
}

// Guards against an offer to a process that owns the cell no more.
TEST(SecondChoice, TheNewestGrantOfTheSecondCellCounts)
{
    choices.choices = { far };
    open();
    choices.meanwhile = [&] { coordinator.ownerChanged(grantOf("far", "next", 9)); };
    end("owner", 101, JobEnd::Rejected);
    CHECK(lastOffer().first == DaemonId("next"));
    CHECK(lastOffer().second.epoch == OwnerEpoch(9));
    CHECK_FALSE(lastOffer().second.isTakeover);
    // Its owner changes again after the offer: that owner may have started tasks.
    coordinator.ownerChanged(grantOf("far", "last", 12));
    CHECK(lastOffer().first == DaemonId("last"));
    CHECK(lastOffer().second.isTakeover);
    LONGS_EQUAL(103, lastOffer().second.offerNumber);
    end("next", 102, JobEnd::Rejected);
    LONGS_EQUAL(0, replies.answers.size());
}

// Guards against an offer that nobody answers: the second cell's pool was divided while the cell was chosen.
TEST(SecondChoice, ACellOfAnEarlierDivisionIsNotOfferedAPart)
{
    choices.choices = { far, third };
    open();
    choices.meanwhile = [&] { coordinator.ownerChanged(grantOf("far", "next", 9, { 0, 2 })); };
    end("owner", 101, JobEnd::Rejected);
    LONGS_EQUAL(2, offerCount());
    CHECK(lastOffer().second.cell == third.cell);
}

// An earlier owner of the cell may have started tasks of the part.
TEST(SecondChoice, ATakeoverIsNotOfferedToAnotherCell)
{
    choices.choices = { far };
    open();
    coordinator.ownerChanged(grantOf("home", "next", 9));
    end("next", 102, JobEnd::Rejected);
    LONGS_EQUAL(2, offerCount());
}

// Guards against runs of a caller that has left unnoticed and has sent its job to another entry: the stamp of a second offer
// is older than the newest one by the time since the job's arrival.
TEST(SecondChoice, ASecondOfferClaimsTheJobAsOfItsArrival)
{
    choices.choices = { far };
    open();
    clock.time += absl::Milliseconds(20);
    coordinator.loadReceived(far, absl::FromUnixSeconds(7));
    end("owner", 101, JobEnd::Rejected);
    CHECK(lastOffer().second.stamp == OwnerStamp({ Incarnation(1), absl::FromUnixSeconds(7) - absl::Milliseconds(20) }));
    CHECK(coordinator.claimJobs().at(DaemonId("other")).value().offerNumbers == std::vector<uint64_t>({ 102 }));
    CHECK_FALSE(coordinator.claimJobs().contains(DaemonId("owner")));
}

// A burst fills one cell while another has room: the entry's figures are up to 250 ms old.
TEST_GROUP(SecondChoiceByLoad)
{
    FakeClock clock;
    RecordingReplies replies;
    RecordingPeers peers;
    RecordingEventLog log;
    CountingMetrics metrics;
    CellChooser chooser { DataCentreId("home"), CellChooser::lateReportCost };
    ChosenByLoad choice { chooser, clock };
    JobCoordinator coordinator { { replies, peers, clock, log, metrics }, 100, absl::InfiniteDuration(), { &choice, 1 } };

    void load(const std::string& dataCentre, uint64_t epoch, int64_t free, double rate = 20)
    {
        const CellGrant grant = grantOf(dataCentre, dataCentre, epoch);
        chooser.granted(grant);
        chooser.loadReceived({ grant, 1000000, free, {}, rate, clock.now() }, clock.now());
    }

    /// Lets each owner reject, or complete, the offers of which it has room for only some.
    /// @param room number of tasks for which each owner has room.
    void serve(std::map<std::string, uint32_t> room)
    {
        for (size_t next = 0; next < peers.sent.size(); ++next) {
            const auto* offer = std::get_if<JobOffer>(&peers.sent[next].second);
            if (!offer)
                continue;
            const DaemonId owner = peers.sent[next].first;
            uint32_t& left = room[owner.value()];
            const bool isAccepted = left >= offer->taskCount;
            left -= isAccepted ? offer->taskCount : 0;
            const JobResult result { offer->job, offer->offerNumber, isAccepted ? JobEnd::Completed : JobEnd::Rejected, absl::Seconds(1), {}, RejectionReason::ExpectedWait };
            coordinator.resultReceived(owner, result);
        }
    }

    size_t completed() const
    {
        return static_cast<size_t>(std::count_if(replies.answers.begin(), replies.answers.end(), [](const CallerAnswer& answer) { return answer.kind == AnswerKind::Completed; }));
    }

    void openJobs(int count)
    {
        for (int i = 0; i < count; ++i)
            openJob(coordinator, "job" + std::to_string(i), chooser.choose(ServiceId("service"), { 10000, 0, 0 }, 2, 0, clock.now()));
    }
};

TEST(SecondChoiceByLoad, ABurstIsServedByTheCellWithRoom)
{
    load("home", 1, 1000000);
    load("far", 2, 400000);
    openJobs(10);
    // Other entries have filled the home cell but for 8 tasks since its last report.
    serve({ { "home", 8 }, { "far", 100 } });
    LONGS_EQUAL(10, completed());
    LONGS_EQUAL(6, metrics.counts["second_choices_served"]);
}

TEST(SecondChoiceByLoad, ABurstThatFillsAllCellsIsRejectedAtOnce)
{
    load("home", 1, 1000000);
    load("far", 2, 0, 0);
    load("third", 3, 0, 4);
    openJobs(10);
    serve({ { "home", 8 } });
    LONGS_EQUAL(4, completed());
    LONGS_EQUAL(10, replies.answers.size());
    LONGS_EQUAL(0, metrics.counts["second_choices"]);
}

// A cut-off owner can't serve the part, although its last load report says that it has room; neither can an evacuated one.
TEST(SecondChoiceByLoad, ACellThatIsSilentOrEvacuatedIsNoSecondChoice)
{
    load("far", 2, 400000);
    chooser.setEvacuated(DataCentreId("third"), true);
    clock.time += absl::Milliseconds(400);
    load("home", 1, 1000000);
    load("third", 3, 400000);
    openJobs(1);
    serve({});
    LONGS_EQUAL(1, replies.answers.size());
    LONGS_EQUAL(0, metrics.counts["second_choices"]);
}

// Guards against second choices that all go to the cell that reported room first, and fill it.
TEST(SecondChoiceByLoad, SecondChoicesCountAsLoadOfTheirCell)
{
    load("home", 1, 1000000);
    load("far", 2, 40000, 1);
    load("third", 3, 200000, 1);
    openJobs(6);
    serve({ { "far", 4 }, { "third", 20 } });
    LONGS_EQUAL(6, completed());
}
