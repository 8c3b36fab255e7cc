#include "Dispatch/SubmissionDesk.h"
#include "Dispatch/SubmissionRules.h"
#include "Support/FakeClock.h"
#include "Support/RecordingPeers.h"

#include <CppUTest/TestHarness.h>
#include <CppUTestExt/MockSupport.h>

#include <map>

using namespace trefoilwing;

namespace {

class OneService : public Declarations {
public:
    OneService()
    {
        declaration_.service = ServiceId("follow-up");
        declaration_.backers = { { BackerId("here"), 1, DataCentreId("bole") }, { BackerId("there"), 1, DataCentreId("merkato") } };
        declaration_.kinds = { { TaskKindId("price"), absl::Milliseconds(100), true, {} } };
    }
    bool hasConfiguration() const override { return isReady; }
    std::shared_ptr<const ServiceDeclaration> find(const ServiceId& service) const override
    {
        return service == declaration_.service ? std::make_shared<const ServiceDeclaration>(declaration_) : nullptr;
    }

    bool isReady = true;

private:
    ServiceDeclaration declaration_;
};

class FakeDirectory : public DaemonDirectory {
public:
    DaemonRun self() const override { return { DaemonId("a1"), Incarnation(5) }; }
    DataCentreId dataCentre() const override { return DataCentreId("bole"); }
    std::optional<DaemonId> entryIn(const DataCentreId&) const override { return remote; }
    std::optional<DaemonId> brokerFor(const ServiceId&) const override { return DaemonId("a1"); }
    bool isAlive(const DaemonRun& run) const override { return run == self() || run == alive; }

    std::optional<DaemonId> remote;
    DaemonRun alive;
};

/// Keeps the callbacks until the test answers them.
class FakeLedger : public Ledger {
public:
    void claim(const SubmissionKey&, Digest, absl::Duration, ClaimCallback done) override { claims.push_back(std::move(done)); }
    void lookUp(const SubmissionKey&, LookUpCallback done) override { done(found); }
    void decide(const SubmissionKey&, RecordedOutcome outcome, DecideCallback done) override
    {
        decided = outcome;
        recordings.push_back(std::move(done));
    }

    std::vector<ClaimCallback> claims;
    std::vector<DecideCallback> recordings;
    RecordedOutcome decided;
    std::optional<ClaimHolder> found;
};

class MockRunner : public JobRunner {
public:
    void run(Submission submission) override { mock().actualCall("run").withParameter("key", submission.id.key.value().c_str()); }
    void cancel(const SubmissionKey& key) override { mock().actualCall("cancel").withParameter("key", key.key.value().c_str()); }
};

} // namespace

TEST_GROUP(SubmissionDesk)
{
    FakeClock clock;
    OneService declarations;
    FakeDirectory directory;
    FakeLedger ledger;
    MockRunner runner;
    RecordingPeers peers;
    SubmissionDesk desk { DeskPorts { clock, declarations, directory, ledger, runner, peers } };
    std::vector<SubmissionState> states;

    void teardown() override
    {
        mock().checkExpectations();
        mock().clear();
    }

    Submission submission(const char* backer, const char* key = "q1", const char* payload = "x")
    {
        Submission made;
        made.id = { ServiceId("follow-up"), BackerId(backer), CallerKey(key) };
        made.tasks = { { TaskKindId("price"), payload } };
        made.deadline = clock.time + absl::Seconds(10);
        return made;
    }

    CallerOperations::StateCallback keep()
    {
        return [this](const SubmissionState& state) { states.push_back(state); };
    }

    const Error& lastError()
    {
        return std::get<Error>(states.back());
    }
    bool lastIsRunning()
    {
        return std::holds_alternative<StillRunning>(states.back());
    }
    void expectRun()
    {
        mock().expectOneCall("run").withParameter("key", "q1");
    }
};

TEST(SubmissionDesk, NothingRunsBeforeTheClaimIsDurable)
{
    desk.submit(submission("here"), keep());
    CHECK(states.empty());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    CHECK(lastIsRunning());
}

TEST(SubmissionDesk, AResubmissionJoinsAndGetsTheSameOutcome)
{
    desk.submit(submission("here"), keep());
    desk.submit(submission("here"), keep());
    LONGS_EQUAL(1, ledger.claims.size());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    LONGS_EQUAL(2, states.size());
    desk.awaitOutcome(submission("here").id, absl::Seconds(5), keep());
    desk.jobDecided(submission("here").id, JobAnswer { { "out" } });
    LONGS_EQUAL(2, states.size());
    ledger.recordings.at(0)(ledger.decided);
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
    desk.submit(submission("here"), keep());
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
}

TEST(SubmissionDesk, OtherContentUnderTheSameIdIsAConflict)
{
    desk.submit(submission("here"), keep());
    desk.submit(submission("here", "q1", "other"), keep());
    CHECK(lastError().code == ErrorCode::Conflict);
    CHECK(lastError().verdict == Verdict::NotRun);
}

TEST(SubmissionDesk, AClaimHeldByALivingEntryIsAskedThere)
{
    directory.alive = { DaemonId("a2"), Incarnation(1) };
    desk.submit(submission("here"), keep());
    ledger.claims.at(0)(ClaimHolder { directory.alive, digestOf(submission("here")), std::nullopt });
    CHECK(lastIsRunning());
    ledger.found = ClaimHolder { directory.alive, digestOf(submission("here")), std::nullopt };
    desk.awaitOutcome(submission("here").id, absl::Seconds(1), keep());
    const auto& query = std::get<OutcomeQuery>(peers.sent.at(0).second);
    desk.forwardAnswered({ query.request, JobAnswer { { "out" } } });
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
}

