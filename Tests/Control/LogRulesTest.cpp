#include "Control/ReplicatedLog.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Rules of the replicated log that matter only in rare orders of events, each tested on the messages of one member.

namespace {

class FixedRandom final : public Random {
public:
    uint64_t below(uint64_t) override { return 0; }
    double unit() override { return 0; }
};

const GroupId group("ledger/dc");
const Epoch epoch(7);

Member voter(const char* daemon)
{
    return { { DaemonId(daemon), Incarnation(1) }, true, true, false };
}

} // namespace

TEST_GROUP(LogRules)
{
    FixedRandom random;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::unique_ptr<ReplicatedLog> log;

    /// Makes `log` the leader of term 3 in the group a, b and c, with a log that holds an entry of term 2.
    void setup() override
    {
        LogSettings settings;
        settings.group = group;
        settings.self = voter("a");
        settings.daemons = { DaemonId("a"), DaemonId("b"), DaemonId("c") };
        JournalContent content;
        content.hardState = { epoch, Term(2), std::nullopt };
        content.entries = { { LogIndex(1), Term(1), FoundingRecord { epoch, now, {}, { voter("a"), voter("b"), voter("c") } } },
            { LogIndex(2), Term(2), NoOperation {} } };
        log = std::make_unique<ReplicatedLog>(settings, content, random, now);
        now = log->nextWakeup() + absl::Seconds(1);
        log->tick(now);
        log->receive(VoteReply { headerFrom("b", Term(2)), true, Term(3), true }, now);
        syncAll();
        log->receive(VoteReply { headerFrom("b", Term(3)), false, Term(3), true }, now);
        CHECK(log->role() == LogRole::Leader);
    }

    LogHeader headerFrom(const char* daemon, Term term)
    {
        return { group, epoch, voter(daemon).id, log->self().id, term };
    }

    LogOutbox syncAll()
    {
        LogOutbox outbox = log->takeOutbox();
        for (const JournalBatch& batch : outbox.batches)
            log->synced(batch.token, now);
        return outbox;
    }

    void acceptedBy(const char* daemon, uint64_t lastIndex)
    {
        log->receive(AppendReply { headerFrom(daemon, Term(3)), true, LogIndex(lastIndex), 1, std::nullopt }, now);
    }

    void askToJoin(const char* daemon)
    {
        Member member = voter(daemon);
        member.isVoter = false;
        log->receive(JoinRequest { group, member }, now);
    }
};

TEST(LogRules, AnEntryOfAnEarlierTermCommitsOnlyUnderOneOfThisTerm)
{
    syncAll();
    acceptedBy("b", 2);
    CHECK(log->commitIndex() == LogIndex(0));
    acceptedBy("b", 3);
    CHECK(log->commitIndex() == LogIndex(3));
}

TEST(LogRules, MembersChangeOneAtATimeAndNotBeforeTheTermsFirstEntryIsCommitted)
{
    syncAll();
    askToJoin("d");
    CHECK_EQUAL(3, log->members().size());
    acceptedBy("b", 3);
    CHECK_EQUAL(4, log->members().size());
    askToJoin("e");
    CHECK_EQUAL(4, log->members().size());
    syncAll();
    acceptedBy("b", 4);
    CHECK_EQUAL(5, log->members().size());
}

TEST(LogRules, AVoteIsAnsweredOnlyOnceItIsSynced)
{
    now += absl::Minutes(1);
    log->tick(now);
    syncAll();
    LogHeader header = headerFrom("c", Term(9));
    log->receive(VoteRequest { header, false, LogIndex(100), Term(9) }, now);
    LogOutbox outbox = log->takeOutbox();
    CHECK_EQUAL(0, outbox.messages.size());
    CHECK(outbox.batches.back().hardState->votedFor == header.from);
    log->synced(outbox.batches.back().token, now);
    CHECK(std::get<VoteReply>(log->takeOutbox().messages.front().message).isGranted);
}

// Guards against a change that is dropped as a repeated one: a member that has restarted proposes it under the number of a
// proposal of its earlier process that isn't committed yet.
TEST(LogRules, ProposalsOfARestartedMemberHaveNumbersOfTheirOwn)
{
    std::vector<ProposalId> proposals;
    for (const uint64_t incarnation : { 1000, 2000 }) {
        LogSettings settings;
        settings.group = group;
        settings.self = voter("b");
        settings.firstProposal = incarnation;
        JournalContent content;
        content.hardState = { epoch, Term(3), std::nullopt };
        content.entries = { { LogIndex(1), Term(1), FoundingRecord { epoch, now, {}, { voter("a"), voter("b"), voter("c") } } } };
        ReplicatedLog follower(settings, content, random, now);
        follower.receive(AppendRequest { { group, epoch, voter("a").id, voter("b").id, Term(3) }, LogIndex(1), Term(1), {}, LogIndex(1), 1, {} }, now);
        CHECK(follower.propose(NoOperation {}, now));
        for (const Envelope& envelope : follower.takeOutbox().messages) {
            if (const auto* forward = std::get_if<ProposalForward>(&envelope.message))
                proposals.push_back(forward->proposal);
        }
    }
    LONGS_EQUAL(2, proposals.size());
    syncAll();
    const LogIndex before = log->lastIndex();
    for (const ProposalId& proposal : proposals)
        log->receive(ProposalForward { headerFrom("b", Term(3)), proposal, NoOperation {} }, now);
    LONGS_EQUAL(before.value() + 2, log->lastIndex().value());
    // A proposal that comes twice is appended once.
    log->receive(ProposalForward { headerFrom("b", Term(3)), proposals.back(), NoOperation {} }, now);
    LONGS_EQUAL(before.value() + 2, log->lastIndex().value());
}

// Guards against the loss of acknowledged entries: a snapshot that was on its way for long replaced a log that held later
// ones. The leader went on to count them as stored, so that the member never got them again.
TEST(LogRules, ALateSnapshotDropsNoEntriesThatWereAcknowledged)
{
    LogSettings settings;
    settings.group = group;
    settings.self = voter("b");
    JournalContent content;
    content.hardState = { epoch, Term(3), std::nullopt };
    content.entries = { { LogIndex(1), Term(1), FoundingRecord { epoch, now, {}, { voter("a"), voter("b"), voter("c") } } } };
    ReplicatedLog follower(settings, content, random, now);
    const LogHeader header { group, epoch, voter("a").id, voter("b").id, Term(3) };
    const std::vector<LogEntry> entries { { LogIndex(2), Term(3), NoOperation {} }, { LogIndex(3), Term(3), NoOperation {} } };
    follower.receive(AppendRequest { header, LogIndex(1), Term(1), entries, LogIndex(1), 1, {} }, now);
    for (const JournalBatch& batch : follower.takeOutbox().batches)
        follower.synced(batch.token, now);
    const std::vector<Envelope> replies = follower.takeOutbox().messages;
    LONGS_EQUAL(1, replies.size());
    LONGS_EQUAL(3, std::get<AppendReply>(replies.front().message).lastIndex.value());
    follower.receive(SnapshotRequest { header, LogIndex(2), Term(3), { voter("a"), voter("b"), voter("c") }, 0, 1, FleetChunk {}, 2 }, now);
    LONGS_EQUAL(3, follower.lastIndex().value());
    LONGS_EQUAL(2, follower.commitIndex().value());
    // A snapshot of a log that differs from this one replaces it.
    follower.receive(SnapshotRequest { header, LogIndex(3), Term(2), { voter("a"), voter("b"), voter("c") }, 0, 1, FleetChunk {}, 3 }, now);
    CHECK(follower.takeOutbox().restored != nullptr);
}
