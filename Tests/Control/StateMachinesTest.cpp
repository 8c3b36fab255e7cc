#include "Control/ConfigurationState.h"
#include "Control/LedgerState.h"
#include "Control/RecordingGroup.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

ClaimRecord claimAt(uint64_t submission, uint64_t owner, absl::Time time)
{
    ClaimRecord claim = claimOf(submission, owner);
    claim.claimedAt = time;
    return claim;
}

OutcomeRecord outcomeAt(uint64_t submission, Verdict verdict, absl::Time time)
{
    return { claimOf(submission, 0).submission, verdict, verdict == Verdict::Ran, DaemonRun {}, time };
}

const absl::Time start = absl::FromUnixSeconds(1000);

} // namespace

TEST_GROUP(LedgerState)
{
    LedgerState ledger;

    std::optional<LedgerClaim> find(uint64_t submission)
    {
        return ledger.find(claimOf(submission, 0).submission);
    }
};

TEST(LedgerState, TheFirstClaimAndTheFirstOutcomeAreFinal)
{
    ledger.apply(claimAt(1, 1, start));
    ledger.apply(claimAt(1, 2, start));
    CHECK(find(1)->claim.owner == claimOf(1, 1).owner);
    ledger.apply(outcomeAt(1, Verdict::Ran, start));
    ledger.apply(outcomeAt(1, Verdict::MayHaveRun, start));
    CHECK(find(1)->outcome->verdict == Verdict::Ran);
    ledger.apply(outcomeAt(2, Verdict::Ran, start));
    CHECK(!find(2).has_value());
}

TEST(LedgerState, OnlyTheOpenClaimsOfARemovedOwnerFail)
{
    for (uint64_t submission = 1; submission <= 3; ++submission)
        ledger.apply(claimAt(submission, submission == 3 ? 2 : 1, start));
    ledger.apply(outcomeAt(1, Verdict::Ran, start));
    CHECK_EQUAL(1, ledger.apply(OwnerGoneRecord { claimOf(1, 1).owner, start }).size());
    CHECK(find(1)->outcome->verdict == Verdict::Ran);
    CHECK(find(2)->outcome->verdict == Verdict::MayHaveRun);
    CHECK(!find(3)->outcome);
    CHECK(ledger.openOwners() == std::vector<DaemonRun> { claimOf(3, 2).owner });
}

TEST(LedgerState, KeepsAClaimForItsRetentionAfterTheOutcomeAndAnOpenOneForEver)
{
    ledger.apply(claimAt(1, 1, start));
    ledger.apply(claimAt(2, 1, start));
    ledger.apply(outcomeAt(1, Verdict::Ran, start + absl::Minutes(30)));
    ledger.apply(claimAt(3, 1, start + absl::Minutes(89)));
    CHECK(find(1).has_value());
    ledger.apply(claimAt(4, 1, start + absl::Minutes(90)));
    CHECK(!find(1).has_value());
    ledger.apply(claimAt(5, 1, start + absl::Hours(1000)));
    CHECK(find(2).has_value());
}

TEST(LedgerState, AStateRestoredFromASnapshotBehavesLikeTheOriginal)
{
    ledger.apply(FoundingRecord { Epoch(1), start, absl::Hours(2), {} });
    for (uint64_t submission = 0; submission < 2500; ++submission)
        ledger.apply(claimAt(submission, submission % 2, start + absl::Hours(1 + submission % 3)));
    LedgerState restored;
    restored.restore(ledger.snapshot());
    for (LedgerState* state : { &ledger, &restored }) {
        state->apply(OwnerGoneRecord { claimOf(1, 1).owner, start + absl::Hours(3) });
        state->apply(claimAt(3000, 1, start + absl::Hours(3) + absl::Minutes(30)));
    }
    CHECK_EQUAL(ledger.size(), restored.size());
    for (uint64_t submission = 0; submission < 2500; ++submission)
        CHECK(find(submission) == restored.find(claimOf(submission, 0).submission));
}

TEST_GROUP(ConfigurationState)
{
    ConfigurationState state;
};

TEST(ConfigurationState, ARepeatedChangeGetsTheSameAnswerAndAnotherOneIsAConflict)
{
    CHECK(*valueOf(state.publish(publishOf(0, 5))) == ConfigurationVersion(1));
    CHECK(*valueOf(state.publish(publishOf(1, 6))) == ConfigurationVersion(2));
    CHECK(*valueOf(state.publish(publishOf(0, 5))) == ConfigurationVersion(1));
    CHECK(state.configuration().version == ConfigurationVersion(2));
    const auto conflict = state.publish(publishOf(0, 7));
    STRCMP_EQUAL("version 1 was published by operator5 with other content; base the change on version 2", errorOf(conflict)->message.c_str());
    STRCMP_EQUAL("base version 9 doesn't exist; version 2 is in force", errorOf(state.publish(publishOf(9, 7)))->message.c_str());
}

TEST(ConfigurationState, AChangeReplacesAddsAndRemovesServices)
{
    state.publish(publishOf(0, 1));
    state.publish(publishOf(1, 2));
    PublishRecord change = publishOf(2, 8);
    change.removed = { ServiceId("service2") };
    state.publish(change);
    CHECK_EQUAL(1, state.configuration().services.size());
    CHECK_EQUAL(8, state.configuration().services.front().maxTasks);
}

TEST(ConfigurationState, APeerThatMissed500ChangesGetsThemOrTheFullConfigurationAndNeverGoesBack)
{
    for (size_t maxHistory : { 2000U, 100U }) {
        ConfigurationState ahead(maxHistory);
        ConfigurationState behind;
        for (uint64_t base = 0; base < 510; ++base) {
            ahead.publish(publishOf(base, base + 1));
            if (base < 10)
                behind.publish(publishOf(base, base + 1));
        }
        const ConfigurationDelta old = ahead.deltaSince(ConfigurationVersion(10));
        CHECK_EQUAL(maxHistory == 2000 ? 500 : 0, old.changes.size());
        CHECK(behind.adopt(old));
        CHECK(behind.configuration() == ahead.configuration());
        ahead.publish(publishOf(510, 1000));
        CHECK(behind.adopt(ahead.deltaSince(ConfigurationVersion(510))));
        CHECK(!behind.adopt(old));
        CHECK(behind.configuration() == ahead.configuration());
    }
}
