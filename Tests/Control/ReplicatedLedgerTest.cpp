#include "Control/ReplicatedLedger.h"
#include "Control/GroupCluster.h"
#include "Control/RecordingGroup.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const absl::Duration retention = absl::Hours(1);

SubmissionKey keyOf(uint64_t submission)
{
    return claimOf(submission, 0).submission;
}

} // namespace

TEST_GROUP(ReplicatedLedger)
{
    std::map<size_t, uint64_t> runs;
    std::map<size_t, std::vector<RecordedOutcome>> outcomes;
    std::unique_ptr<GroupCluster> cluster;

    DaemonRun runOf(size_t host)
    {
        return { DaemonId(absl::StrCat("d", host)), Incarnation(runs[host]) };
    }

    void start(GroupCluster::Options options = {})
    {
        cluster = std::make_unique<GroupCluster>(std::move(options), [this](size_t host, LogSettings settings, JournalContent content, GroupPorts ports) {
            ++runs[host];
            return std::make_unique<ReplicatedLedger>(runOf(host), std::move(settings), std::move(content), ports,
                [this, host](const SubmissionKey&, const RecordedOutcome& outcome) { outcomes[host].push_back(outcome); });
        });
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    }

    ReplicatedLedger& ledger(size_t host)
    {
        return dynamic_cast<ReplicatedLedger&>(*cluster->group(host));
    }

    /// Runs until the answer arrives.
    template <typename T>
    T await(std::shared_ptr<std::optional<T>> answer)
    {
        CHECK(cluster->runUntil([&] { return answer->has_value(); }, absl::Seconds(60)));
        return **answer;
    }

    std::shared_ptr<std::optional<ClaimReply>> claim(size_t host, uint64_t submission, Digest digest = Digest(1))
    {
        auto answer = std::make_shared<std::optional<ClaimReply>>();
        ledger(host).claim(keyOf(submission), digest, retention, [answer](const ClaimReply& reply) { *answer = reply; });
        return answer;
    }

    std::shared_ptr<std::optional<Result<RecordedOutcome>>> decide(size_t host, uint64_t submission, RecordedOutcome outcome)
    {
        auto answer = std::make_shared<std::optional<Result<RecordedOutcome>>>();
        ledger(host).decide(keyOf(submission), outcome, [answer](const Result<RecordedOutcome>& reply) { *answer = reply; });
        return answer;
    }

    Result<std::optional<ClaimHolder>> lookUp(size_t host, uint64_t submission)
    {
        auto answer = std::make_shared<std::optional<Result<std::optional<ClaimHolder>>>>();
        ledger(host).lookUp(keyOf(submission), [answer](const Result<std::optional<ClaimHolder>>& reply) { *answer = reply; });
        return await(answer);
    }

    bool isGranted(const ClaimReply& reply)
    {
        return std::holds_alternative<ClaimGranted>(reply);
    }
};

TEST(ReplicatedLedger, ExactlyOneOfSeveralConcurrentClaimsIsGranted)
{
    start();
    for (uint64_t submission = 0; submission < 20; ++submission) {
        std::vector<std::shared_ptr<std::optional<ClaimReply>>> answers;
        for (size_t host : { 0U, 1U, 2U, 0U, 1U, 2U })
            answers.push_back(claim(host, submission));
        int granted = 0;
        for (auto& answer : answers)
            granted += isGranted(await(answer)) ? 1 : 0;
        CHECK_EQUAL(1, granted);
    }
}

TEST(ReplicatedLedger, TheFirstOutcomeIsFinalAndReachesAllDaemons)
{
    start();
    CHECK(isGranted(await(claim(0, 1))));
    const RecordedOutcome ran { Verdict::Ran, true };
    CHECK(*valueOf(await(decide(0, 1, ran))) == ran);
    CHECK(*valueOf(await(decide(0, 1, { Verdict::MayHaveRun, false }))) == ran);
    cluster->run(absl::Seconds(1));
    for (size_t host = 0; host < 3; ++host)
        CHECK(outcomes[host].front() == ran);
    CHECK(std::get<ClaimHolder>(await(claim(2, 1))).outcome == ran);
}

TEST(ReplicatedLedger, ALateOwnerReceivesTheOutcomeThatWasDecidedFirst)
{
    start();
    const size_t owner = (cluster->leader() + 1) % 3;
    const size_t other = (cluster->leader() + 2) % 3;
    CHECK(isGranted(await(claim(owner, 1))));
    // Only the leader may fail an owner's claims, so that a daemon that is itself isolated fails none.
    ledger(other).ownerRemoved(runOf(owner));
    cluster->run(absl::Seconds(5));
    CHECK(outcomes[other].empty());
    ledger(cluster->leader()).ownerRemoved(runOf(owner));
    CHECK(cluster->runUntil([&] { return !outcomes[other].empty(); }));
    CHECK((*valueOf(await(decide(owner, 1, { Verdict::Ran, true }))) == RecordedOutcome { Verdict::MayHaveRun, false }));
}

TEST(ReplicatedLedger, ARestartedDaemonFailsTheClaimsOfItsEarlierRun)
{
    start();
    CHECK(isGranted(await(claim(0, 1))));
    cluster->crash(0);
    cluster->restart(0);
    CHECK(cluster->runUntil([&] { return !outcomes[2].empty(); }));
    CHECK((outcomes[2].front() == RecordedOutcome { Verdict::MayHaveRun, false }));
}

TEST(ReplicatedLedger, ALookUpReportsNeverClaimedOnlyIfTheLogConfirmsIt)
{
    start();
    CHECK(!valueOf(lookUp(1, 1))->has_value());
    CHECK(isGranted(await(claim(0, 1))));
    CHECK((*valueOf(lookUp(1, 1)))->owner == runOf(0));
    cluster->cut({ 1 });
    CHECK(isGranted(await(claim(0, 2))));
    CHECK(errorOf(lookUp(1, 2))->verdict == Verdict::MayHaveRun);
}

TEST(ReplicatedLedger, AClaimThatTimedOutStartsNothingAndIsDecidedAsNotRun)
{
    start();
    const size_t old = cluster->leader();
    // Messages to the other daemons are still sent, but no answer arrives in time.
    for (size_t host = 0; host < 3; ++host)
        cluster->setSyncTime(host, absl::Seconds(7));
    CHECK(std::get<Error>(await(claim(old, 1))).verdict == Verdict::MayHaveRun);
    for (size_t host = 0; host < 3; ++host)
        cluster->setSyncTime(host, absl::Milliseconds(5));
    CHECK(cluster->runUntil([&] { return !outcomes[0].empty(); }, absl::Minutes(2)));
    CHECK((outcomes[0].front() == RecordedOutcome { Verdict::NotRun, false }));
}

TEST(ReplicatedLedger, AClaimSurvivesAChangeOfLeader)
{
    start();
    const size_t old = cluster->leader();
    cluster->crash(old);
    CHECK(isGranted(await(claim(old == 0 ? 1 : 0, 1))));
}

TEST(ReplicatedLedger, AJournalFailureFailsPendingClaimsAsMayHaveRun)
{
    start();
    cluster->cut({ 0 });
    auto waiting = claim(0, 1);
    cluster->failDisk(0);
    CHECK(std::get<Error>(await(waiting)).verdict == Verdict::MayHaveRun);
}
