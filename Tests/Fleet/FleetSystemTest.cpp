#include "Fleet/Fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <csignal>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

/// Counts the HTTP statuses of jobs that were submitted concurrently. Status 0 counts jobs without an answer.
class StatusCounter {
public:
    HttpClient::Callback callback(const std::string& job)
    {
        MutexLock lock(mutex_);
        ++open_;
        return [this, job](const HttpResult& result) {
            const auto* response = std::get_if<WebResponse>(&result);
            const unsigned status = response ? response->status : 0;
            MutexLock done(mutex_);
            ++statuses_[status];
            if (status == 429 || status == 503)
                rejected_.push_back(job);
            --open_;
        };
    }

    /// @return the jobs whose callers were told that nothing of them ran or will run.
    std::vector<std::string> rejected() const
    {
        MutexLock lock(mutex_);
        return rejected_;
    }

    bool awaitAll()
    {
        const absl::Time end = absl::Now() + absl::Seconds(30);
        while (absl::Now() < end) {
            {
                MutexLock lock(mutex_);
                if (open_ == 0)
                    return true;
            }
            absl::SleepFor(absl::Milliseconds(20));
        }
        return false;
    }

    size_t count(unsigned status)
    {
        MutexLock lock(mutex_);
        return statuses_[status];
    }

private:
    mutable absl::Mutex mutex_;
    size_t open_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<unsigned, size_t> statuses_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::string> rejected_ ABSL_GUARDED_BY(mutex_);
};

} // namespace

TEST_GROUP(FleetSystem)
{
    Fleet fleet;
    StatusCounter statuses;
    uint64_t lastJob = 0;

    void begin()
    {
        fleet.startAll();
        CHECK_TEXT(fleet.publish(1), "the first configuration is acknowledged");
        CHECK_TEXT(fleet.awaitService(Fleet::entries()), "all entries serve");
    }

    /// Submits jobs at a constant rate, to the entries in turn.
    /// @param pause time between two jobs.
    void submit(const std::vector<std::string>& entries, int jobs, absl::Duration pause)
    {
        for (int i = 0; i < jobs; ++i) {
            const std::string id = absl::StrCat(absl::Hex(0xa000000000000000UL + ++lastJob));
            fleet.caller().submit(fleet.callers(entries[static_cast<size_t>(i) % entries.size()]), id, 3, 30, statuses.callback(id));
            absl::SleepFor(pause);
        }
    }

    /// Kills the owner of a cell and starts it again while other entries offer it jobs.
    void restartOwner()
    {
        const std::string owner = fleet.ownerOf("bole");
        std::vector<std::string> others;
        for (const std::string& entry : Fleet::entries()) {
            if (entry != owner)
                others.push_back(entry);
        }
        submit(others, 20, absl::Milliseconds(5));
        fleet.node(owner).kill();
        submit(others, 60, absl::Milliseconds(5));
        fleet.startNode(owner, false);
        submit(others, 150, absl::Milliseconds(5));
    }

    /// Checks that all callers got an answer, that no task ran twice, and that none ran of a job that was called not run.
    void checkAnswers()
    {
        CHECK(statuses.awaitAll());
        LONGS_EQUAL(0, statuses.count(0));
        LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
        size_t ran = 0;
        for (const std::string& job : statuses.rejected())
            ran += fleet.minions().hasStarted(job) ? 1 : 0;
        LONGS_EQUAL(0, ran);
        CHECK_TEXT(fleet.awaitService(Fleet::entries()), "all entries serve");
    }
};

