#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SlotAccounting)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");
    DaemonRun b = BrokerFixture::run("b");
};

TEST(SlotAccounting, NoMoreSlotsAreGrantedThanAnnounced)
{
    f.announce("m", 3);
    f.update(a, { f.demand(1, 2) });
    f.update(b, { f.demand(2, 5) });
    auto grants = f.grants();
    LONGS_EQUAL(2, grants[1]);
    LONGS_EQUAL(1, grants[2]);
    CHECK(f.grants().empty());
    f.update(a, {}, { BrokerFixture::report(1, "m") });
    LONGS_EQUAL(1, f.grants()[2]);
}

TEST(SlotAccounting, LaggingAnnouncementsNeitherGrantTwiceNorLeak)
{
    f.announce("m", 4);
    f.update(a, { f.demand(1, 4), f.demand(2, 4) });
    LONGS_EQUAL(4, f.grants()[1]);
    f.announce("m", 4, 0);
    CHECK(f.grants().empty());
    f.update(a, {}, { 4, BrokerFixture::report(1, "m") });
    f.announce("m", 4, 4);
    LONGS_EQUAL(4, f.grants()[2]);
}

TEST(SlotAccounting, SlotsOfAnEntryThatIsGoneComeBackFromAnnouncements)
{
    f.announce("m", 4, 0);
    f.update(a, { f.demand(1, 4) });
    f.update(b, { f.demand(2, 4) });
    f.grants();
    f.broker->entryGone(a, f.now);
    CHECK(f.grants().empty());
    f.announce("m", 4, 3);
    LONGS_EQUAL(1, f.grants()[2]);
    // An announcement may be older than the grants since the last one, so those don't count as its busy slots.
    f.announce("m", 4, 1);
    LONGS_EQUAL(2, f.grants()[2]);
    f.announce("m", 4, 3);
    f.announce("m", 4, 3);
    LONGS_EQUAL(1, f.grants()[2]);
}

TEST(SlotAccounting, ARefusalForLoadHoldsTheSlotBackForAWhile)
{
    f.announce("m", 1);
    f.update(a, { f.demand(1, 1) });
    f.grants();
    f.update(a, { f.demand(1, 1) }, { BrokerFixture::report(1, "m", SlotEnding::RefusedBusy) });
    CHECK(f.grants().empty());
    f.now = f.broker->nextWakeup();
    LONGS_EQUAL(1, f.grants()[1]);
}

TEST(SlotAccounting, ALeavingMinionGetsNothingMore)
{
    f.announce("m", 4);
    f.announce("m", 4, 0, MinionState::Leaving);
    f.update(a, { f.demand(1, 1) });
    CHECK(f.grants().empty());
}

TEST(SlotAccounting, AVanishedMinionGetsNothingMoreUntilItAnnouncesItself)
{
    f.announce("m", 4);
    f.update(a, { f.demand(1, 2) });
    LONGS_EQUAL(2, f.grants()[1]);
    f.broker->minionGone(MinionId("m"), f.now);
    f.update(a, { f.demand(2, 4) });
    CHECK(f.grants().empty());
    f.announce("m", 4, 2);
    LONGS_EQUAL(2, f.grants()[2]);
}

TEST(SlotAccounting, ARebuiltBrokerGrantsNoHeldSlotAgain)
{
    f.announce("m", 4, 3);
    f.wholeState(a, 1, { f.demand(1, 4) }, { { MinionId("m"), 2 } });
    LONGS_EQUAL(1, f.grants()[1]);
    f.wholeState(b, 1, {}, { { MinionId("m"), 1 } });
    CHECK(f.grants().empty());
    f.update(b, {}, { BrokerFixture::report(9, "m") });
    LONGS_EQUAL(1, f.grants()[1]);
}

TEST(SlotAccounting, AResumedEntryTellsItsWholeStateBeforeItIsServed)
{
    f.announce("m", 4);
    f.update(a, { f.demand(1, 1) });
    LONGS_EQUAL(1, f.grants()[1]);
    f.broker->entryGone(a, f.now);
    f.now += absl::Seconds(10);
    f.update(a, { f.demand(2, 4) });
    CHECK(f.grants().empty());
    CHECK(f.last.size() == 1 && f.last[0].needsFullState);
    f.announce("m", 4, 1);
    f.wholeState(a, 2, { f.demand(2, 4) }, { { MinionId("m"), 1 } });
    LONGS_EQUAL(3, f.grants()[2]);
    CHECK(f.last[0].stream == 2 && f.last[0].sequence == 1);
}

TEST(SlotAccounting, ALaterRunOfAnEntryEndsTheEarlierOne)
{
    f.announce("m", 4);
    f.update(a, { f.demand(1, 9) });
    LONGS_EQUAL(4, f.grants()[1]);
    f.update(BrokerFixture::run("a", 2), { f.demand(1, 4) });
    f.announce("m", 4, 0);
    LONGS_EQUAL(4, f.grants()[1]);
    CHECK(f.last.size() == 1 && f.last[0].entry == BrokerFixture::run("a", 2));
}
