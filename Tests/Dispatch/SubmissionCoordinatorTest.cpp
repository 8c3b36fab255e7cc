#include "Dispatch/SubmissionCoordinator.h"
#include "Dispatch/SubmissionRules.h"
#include "Support/FakeClock.h"
#include "Support/RecordingPeers.h"

#include <CppUTest/TestHarness.h>
#include <CppUTestExt/MockSupport.h>

#include <map>

using namespace trefoilwing;

namespace {

class SingleServiceDeclarations : public Declarations {
public:
    SingleServiceDeclarations()
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
    DaemonRun self() const override { return { DaemonId("a1"), incarnation }; }
    DataCentreId dataCentre() const override { return DataCentreId("bole"); }
    std::optional<DaemonId> entryIn(const DataCentreId&) const override { return remote; }
    std::optional<DaemonId> brokerFor(const ServiceId&) const override { return DaemonId("a1"); }
    bool isAlive(const DaemonRun& run) const override { return run == self() || run == alive; }

    Incarnation incarnation { 5 };
    std::optional<DaemonId> remote;
    DaemonRun alive;
};

/// Stores the callbacks until the test calls them.
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

TEST_GROUP(SubmissionCoordinator)
{
    FakeClock clock;
    SingleServiceDeclarations declarations;
    FakeDirectory directory;
    FakeLedger ledger;
    MockRunner runner;
    RecordingPeers peers;
    SubmissionCoordinator coordinator { SubmissionCoordinatorPorts { clock, declarations, directory, ledger, runner, peers } };
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

    CallerOperations::StateCallback storeState()
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

TEST(SubmissionCoordinator, NothingRunsBeforeTheClaimIsDurable)
{
    coordinator.submit(submission("here"), storeState());
    CHECK(states.empty());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    CHECK(lastIsRunning());
}

TEST(SubmissionCoordinator, AResubmissionJoinsAndGetsTheSameOutcome)
{
    coordinator.submit(submission("here"), storeState());
    coordinator.submit(submission("here"), storeState());
    LONGS_EQUAL(1, ledger.claims.size());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    LONGS_EQUAL(2, states.size());
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(5), storeState());
    coordinator.jobDecided(submission("here").id, JobAnswer { { "out" } });
    LONGS_EQUAL(2, states.size());
    ledger.recordings.at(0)(ledger.decided);
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
    coordinator.submit(submission("here"), storeState());
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
}

TEST(SubmissionCoordinator, OtherContentUnderTheSameIdIsAConflict)
{
    coordinator.submit(submission("here"), storeState());
    coordinator.submit(submission("here", "q1", "other"), storeState());
    CHECK(lastError().code == ErrorCode::Conflict);
    CHECK(lastError().verdict == Verdict::NotRun);
}

TEST(SubmissionCoordinator, AClaimHeldByALiveEntryIsQueriedThere)
{
    directory.alive = { DaemonId("a2"), Incarnation(1) };
    coordinator.submit(submission("here"), storeState());
    ledger.claims.at(0)(ClaimHolder { directory.alive, digestOf(submission("here")), std::nullopt });
    CHECK(lastIsRunning());
    ledger.found = ClaimHolder { directory.alive, digestOf(submission("here")), std::nullopt };
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(1), storeState());
    const auto& query = std::get<OutcomeQuery>(peers.sent.at(0).second);
    coordinator.forwardAnswered({ query.request, JobAnswer { { "out" } } });
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "out");
}

TEST(SubmissionCoordinator, AnAbandonedClaimOfThisProcessIsNotStartedByAResubmission)
{
    coordinator.submit(submission("here"), storeState());
    ledger.claims.at(0)(Error { ErrorCode::Unavailable, "no majority", Verdict::MayHaveRun });
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    coordinator.submit(submission("here"), storeState());
    // The mock fails the test if the runner is called.
    ledger.claims.at(1)(ClaimHolder { directory.self(), digestOf(submission("here")), std::nullopt });
    CHECK(lastIsRunning());
    ledger.found = ClaimHolder { directory.self(), digestOf(submission("here")), RecordedOutcome { Verdict::NotRun, false } };
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(1), storeState());
    CHECK(lastError().verdict == Verdict::NotRun);
}

TEST(SubmissionCoordinator, AClaimHeldWithOtherContentIsAConflict)
{
    coordinator.submit(submission("here"), storeState());
    ledger.claims.at(0)(ClaimHolder { { DaemonId("a2"), Incarnation(1) }, Digest(0), std::nullopt });
    CHECK(lastError().code == ErrorCode::Conflict);
}

TEST(SubmissionCoordinator, TheLedgerReportsTheOutcomeOfADeadOwner)
{
    ledger.found = ClaimHolder { { DaemonId("a2"), Incarnation(1) }, Digest(1), RecordedOutcome { Verdict::MayHaveRun, false } };
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(1), storeState());
    CHECK(lastError().code == ErrorCode::Lost);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    ledger.found->outcome = RecordedOutcome { Verdict::Ran, true };
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(1), storeState());
    CHECK(lastError().verdict == Verdict::Ran);
}

