#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SlotAccounting)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");
    DaemonRun entryB = BrokerFixture::run("b");
};

TEST(SlotAccounting, NoMoreSlotsAreGrantedThanAnnounced)
{
    fixture.announce("m", 3);
    fixture.update(entryA, { fixture.demand(1, 2) });
    fixture.update(entryB, { fixture.demand(2, 5) });
    auto grants = fixture.grants();
    LONGS_EQUAL(2, grants[1]);
    LONGS_EQUAL(1, grants[2]);
    CHECK(fixture.grants().empty());
    fixture.update(entryA, {}, { BrokerFixture::report(1, "m") });
    LONGS_EQUAL(1, fixture.grants()[2]);
}

TEST(SlotAccounting, LaggingAnnouncementsNeitherGrantTwiceNorLeak)
{
    fixture.announce("m", 4);
    fixture.update(entryA, { fixture.demand(1, 4), fixture.demand(2, 4) });
    LONGS_EQUAL(4, fixture.grants()[1]);
    fixture.announce("m", 4, 0);
    CHECK(fixture.grants().empty());
    fixture.update(entryA, {}, { 4, BrokerFixture::report(1, "m") });
    fixture.announce("m", 4, 4);
    LONGS_EQUAL(4, fixture.grants()[2]);
}

TEST(SlotAccounting, SlotsOfARemovedEntryAreFreedByAnnouncements)
{
    fixture.announce("m", 4, 0);
    fixture.update(entryA, { fixture.demand(1, 4) });
    fixture.update(entryB, { fixture.demand(2, 4) });
    fixture.grants();
    fixture.broker->entryRemoved(entryA, fixture.now);
    CHECK(fixture.grants().empty());
    fixture.announce("m", 4, 3);
    LONGS_EQUAL(1, fixture.grants()[2]);
    // An announcement may predate the grants since the last one, so those don't count as its busy slots.
    fixture.announce("m", 4, 1);
    LONGS_EQUAL(2, fixture.grants()[2]);
    fixture.announce("m", 4, 3);
    fixture.announce("m", 4, 3);
    LONGS_EQUAL(1, fixture.grants()[2]);
}

TEST(SlotAccounting, ASlotRefusedAsBusyIsNotGrantedAgainAtOnce)
{
    fixture.announce("m", 1);
    fixture.update(entryA, { fixture.demand(1, 1) });
    fixture.grants();
    fixture.update(entryA, { fixture.demand(1, 1) }, { BrokerFixture::report(1, "m", SlotEnding::RefusedBusy) });
    CHECK(fixture.grants().empty());
    fixture.now = fixture.broker->nextWakeup();
    LONGS_EQUAL(1, fixture.grants()[1]);
}

TEST(SlotAccounting, ALeavingMinionGetsNothingMore)
{
    fixture.announce("m", 4);
    fixture.announce("m", 4, 0, MinionState::Leaving);
    fixture.update(entryA, { fixture.demand(1, 1) });
    CHECK(fixture.grants().empty());
}

TEST(SlotAccounting, ARemovedMinionGetsNothingUntilItAnnouncesItself)
{
    fixture.announce("m", 4);
    fixture.update(entryA, { fixture.demand(1, 2) });
    LONGS_EQUAL(2, fixture.grants()[1]);
    fixture.broker->minionRemoved(MinionId("m"), fixture.now);
    fixture.update(entryA, { fixture.demand(2, 4) });
    CHECK(fixture.grants().empty());
    fixture.announce("m", 4, 2);
    LONGS_EQUAL(2, fixture.grants()[2]);
}

TEST(SlotAccounting, ARestartedBrokerGrantsNoHeldSlotAgain)
{
    fixture.announce("m", 4, 3);
    fixture.sendFullState(entryA, 1, { fixture.demand(1, 4) }, { { MinionId("m"), 2 } });
    LONGS_EQUAL(1, fixture.grants()[1]);
    fixture.sendFullState(entryB, 1, {}, { { MinionId("m"), 1 } });
    CHECK(fixture.grants().empty());
    fixture.update(entryB, {}, { BrokerFixture::report(9, "m") });
    LONGS_EQUAL(1, fixture.grants()[1]);
}

TEST(SlotAccounting, AResumedEntrySendsItsFullStateBeforeItGetsGrants)
{
    fixture.announce("m", 4);
    fixture.update(entryA, { fixture.demand(1, 1) });
    LONGS_EQUAL(1, fixture.grants()[1]);
    fixture.broker->entryRemoved(entryA, fixture.now);
    fixture.now += absl::Seconds(10);
    fixture.update(entryA, { fixture.demand(2, 4) });
    CHECK(fixture.grants().empty());
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].needsFullState);
    fixture.announce("m", 4, 1);
    fixture.sendFullState(entryA, 2, { fixture.demand(2, 4) }, { { MinionId("m"), 1 } });
    LONGS_EQUAL(3, fixture.grants()[2]);
    CHECK(fixture.lastDecisions[0].stream == 2 && fixture.lastDecisions[0].sequence == 1);
}

TEST(SlotAccounting, ALaterRunOfAnEntryEndsTheEarlierOne)
{
    fixture.announce("m", 4);
    fixture.update(entryA, { fixture.demand(1, 9) });
    LONGS_EQUAL(4, fixture.grants()[1]);
    fixture.update(BrokerFixture::run("a", 2), { fixture.demand(1, 4) });
    fixture.announce("m", 4, 0);
    LONGS_EQUAL(4, fixture.grants()[1]);
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].entry == BrokerFixture::run("a", 2));
}
