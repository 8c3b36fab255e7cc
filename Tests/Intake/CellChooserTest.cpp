#include "Intake/CellChooser.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Demand moves between data centres, and owners fall silent.
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

    /// @param queued number of queued tasks, all of the most urgent priority.
    /// @param rate number of tasks that end per second.
    void load(const std::string& dataCentre, uint64_t epoch, int64_t free, uint32_t queued, double rate = 20)
    {
        chooser.loadReceived({ { cell(dataCentre), { DaemonId("1"), Incarnation(1) }, OwnerEpoch(epoch) }, 100000, free, queued > 0 ? std::vector<uint32_t> { queued } : std::vector<uint32_t> {}, rate, now }, now);
    }

    /// @return the cells that share a job, each with its number of tasks.
    std::string shareOut(uint32_t taskCount)
    {
        std::string text;
        for (const CellShare& share : chooser.choose(service, { 10000, 0, 0 }, taskCount, 0, now))
            text += (text.empty() ? "" : " ") + share.grant.cell.dataCentre.value() + " " + std::to_string(share.taskCount);
        return text;
    }

    std::string choose()
    {
        const std::vector<CellShare> shares = chooser.choose(service, { 10000, 0, 0 }, 4, 0, now);
        return shares.empty() ? "none" : shares.front().grant.cell.dataCentre.value();
    }
};

TEST(CellChooser, OnlyANewerGrantReplacesTheKnownOne)
{
    const CellGrant older { cell("cut-off"), { DaemonId("10.0.0.7"), Incarnation(1) }, OwnerEpoch(5) };
    const CellGrant newer { cell("cut-off"), { DaemonId("10.0.0.8"), Incarnation(1) }, OwnerEpoch(6) };
    CHECK(chooser.granted(newer));
    CHECK_FALSE(chooser.granted(older));
    CHECK_FALSE(chooser.granted(newer));
    CHECK(chooser.grants().at(newer.cell) == newer);
}

TEST(CellChooser, CellsOfAnEarlierDivisionGetNoJobs)
{
    load("home", 1, 50000, 0);
    CellId half = cell("home");
    half.part = { 0, 2 };
    const DaemonRun owner { DaemonId("1"), Incarnation(1) };
    CHECK(chooser.granted({ half, owner, OwnerEpoch(9) }));
    CHECK_FALSE(chooser.granted({ cell("home"), owner, OwnerEpoch(4) }));
    STRCMP_EQUAL("none", choose().c_str());
}

// Guards against an entry that got no processor time and then treats owners as silent whose loads it hasn't read yet.
TEST(CellChooser, OwnersAreNotSilentForTimeInWhichThisEntryDidNotRun)
{
    load("home", 1, 50000, 0);
    now += absl::Seconds(2);
    CHECK_FALSE(chooser.hasLiveOwner(now));
    chooser.recordDelay(absl::Milliseconds(1800));
    CHECK(chooser.hasLiveOwner(now));
    STRCMP_EQUAL("home", choose().c_str());
}

TEST(CellChooser, TheHomeDataCentreIsChosenWhileItHasFreeCores)
{
    load("home", 1, 50000, 0);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("home", choose().c_str());
}

TEST(CellChooser, ABusyHomeDataCentrePassesJobsOn)
{
    load("home", 1, 0, 90);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("far", choose().c_str());
}

TEST(CellChooser, JobsSentSinceTheLastLoadReportCount)
{
    load("home", 1, 50000, 0);
    load("far", 2, 100000, 0);
    STRCMP_EQUAL("home", choose().c_str());
    STRCMP_EQUAL("far", choose().c_str());
}

// Jobs with many tasks arrive while each cell has few or no free cores.
TEST(CellChooser, AJobThatFitsOnlyTwoCellsTogetherIsSplit)
{
    load("home", 1, 15000, 0);
    load("far", 2, 35000, 0);
    STRCMP_EQUAL("far 3 home 1", shareOut(4).c_str());
}

