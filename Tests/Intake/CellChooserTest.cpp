#include "Intake/CellChooser.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: demand moves between data centres, and owners fall silent.
TEST_GROUP(CellChooser)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    CellChooser chooser { DataCentreId("home") };
    const ServiceId service { "service" };

    CellId cell(const std::string& dataCentre)
    {
        return { service, DataCentreId(dataCentre) };
    }

    void setup() override
    {
        chooser.granted({ cell("home"), { DaemonId("1"), Incarnation(1) }, OwnerEpoch(1) });
        chooser.granted({ cell("far"), { DaemonId("2"), Incarnation(1) }, OwnerEpoch(2) });
    }

    void load(const std::string& dataCentre, uint64_t epoch, int64_t free, int64_t queued)
    {
        chooser.loadHeard({ { cell(dataCentre), { DaemonId("1"), Incarnation(1) }, OwnerEpoch(epoch) }, 100000, free, queued }, now);
    }

    std::string choose()
    {
        const std::vector<CellShare> shares = chooser.choose(service, { 10000, 0, 0 }, 4, absl::Milliseconds(100), now);
        return shares.empty() ? "none" : shares.front().grant.cell.dataCentre.value();
    }
};

TEST(CellChooser, HomeIsChosenWhileItHasRoom)
{
    load("home", 1, 50000, 0);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("home", choose().c_str());
}

TEST(CellChooser, ABusyHomePassesJobsOn)
{
    load("home", 1, 0, 9000);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("far", choose().c_str());
}

TEST(CellChooser, WhatWasSentSinceTheLastWordCounts)
{
    load("home", 1, 50000, 0);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("home", choose().c_str());
    STRCMP_EQUAL("far", choose().c_str());
}

// Pattern: wide jobs come while each cell has a little room left.
TEST(CellChooser, AJobThatOnlyTwoCellsTogetherHaveRoomForIsSplit)
{
    load("home", 1, 15000, 0);
    load("far", 2, 35000, 0);
    const std::vector<CellShare> shares = chooser.choose(service, { 10000, 0, 0 }, 4, absl::Milliseconds(100), now);
    LONGS_EQUAL(2, shares.size());
    STRCMP_EQUAL("far", shares[0].grant.cell.dataCentre.value().c_str());
    LONGS_EQUAL(3, shares[0].taskCount);
    LONGS_EQUAL(1, shares[1].taskCount);
    // Both are full now, by what was sent.
    LONGS_EQUAL(1, chooser.choose(service, { 10000, 0, 0 }, 2, absl::Milliseconds(100), now).size());
}

TEST(CellChooser, AJobThatNotEvenAllCellsHaveRoomForWaitsInOne)
{
    load("home", 1, 15000, 0);
    load("far", 2, 15000, 0);
    const std::vector<CellShare> shares = chooser.choose(service, { 10000, 0, 0 }, 4, absl::Milliseconds(100), now);
    LONGS_EQUAL(1, shares.size());
    LONGS_EQUAL(4, shares.front().taskCount);
}

TEST(CellChooser, ASilentOwnerGetsNothing)
{
    load("home", 1, 50000, 0);
    now += absl::Milliseconds(600);
    load("far", 2, 0, 9000);
    now += absl::Milliseconds(200);
    STRCMP_EQUAL("far", choose().c_str());
    now += absl::Seconds(1);
    STRCMP_EQUAL("none", choose().c_str());
}

TEST(CellChooser, TheWordOfAnEarlierOwnerDoesntCount)
{
    load("far", 2, 100000, 0);
    load("home", 1, 50000, 0);
    chooser.granted({ cell("home"), { DaemonId("3"), Incarnation(1) }, OwnerEpoch(9) });
    load("home", 1, 50000, 0);
    STRCMP_EQUAL("far", choose().c_str());
}