TEST(SubmissionCoordinator, ALateOwnerReportsTheRecordedOutcome)
{
    coordinator.submit(submission("here"), storeState());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(5), storeState());
    coordinator.jobDecided(submission("here").id, JobAnswer { { "out" } });
    ledger.recordings.at(0)(RecordedOutcome { Verdict::MayHaveRun, false });
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionCoordinator, AnOutcomeThatCouldNotBeRecordedIsRecordedAgain)
{
    coordinator.submit(submission("here"), storeState());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    coordinator.jobDecided(submission("here").id, JobAnswer { { "out" } });
    ledger.recordings.at(0)(Error { ErrorCode::Unavailable, "no leader", Verdict::MayHaveRun });
    const absl::Time next = coordinator.pump(clock.time);
    clock.time = next;
    coordinator.pump(clock.time);
    LONGS_EQUAL(2, ledger.recordings.size());
}

TEST(SubmissionCoordinator, ACancelReachesTheOwnerFromAnyEntry)
{
    directory.alive = { DaemonId("a2"), Incarnation(1) };
    ledger.found = ClaimHolder { directory.alive, Digest(1), std::nullopt };
    coordinator.cancel(submission("here").id, storeState());
    CHECK(std::get<OutcomeQuery>(peers.sent.at(0).second).cancels);
    coordinator.submit(submission("here"), storeState());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    mock().expectOneCall("cancel").withParameter("key", "q1");
    coordinator.outcomeQueried(DaemonId("a2"), { RequestId(1), submission("here").id, absl::Seconds(1), true });
}

TEST(SubmissionCoordinator, AnUnreachableHomeIsMayHaveRun)
{
    coordinator.submit(submission("there"), storeState());
    CHECK(lastError().code == ErrorCode::Unavailable);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionCoordinator, AForwardedSubmissionThatGetsNoAnswerIsMayHaveRun)
{
    directory.remote = DaemonId("b1");
    coordinator.submit(submission("there"), storeState());
    LONGS_EQUAL(1, peers.sent.size());
    clock.time = coordinator.pump(clock.time);
    coordinator.pump(clock.time);
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

// Guards against a caller that is given the outcome of another submission: the home answers a request of this entry's
// earlier process after a restart.
TEST(SubmissionCoordinator, AnAnswerToARequestOfAnEarlierProcessIsIgnored)
{
    directory.remote = DaemonId("b1");
    directory.incarnation = Incarnation(1000);
    SubmissionCoordinator earlier { SubmissionCoordinatorPorts { clock, declarations, directory, ledger, runner, peers } };
    earlier.submit(submission("there"), [](const SubmissionState&) {});
    const RequestId earlierRequest = peers.take<ForwardedSubmission>().back().second.request;
    directory.incarnation = Incarnation(2000);
    SubmissionCoordinator restarted { SubmissionCoordinatorPorts { clock, declarations, directory, ledger, runner, peers } };
    restarted.submit(submission("there", "q2"), storeState());
    restarted.forwardAnswered({ earlierRequest, JobAnswer { { "of q1" } } });
    CHECK(states.empty());
    restarted.forwardAnswered({ peers.take<ForwardedSubmission>().back().second.request, JobAnswer { { "of q2" } } });
    CHECK(std::get<JobAnswer>(states.back()).outputs[0] == "of q2");
}

TEST(SubmissionCoordinator, ADrainingEntryTakesNothingNewButJoinsWhatItHas)
{
    coordinator.submit(submission("here"), storeState());
    expectRun();
    ledger.claims.at(0)(ClaimGranted {});
    coordinator.drain();
    coordinator.submit(submission("here"), storeState());
    CHECK(lastIsRunning());
    coordinator.submit(submission("here", "q2"), storeState());
    CHECK(lastError().code == ErrorCode::Draining);
    CHECK(lastError().verdict == Verdict::NotRun);
    LONGS_EQUAL(1, coordinator.openCount());
}

TEST(SubmissionCoordinator, AnEntryWithoutAConfigurationNeverAnswersNotRun)
{
    declarations.isReady = false;
    coordinator.submit(submission("here"), storeState());
    CHECK(lastError().verdict == Verdict::MayHaveRun);
    coordinator.awaitOutcome(submission("here").id, absl::Seconds(1), storeState());
    CHECK(lastError().verdict == Verdict::MayHaveRun);
}

TEST(SubmissionCoordinator, ALateOrDrainingResubmissionJoinsWhatRanElsewhere)
{
    ledger.found = ClaimHolder { { DaemonId("a2"), Incarnation(1) }, digestOf(submission("here")), RecordedOutcome { Verdict::Ran, true } };
    Submission late = submission("here");
    late.deadline = clock.time;
    coordinator.submit(late, storeState());
    CHECK(lastError().verdict == Verdict::Ran);
    coordinator.drain();
    coordinator.submit(submission("here"), storeState());
    CHECK(lastError().verdict == Verdict::Ran);
}

TEST(SubmissionCoordinator, RefusalsBeforeTheClaimAreNotRun)
{
    Submission late = submission("here");
    late.deadline = clock.time;
    coordinator.submit(late, storeState());
    CHECK(lastError().code == ErrorCode::PastDeadline);
    Submission unknown = submission("nobody");
    coordinator.submit(unknown, storeState());
    CHECK(lastError().code == ErrorCode::UnknownBacker);
    Submission reserved = submission("here", "~x");
    coordinator.submit(reserved, storeState());
    CHECK(lastError().code == ErrorCode::Malformed);
    CHECK(ledger.claims.empty());
}
