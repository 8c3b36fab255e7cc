#include "Intake/GrantTable.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Keepers and owners tell of grants; some of them are behind.
TEST_GROUP(GrantTable)
{
    GrantTable grants;
    const CellId whole { ServiceId("service"), DataCentreId("centre") };

    static CellGrant makeGrant(const CellId& cell, uint64_t epoch)
    {
        return { cell, { DaemonId("owner"), Incarnation(1) }, OwnerEpoch(epoch) };
    }

    CellId part(uint32_t index, uint32_t count) const
    {
        return { whole.service, whole.dataCentre, { index, count } };
    }
};

TEST(GrantTable, AnOlderOrRepeatedGrantChangesNothing)
{
    CHECK(grants.accept(makeGrant(whole, 8)));
    CHECK_FALSE(grants.accept(makeGrant(whole, 8)));
    CHECK_FALSE(grants.accept(makeGrant(whole, 5)));
    LONGS_EQUAL(8, grants.find(whole)->epoch.value());
    CHECK(grants.accept(makeGrant(whole, 9)));
    LONGS_EQUAL(9, grants.find(whole)->epoch.value());
}

TEST(GrantTable, ADivisionRemovesTheCellsOfTheEarlierOne)
{
    CHECK(grants.accept(makeGrant(whole, 8)));
    CHECK(grants.accept(makeGrant(part(0, 2), 9)));
    POINTERS_EQUAL(nullptr, grants.find(whole));
    CHECK(grants.accept(makeGrant(part(1, 2), 10)));
    LONGS_EQUAL(2, grants.all().size());
}

TEST(GrantTable, ALateGrantOfAnEarlierDivisionChangesNothing)
{
    CHECK(grants.accept(makeGrant(part(0, 2), 9)));
    CHECK_FALSE(grants.accept(makeGrant(whole, 8)));
    LONGS_EQUAL(1, grants.all().size());
}
