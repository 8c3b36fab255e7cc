#include "Placement/MinionChooser.h"
#include "Support/SeededRandom.h"

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Two kinds of tasks share minions. Run times vary by a fifth in either direction.
TEST_GROUP(Interference)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    const absl::Duration expected = absl::Milliseconds(100);
    DispatchPolicy policy;
    LearnedInterference model;
    SeededRandom random { 7 };
    MinionTable minions;
    uint64_t runs = 0;

    void setup() override
    {
        policy.avoidsInterference = true;
        for (const char* id : { "m1", "m2", "m3", "m4" })
            addMinion(id);
    }

    LeasedMinion& addMinion(const std::string& id)
    {
        const PoolId pool { ServiceId("service"), DataCentreId("centre") };
        auto minion = std::make_unique<LeasedMinion>(MinionReport { { MinionId(id), MinionStartTime(1) }, 1, pool, { id, 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving }, policy);
        minion->isFenced = true;
        return *(minions[MinionId(id)] = std::move(minion));
    }

    LeasedMinion& minion(const std::string& id)
    {
        return *minions.at(MinionId(id));
    }

    CellJobPtr job(const std::string& route)
    {
        JobOffer offer;
        offer.job = JobKey("job-" + std::to_string(++runs));
        offer.route = RouteName(route);
        offer.taskCount = 1;
        offer.need = { 7000, 64, 0 };
        offer.estimate = expected;
        offer.untilLate = absl::Seconds(5);
        offer.untilTimeout = absl::Seconds(9);
        CellJobPtr made(new CellJob(offer, DaemonId("entry"), now, 0.3));
        made->claimedAt = now;
        return made;
    }

    /// Starts a run that stays on the minion.
    RunId start(LeasedMinion & onMinion, const std::string& route)
    {
        Run run;
        run.job = job(route);
        run.id = { run.job->offer().job, TaskIndex(0), RunNumber(runs) };
        run.need = { 7000, 64, 0 };
        run.startedAt = now;
        onMinion.recordCompany(now);
        return onMinion.addRun(run).id;
    }

    void end(LeasedMinion & onMinion, const RunId& id)
    {
        const Run& run = *onMinion.findRun(id);
        onMinion.recordCompany(now);
        model.runEnded(onMinion, run, expected, now - run.startedAt, now);
        onMinion.removeRun(id);
    }

    /// Runs tasks of a route, one after the other, on the first minions.
    /// @param beside the route of a run that shares the minion; empty for none.
    /// @param factor by which run times are longer than expected.
    void runTasks(const std::string& route, const std::string& beside, double factor, size_t count, size_t onMinions = 3)
    {
        static constexpr std::array<const char*, 3> ids { "m1", "m2", "m3" };
        for (size_t i = 0; i < count; ++i) {
            LeasedMinion& used = minion(ids.at(i % onMinions));
            const RunId company = beside.empty() ? RunId() : start(used, beside);
            const RunId measured = start(used, route);
            now += expected * factor * (0.8 + 0.4 * random.unit());
            end(used, measured);
            if (!beside.empty())
                used.removeRun(company);
        }
    }

    double slowdown(const std::string& route, const std::string& beside)
    {
        LeasedMinion& used = addMinion("probe");
        start(used, beside);
        const double found = model.slowdown(*job(route), used);
        minions.erase(MinionId("probe"));
        return found;
    }

    std::string choose(const std::string& route)
    {
        const MinionChooser chooser(policy, model);
        const LeasedMinion* chosen = chooser.choose(minions, *job(route), CellTask {}, now);
        return chosen ? chosen->instance().minion.value() : "none";
    }
};

// Guards against tasks that are placed beside others that slow them down although another minion has room.
TEST(Interference, TasksThatSlowEachOtherDownAreKeptApart)
{
    runTasks("scan", "", 1, 60);
    runTasks("scan", "lookup", 1.5, 60);
    CHECK(slowdown("scan", "lookup") > 0.3);
    start(minion("m1"), "lookup");
    start(minion("m2"), "lookup");
    start(minion("m4"), "lookup");
    STRCMP_EQUAL("m3", choose("scan").c_str());
    CHECK_EQUAL(1U, model.pairs().size());
}

// Guards against a cost where nothing interferes: it would take fast minions from the tasks that need them.
TEST(Interference, NoiseIsNotTakenForInterference)
{
    for (int round = 0; round < 10; ++round) {
        runTasks("scan", "", 1, 30);
        runTasks("scan", "lookup", 1, 30);
        CHECK_EQUAL(0U, model.pairs().size());
    }
}

// Guards against taking the fault of one minion for that of a pair of kinds.
TEST(Interference, OneSlowMinionIsNotTakenForInterference)
{
    runTasks("scan", "", 1, 60);
    runTasks("scan", "lookup", 2, 60, 1);
    CHECK_EQUAL(0U, model.pairs().size());
}

// Guards against tasks that wait because of interference.
TEST(Interference, TaskStartsBesideAnInterferingOneIfNoOtherMinionHasRoom)
{
    runTasks("scan", "", 1, 60);
    runTasks("scan", "lookup", 1.8, 60);
    for (const char* id : { "m1", "m2", "m3", "m4" })
        start(minion(id), "lookup");
    CHECK(choose("scan") != "none");
}

// Guards against knowledge that outlives a change of the tasks' behaviour.
TEST(Interference, KnowledgeFadesWhenTheBehaviourChanges)
{
    runTasks("scan", "", 1, 60);
    runTasks("scan", "lookup", 1.5, 60);
    CHECK(!model.pairs().empty());
    now += absl::Minutes(10);
    runTasks("scan", "", 1, 60);
    runTasks("scan", "lookup", 1, 60);
    CHECK(model.pairs().empty());
}

// Guards against memory that grows with the number of routes.
TEST(Interference, FurtherKindsAreNotRecorded)
{
    for (int route = 0; route < 200; ++route)
        runTasks("route-" + std::to_string(route), "lookup", 2, 1);
    CHECK_EQUAL(0.0, slowdown("route-199", "lookup"));
}