TEST(SubmissionDesk, AClaimOfThisRunThatWasGivenUpIsNotStartedByAResubmission)
{
    desk.submit(submission("here"), keep());
    ledger.claims.at(0)(Error { ErrorCode::Unavailable, "no majority", Verdict::MayHaveRun });
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    desk.submit(submission("here"), keep());
    // No call of the runner is expected.
    ledger.claims.at(1)(ClaimHolder { directory.self(), digestOf(submission("here")), std::nullopt });
    CHECK(lastIsRunning());
    ledger.found = ClaimHolder { directory.self(), digestOf(submission("here")), RecordedOutcome { Verdict::NotRun, false } };
    desk.awaitOutcome(submission("here").id, absl::Seconds(1), keep());
    CHECK(lastError().verdict == Verdict::NotRun);
}

TEST(SubmissionDesk, AClaimHeldWithOtherContentIsAConflict)
{
    desk.submit(submission("here"), keep());
    ledger.claims.at(0)(ClaimHolder { { DaemonId("a2"), Incarnation(1) }, Digest(0), std::nullopt });
    CHECK(lastError().code == ErrorCode::Conflict);
}

TEST(SubmissionDesk, AnOutcomeWhoseOwnerIsGoneIsToldByTheLedger)
{
    ledger.found = ClaimHolder { { DaemonId("a2"), Incarnation(1) }, Digest(1), RecordedOutcome { Verdict::MayHaveRun, false } };
    desk.awaitOutcome(submission("here").id, absl::Seconds(1), keep());
    CHECK(lastError().code == ErrorCode::Lost);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    ledger.found->outcome = RecordedOutcome { Verdict::Ran, true };
    desk.awaitOutcome(submission("here").id, absl::Seconds(1), keep());
    CHECK(lastError().verdict == Verdict::Ran);
}

TEST(SubmissionDesk, ALateOwnerTellsTheOutcomeThatStands)
{
    desk.submit(submission("here"), keep());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    desk.awaitOutcome(submission("here").id, absl::Seconds(5), keep());
    desk.jobDecided(submission("here").id, JobAnswer { { "out" } });
    ledger.recordings.at(0)(RecordedOutcome { Verdict::MayHaveRun, false });
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionDesk, AnOutcomeThatCouldNotBeRecordedIsRecordedAgain)
{
    desk.submit(submission("here"), keep());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    desk.jobDecided(submission("here").id, JobAnswer { { "out" } });
    ledger.recordings.at(0)(Error { ErrorCode::Unavailable, "no leader", Verdict::MayHaveRun });
    const absl::Time next = desk.pump(clock.time);
    clock.time = next;
    desk.pump(clock.time);
    LONGS_EQUAL(2, ledger.recordings.size());
}

TEST(SubmissionDesk, ACancelReachesTheOwnerWhicheverEntryIsAsked)
{
    directory.alive = { DaemonId("a2"), Incarnation(1) };
    ledger.found = ClaimHolder { directory.alive, Digest(1), std::nullopt };
    desk.cancel(submission("here").id, keep());
    CHECK(std::get<OutcomeQuery>(peers.sent.at(0).second).cancels);
    desk.submit(submission("here"), keep());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    mock().expectOneCall("cancel").withParameter("key", "q1");
    desk.outcomeQueried(DaemonId("a2"), { RequestId(1), submission("here").id, absl::Seconds(1), true });
}

TEST(SubmissionDesk, AnUnreachableHomeIsMayHaveRun)
{
    desk.submit(submission("there"), keep());
    CHECK(lastError().code == ErrorCode::Unavailable);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionDesk, AForwardedSubmissionThatGetsNoAnswerIsMayHaveRun)
{
    directory.remote = DaemonId("b1");
    desk.submit(submission("there"), keep());
    LONGS_EQUAL(1, peers.sent.size());
    clock.time = desk.pump(clock.time);
    desk.pump(clock.time);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionDesk, ADrainingEntryTakesNothingNewButJoinsWhatItHas)
{
    desk.submit(submission("here"), keep());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    desk.drain();
    desk.submit(submission("here"), keep());
    CHECK(lastIsRunning());
    desk.submit(submission("here", "q2"), keep());
    CHECK(lastError().code == ErrorCode::Draining);
    CHECK(lastError().verdict == Verdict::NotRun);
    LONGS_EQUAL(1, desk.openCount());
}

TEST(SubmissionDesk, AnEntryWithoutAConfigurationNeverSaysNotRunOfASubmission)
{
    declarations.isReady = false;
    desk.submit(submission("here"), keep());
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    desk.awaitOutcome(submission("here").id, absl::Seconds(1), keep());
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionDesk, ALateOrDrainingResubmissionJoinsWhatRanElsewhere)
{
    ledger.found = ClaimHolder { { DaemonId("a2"), Incarnation(1) }, digestOf(submission("here")), RecordedOutcome { Verdict::Ran, true } };
    Submission late = submission("here");
    late.deadline = clock.time;
    desk.submit(late, keep());
    CHECK(lastError().verdict == Verdict::Ran);
    desk.drain();
    desk.submit(submission("here"), keep());
    CHECK(lastError().verdict == Verdict::Ran);
}

TEST(SubmissionDesk, RefusalsBeforeTheClaimAreNotRun)
{
    Submission late = submission("here");
    late.deadline = clock.time;
    desk.submit(late, keep());
    CHECK(lastError().code == ErrorCode::PastDeadline);
    Submission unknown = submission("nobody");
    desk.submit(unknown, keep());
    CHECK(lastError().code == ErrorCode::UnknownBacker);
    Submission reserved = submission("here", "~x");
    desk.submit(reserved, keep());
    CHECK(lastError().code == ErrorCode::Malformed);
    CHECK(ledger.claims.empty());
}