TEST(FleetSystem, JobsAtAllEntriesComplete)
{
    begin();
    submit(Fleet::entries(), 100, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(100, statuses.count(200));
    const MinionTotals totals = fleet.minions().totals();
    LONGS_EQUAL(0, totals.duplicateStarts);
    CHECK(totals.done >= 300);
}

TEST(FleetSystem, AKilledOwnerStartsNothingTwice)
{
    begin();
    const std::string owner = fleet.ownerOf("bole");
    CHECK_FALSE(owner.empty());
    std::vector<std::string> others;
    for (const std::string& entry : Fleet::entries()) {
        if (entry != owner)
            others.push_back(entry);
    }
    submit(others, 20, absl::Milliseconds(10));
    fleet.node(owner).kill();
    submit(others, 150, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(0, statuses.count(0));
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
    CHECK_TEXT(statuses.count(200) >= 120, "most jobs are served while the cell moves");
    CHECK(fleet.ownerOf("bole") != owner);
    CHECK_TEXT(fleet.awaitService(others), "the others serve");
}

// Guards against jobs that run after their callers were told that they had not: the owner of their cell is killed and comes
// back, while other entries offer it jobs.
TEST(FleetSystem, WhatWasRejectedNeverRunsHoweverOftenItsOwnerRestarts)
{
    begin();
    for (int kill = 0; kill < 6; ++kill)
        restartOwner();
    checkAnswers();
}

// The same where entries offer rejected jobs to the cell of the other data centre. Each owner has answered its own callers
// before it is killed, as they get no answer otherwise.
TEST(FleetSystem, WhatIsOfferedAgainRunsOnceHoweverOftenItsOwnerRestarts)
{
    fleet.setSecondChoices(1);
    begin();
    for (int kill = 0; kill < 6; ++kill) {
        restartOwner();
        CHECK(statuses.awaitAll());
    }
    checkAnswers();
}

// A data centre may have far more minions than one entry can manage. Its pool is then divided into cells while callers
// are served; only jobs that run at that moment may time out.
TEST(FleetSystem, ALargePoolIsDividedWhileItServes)
{
    fleet.setCores(0.09);
    fleet.addMinions(66);
    begin();
    submit(Fleet::entries(), 200, absl::Milliseconds(20));
    CHECK_TEXT(fleet.awaitGrant("entry-4", "bole/2of2"), "the pool of bole is divided");
    CHECK_TEXT(fleet.awaitGrant("entry-4", "merkato/2of2"), "the pool of merkato is divided");
    CHECK(fleet.awaitService(Fleet::entries()));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(0, statuses.count(0));
    CHECK(statuses.count(200) + statuses.count(429) + statuses.count(503) + statuses.count(504) == 200);
    CHECK_TEXT(statuses.count(200) >= 160, "most jobs are served while the pools are divided");
    const size_t served = statuses.count(200);
    submit(Fleet::entries(), 100, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(served + 100, statuses.count(200));
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
}

TEST(FleetSystem, CallersOfAnEntryThatJustStartedWaitUntilItServes)
{
    begin();
    fleet.node("entry-1").kill();
    fleet.startNode("entry-1", false);
    submit({ "entry-1" }, 60, absl::Milliseconds(15));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(0, statuses.count(503));
    CHECK_TEXT(statuses.count(200) > 20, "it serves soon after its start");
}

TEST(FleetSystem, SigtermCutsOffNothing)
{
    begin();
    submit(Fleet::entries(), 20, absl::Milliseconds(10));
    const std::string stopped = fleet.ownerOf("merkato");
    fleet.node(stopped).signal(SIGTERM);
    submit(Fleet::entries(), 100, absl::Milliseconds(15));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(0, statuses.count(0));
    LONGS_EQUAL(0, statuses.count(504));
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
    const std::optional<int> status = fleet.node(stopped).await(absl::Seconds(20));
    CHECK(status == 0);
}

TEST(FleetSystem, EntriesServeOnWithoutKeepers)
{
    begin();
    for (const std::string& keeper : Fleet::keepers())
        fleet.node(keeper).kill();
    absl::SleepFor(absl::Seconds(1));
    submit(Fleet::entries(), 60, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(60, statuses.count(200));
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
}

TEST(FleetSystem, AWipedKeeperLosesNoConfiguration)
{
    begin();
    CHECK(fleet.publish(7));
    fleet.node("keeper-1").kill();
    fleet.deleteDataFolder("keeper-1");
    fleet.startNode("keeper-1", false);
    CHECK(fleet.publish(9));
    // A keeper that lost its disk counts as lost for this time after its restart, and the group tolerates one lost disk.
    absl::SleepFor(absl::Seconds(4));
    fleet.node("keeper-2").kill();
    const absl::Time end = absl::Now() + absl::Seconds(40);
    WebResponse newest { 0, {}, {} };
    while (newest.status != 200 && absl::Now() < end)
        newest = fleet.caller().call(fleet.control("keeper-1"), "GET", "/config");
    STRCMP_EQUAL(FleetCaller::configuration(9).c_str(), newest.body.c_str());
    // An older version is acknowledged and changes nothing.
    LONGS_EQUAL(200, fleet.caller().call(fleet.control("keeper-1"), "PUT", "/config", FleetCaller::configuration(8)).status);
    const WebResponse atOther = fleet.caller().call(fleet.control("keeper-3"), "GET", "/config");
    LONGS_EQUAL(200, atOther.status);
    STRCMP_EQUAL(FleetCaller::configuration(9).c_str(), atOther.body.c_str());
}

// Guards against a keeper that ends at each start because its journal is damaged: it must say so, keep the files, and come
// back as a new member without the losses that the group bears.
TEST(FleetSystem, AKeeperWhoseJournalIsDamagedJoinsAgain)
{
    begin();
    CHECK(fleet.publish(7));
    fleet.node("keeper-1").kill();
    fleet.damageJournal("keeper-1");
    fleet.startNode("keeper-1", false);
    CHECK(fleet.publish(9));
    absl::SleepFor(absl::Seconds(4));
    CHECK(absl::StrContains(fleet.logOf("keeper-1"), "event=journal_damaged"));
    fleet.node("keeper-2").kill();
    const absl::Time end = absl::Now() + absl::Seconds(40);
    WebResponse newest { 0, {}, {} };
    while (newest.status != 200 && absl::Now() < end)
        newest = fleet.caller().call(fleet.control("keeper-1"), "GET", "/config");
    STRCMP_EQUAL(FleetCaller::configuration(9).c_str(), newest.body.c_str());
}

// Guards against an entry that stood still and claims its callers' jobs again, which run in another data centre by then.
TEST(FleetSystem, AStoppedEntryClaimsNoJobThatRunsElsewhere)
{
    constexpr absl::Duration resubmitDelay = absl::Milliseconds(1300);
    fleet.minions().setRunTime(absl::Milliseconds(1200));
    begin();
    for (int round = 0; round < 3; ++round) {
        const std::string stopped = fleet.ownerOf("bole");
        std::vector<std::string> jobs(3);
        for (std::string& job : jobs)
            job = absl::StrCat(absl::Hex(0xb000000000000000UL + ++lastJob));
        for (const std::string& job : jobs)
            fleet.caller().submit(fleet.callers(stopped), job, 3, 1200, statuses.callback(job));
        absl::SleepFor(absl::Milliseconds(200));
        fleet.node(stopped).signal(SIGSTOP);
        // The first connections stay open, as if a link held up their end.
        absl::SleepFor(resubmitDelay + absl::Milliseconds(100));
        for (const std::string& job : jobs)
            fleet.caller().submit(fleet.callers("entry-3"), job, 3, 1200, statuses.callback(job));
        absl::SleepFor(absl::Milliseconds(300));
        fleet.node(stopped).signal(SIGCONT);
        CHECK_TEXT(statuses.awaitAll(), "each call is answered");
    }
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
}

// Guards against tasks that run twice, and minions that are never used again: reports of another writer, for a service that no
// configuration names, carry the addresses of minions at work (review/9).
TEST(FleetSystem, ReportsOfAnUnknownServiceRemoveNoMinion)
{
    begin();
    submit(Fleet::entries(), 40, absl::Milliseconds(5));
    int number = 0;
    for (const Endpoint& endpoint : fleet.minions().endpoints()) {
        const std::string id = absl::StrCat("foreign-", ++number);
        const std::string report = absl::StrCat(R"({"service":"billing","address":")", endpoint.address, ":", endpoint.port, R"(","zone":"bole","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)",
            R"("capacity":{"cpu":16000,"mem_mb":65536,"gpu":0},"labels":["a","r1"],"clock_ms":1,"sequence":1,"born":)", absl::ToUnixMillis(absl::Now()), "}");
        LONGS_EQUAL(200, fleet.caller().call(fleet.control("keeper-1"), "PUT", "/instances/" + id, report).status);
        submit(Fleet::entries(), 20, absl::Milliseconds(5));
    }
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(160, statuses.count(200));
    checkAnswers();
    CHECK(absl::StrContains(fleet.logOf("keeper-1"), "event=report_held"));
    CHECK_FALSE(absl::StrContains(fleet.logOf("entry-1"), "event=minion_removed"));
}

// Guards against tasks that start in an evacuated data centre: by owners that knew the order, after all keepers have
// restarted, and by an entry that has restarted and owns a cell anew.
TEST(FleetSystem, AnEvacuatedDataCentreStartsNothingUntilTheOrderIsWithdrawn)
{
    fleet.offerEvacuations();
    begin();
    submit(Fleet::entries(), 40, absl::Milliseconds(20));
    CHECK(fleet.evacuate("bole", true));
    submit(Fleet::entries(), 20, absl::Milliseconds(20));
    CHECK(fleet.awaitEvacuation("bole", true));
    // Jobs in progress may start their other tasks for 0.5 s after an owner has learned of the order.
    absl::SleepFor(absl::Milliseconds(1500));
    CHECK(statuses.awaitAll());
    const size_t starts = fleet.minions().startsIn("bole");
    CHECK(starts > 0);

    const size_t servedBefore = statuses.count(200);
    submit(Fleet::entries(), 60, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    CHECK_TEXT(statuses.count(200) >= servedBefore + 48, "most callers, also those of the evacuated data centre, are served");
    LONGS_EQUAL(starts, fleet.minions().startsIn("bole"));

    for (const std::string& keeper : Fleet::keepers())
        fleet.node(keeper).kill();
    for (const std::string& keeper : Fleet::keepers())
        fleet.startNode(keeper, false);
    const std::string owner = fleet.ownerOf("bole");
    fleet.node(owner).kill();
    fleet.startNode(owner, false);
    CHECK_TEXT(fleet.publish(2), "the keepers have a leader again");
    CHECK_TEXT(fleet.awaitService(Fleet::entries()), "all entries serve");
    submit(Fleet::entries(), 60, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(starts, fleet.minions().startsIn("bole"));

    CHECK(fleet.evacuate("merkato", true));
    CHECK(fleet.awaitEvacuation("merkato", true));
    const size_t refused = statuses.count(503);
    submit(Fleet::entries(), 8, absl::Milliseconds(20));
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(refused + 8, statuses.count(503));

    CHECK(fleet.evacuate("merkato", false));
    CHECK(fleet.evacuate("bole", false));
    CHECK(fleet.awaitEvacuation("bole", false));
    const absl::Time end = absl::Now() + absl::Seconds(30);
    while (fleet.minions().startsIn("bole") == starts && absl::Now() < end)
        submit({ "entry-1", "entry-2" }, 10, absl::Milliseconds(20));
    CHECK_TEXT(fleet.minions().startsIn("bole") > starts, "the data centre is used again");
    CHECK(statuses.awaitAll());
    LONGS_EQUAL(0, statuses.count(0));
    LONGS_EQUAL(0, fleet.minions().totals().duplicateStarts);
    size_t ran = 0;
    for (const std::string& job : statuses.rejected())
        ran += fleet.minions().hasStarted(job) ? 1 : 0;
    LONGS_EQUAL(0, ran);
}

TEST(FleetSystem, BadInputIsRefusedAndLosesNothing)
{
    begin();
    FleetCaller& caller = fleet.caller();
    const Endpoint control = fleet.control("keeper-1");
    const Endpoint entry = fleet.callers("entry-1");
    const std::string whole = FleetCaller::configuration(2);
    LONGS_EQUAL(400, caller.call(control, "PUT", "/config", whole.substr(0, whole.size() / 2)).status);
    LONGS_EQUAL(400, caller.call(control, "PUT", "/config", std::string(20000, '[')).status);
    LONGS_EQUAL(400, caller.call(control, "PUT", "/instances/x", R"({"service":7})").status);
    LONGS_EQUAL(404, caller.call(control, "GET", "/nothing").status);
    LONGS_EQUAL(404, caller.call(control, "POST", "/evacuations/bole").status);
    LONGS_EQUAL(404, caller.call(control, "DELETE", "/evacuations/bole").status);
    LONGS_EQUAL(400, caller.call(entry, "POST", "/work/0123456789abcdef", "{").status);
    LONGS_EQUAL(400, caller.call(entry, "POST", "/work/short", "{}").status);
    LONGS_EQUAL(404, caller.call(entry, "POST", "/other/0123456789abcdef", "{}").status);
    LONGS_EQUAL(413, caller.call(entry, "POST", "/work/0123456789abcdef", std::string(300000, 'x')).status);
    LONGS_EQUAL(503, caller.call(entry, "POST", "/work/0123456789abcdef", R"({"spec":"s","steps":[{"count":1,"cpu":1}]})").status);
    LONGS_EQUAL(410, caller.call(entry, "GET", "/work/0123456789abcdef").status);
    LONGS_EQUAL(200, caller.call(entry, "GET", "/work/").status);
    CHECK(fleet.awaitService(Fleet::entries()));
}