TEST(CellChooser, FullCellsShareAJobByTheirQueues)
{
    load("home", 1, 0, 0);
    load("far", 2, 0, 4);
    STRCMP_EQUAL("far 2 home 6", shareOut(8).c_str());
}

TEST(CellChooser, AJobIsNotSplitForASmallGain)
{
    load("home", 1, 0, 0, 1000);
    load("far", 2, 0, 0, 1000);
    STRCMP_EQUAL("home 4", shareOut(4).c_str());
}

TEST(CellChooser, QueuedTasksOfLowerPriorityDontCount)
{
    chooser.loadReceived({ { cell("home"), { DaemonId("1"), Incarnation(1) }, OwnerEpoch(1) }, 100000, 0, { 0, 50 }, 20, now }, now);
    load("far", 2, 0, 3);
    STRCMP_EQUAL("home 1", shareOut(1).c_str());
}

TEST(CellChooser, ASilentOwnerGetsNoJobs)
{
    load("home", 1, 50000, 0);
    now += absl::Milliseconds(600);
    load("far", 2, 0, 90);
    now += absl::Milliseconds(200);
    STRCMP_EQUAL("far", choose().c_str());
    now += absl::Seconds(1);
    STRCMP_EQUAL("none", choose().c_str());
}

TEST(CellChooser, TheLoadReportOfAnEarlierOwnerIsIgnored)
{
    load("far", 2, 100000, 0);
    load("home", 1, 50000, 0);
    chooser.granted({ cell("home"), { DaemonId("3"), Incarnation(1) }, OwnerEpoch(9) });
    load("home", 1, 50000, 0);
    STRCMP_EQUAL("far", choose().c_str());
}

// Guards against new jobs in an evacuated data centre, and against callers of that data centre that are turned away although
// others have room.
TEST(CellChooser, AnEvacuatedDataCentreGetsNoJobsUntilTheOrderIsWithdrawn)
{
    load("home", 1, 100000, 0);
    load("far", 2, 100000, 0);
    chooser.setEvacuated(DataCentreId("home"), true);
    STRCMP_EQUAL("far", choose().c_str());
    chooser.granted({ cell("home"), { DaemonId("3"), Incarnation(1) }, OwnerEpoch(9) });
    load("home", 9, 100000, 0);
    STRCMP_EQUAL("far", choose().c_str());
    chooser.setEvacuated(DataCentreId("far"), true);
    STRCMP_EQUAL("none", choose().c_str());
    chooser.setEvacuated(DataCentreId("home"), false);
    STRCMP_EQUAL("home", choose().c_str());
}

// Guards against jobs that are lost with a data centre that is cut off, in the time until its owners count as silent.
TEST(CellChooser, NewJobsGoElsewhereAsSoonAsReportsStop)
{
    CellChooser weighing(DataCentreId("home"), CellChooser::lateReportCost);
    const auto report = [&](const std::string& dataCentre, uint64_t epoch, int64_t free, double rate) {
        const CellGrant grant { cell(dataCentre), { DaemonId("1"), Incarnation(1) }, OwnerEpoch(epoch) };
        weighing.granted(grant);
        weighing.loadReceived({ grant, 1000000, free, {}, rate, now }, now);
    };
    const auto choice = [&] { return weighing.choose(service, { 10000, 0, 0 }, 1, 0, now).front().grant.cell.dataCentre.value(); };
    report("home", 1, 1000000, 20);
    report("far", 2, 1000000, 20);
    now += absl::Milliseconds(295);
    STRCMP_EQUAL("home", choice().c_str());
    // An owner that is only late is still better than a queue.
    now += absl::Milliseconds(15);
    report("far", 2, 0, 10);
    STRCMP_EQUAL("home", choice().c_str());
    report("far", 2, 1000000, 10);
    STRCMP_EQUAL("far", choice().c_str());
    now += absl::Milliseconds(90);
    report("far", 2, 0, 10);
    STRCMP_EQUAL("far", choice().c_str());
}
