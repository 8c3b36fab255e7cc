#include "Control/MemberChanges.h"

#include "Control/ElectionTally.h"
#include "Control/RecordingGroup.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

Member memberOf(const char* daemon, uint64_t storage, bool isVoter)
{
    return { { DaemonId(daemon), Incarnation(storage) }, isVoter, true, false };
}

} // namespace

// Guards against logs that don't tell how a group lost its voters.
TEST_GROUP(MemberChanges) {};

TEST(MemberChanges, EachDifferenceIsNamed)
{
    const std::vector<Member> earlier { memberOf("a", 1, true), memberOf("b", 1, true), memberOf("c", 1, false), memberOf("d", 1, true) };
    const std::vector<Member> later { memberOf("a", 1, true), memberOf("b", 2, false), memberOf("c", 1, true), memberOf("e", 1, false) };
    const std::vector<MemberChange> expected {
        { MemberChangeKind::Succeeded, memberOf("b", 2, false).id, true },
        { MemberChangeKind::Promoted, memberOf("c", 1, true).id, false },
        { MemberChangeKind::LearnerAdded, memberOf("e", 1, false).id, false },
        { MemberChangeKind::Removed, memberOf("d", 1, true).id, true },
    };
    CHECK(expected == changesBetween(earlier, later));
    CHECK(changesBetween(later, later).empty());
}

TEST(MemberChanges, AFoundedGroupsVotersAreNoLearners)
{
    const std::vector<MemberChange> changes = changesBetween({}, { memberOf("a", 1, true), memberOf("b", 1, false) });
    CHECK(MemberChangeKind::VoterAdded == changes[0].kind);
    CHECK(MemberChangeKind::LearnerAdded == changes[1].kind);
}

TEST(MemberChanges, TheMarginIsTheNumberOfVotersThatMayBeLost)
{
    CHECK((QuorumMargin { 0, 0 } == quorumMargin({})));
    CHECK((QuorumMargin { 2, 0 } == quorumMargin({ memberOf("a", 1, true), memberOf("b", 1, true), memberOf("c", 1, false) })));
    CHECK((QuorumMargin { 3, 1 } == quorumMargin({ memberOf("a", 1, true), memberOf("b", 1, true), memberOf("c", 1, true) })));
}

// Guards against a line on a failed election that doesn't tell silent voters from voters that refuse.
TEST(MemberChanges, AFailedElectionTellsWhoDidNotVote)
{
    STRCMP_EQUAL("too few voters answered", std::string(failureReason({ 1, 0 }, 3)).c_str());
    STRCMP_EQUAL("voters refused: their logs are newer or they voted for another member", std::string(failureReason({ 1, 1 }, 3)).c_str());
    LogOracle oracle;
    const auto cluster = makeRecordingCluster(oracle, {});
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    const size_t left = (cluster->leader() + 1) % 3;
    for (size_t host = 0; host < 3; ++host) {
        if (host != left)
            cluster->crash(host);
    }
    cluster->run(absl::Seconds(5));
    const GroupState state = cluster->group(left)->status();
    CHECK(state.failedElections > 0);
    CHECK((ElectionTally { 1, 0 } == state.lastFailedElection));
}
