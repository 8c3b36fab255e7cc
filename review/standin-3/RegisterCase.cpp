#include "Cases.h"
#include "Fleet.h"

#include <array>
#include <future>
#include <thread>

namespace review {

namespace {

    constexpr Millis pollInterval { 5 };
    constexpr Millis timeout { 5000 };
    /// How long keepers are away. The users' pages allow up to a second.
    constexpr Millis leaderlessTime { 800 };
    constexpr Millis restartTime { 150 };

    bool awaitReport(const Minion& minion, size_t count)
    {
        const Clock::time_point deadline = Clock::now() + timeout;
        while (minion.acknowledgedReports() < count && Clock::now() < deadline)
            std::this_thread::sleep_for(pollInterval);
        return minion.acknowledgedReports() >= count;
    }

} // namespace

int playRegister(const CaseInput& input)
{
    const FleetPlan plan { { { "entry-1", "bole", 1 }, { "entry-2", "piassa", 1 } }, { { "minion-1", "bole", 4000 }, { "minion-2", "piassa", 32000 } } };
    Fleet fleet(input.program, input.folder, plan, input.record);
    if (!fleet.start())
        return couldNotRun;
    // With two of the three keepers away, the third takes the minion's first report without a leader.
    const std::array<const char*, 2> others { "keeper-1", "keeper-2" };
    if (input.hasTrouble) {
        for (const char* keeper : others)
            fleet.kill(keeper);
    }
    const Clock::time_point away = Clock::now();
    Minion& minion = fleet.addMinion({ "minion-3", "piassa", 16000 }, "keeper-3");
    const bool isRegistered = awaitReport(minion, 1);
    input.record.write("minion-3 reports to keeper-3 for the first time, acknowledged: " + std::string(isRegistered ? "yes" : "no"));
    std::this_thread::sleep_until(away + leaderlessTime);
    if (input.hasTrouble) {
        for (const char* keeper : others)
            fleet.restart(keeper);
    }
    std::this_thread::sleep_for(Millis(6000));
    // The minion of the other zone is too small for the jobs. The filler takes the zone's larger minion for a while, so that the jobs run on the new one.
    auto filler = std::async(std::launch::async, [&] { return fleet.submit("entry-2", { fleet.newId(), "until released", 32000, 3000, 20000 }); });
    std::this_thread::sleep_for(Millis(300));
    std::array<Job, 2> jobs { Job { fleet.newId(), "work 5000", 8000, 5000, 30000 }, Job { fleet.newId(), "work 5000", 8000, 5000, 30000 } };
    std::array<std::future<Response>, 2> answers;
    for (size_t i = 0; i < jobs.size(); ++i)
        answers.at(i) = std::async(std::launch::async, [&fleet, job = jobs.at(i)] { return fleet.submit("entry-2", job); });
    std::this_thread::sleep_for(Millis(700));
    fleet.minion("minion-2").release("released");
    bool isReady = isRegistered;
    for (const Job& job : jobs)
        isReady = isReady && minion.hasRun(taskOf(job.id));
    isReady = isReady && awaitReport(minion, minion.acknowledgedReports() + 1);
    if (isReady && input.hasTrouble) {
        fleet.kill("keeper-3");
        std::this_thread::sleep_for(restartTime);
        fleet.restart("keeper-3");
        std::this_thread::sleep_for(restartTime);
    }
    if (isReady)
        fleet.terminate("entry-2");
    Millis overlap { 0 };
    for (size_t i = 0; i < jobs.size(); ++i) {
        const Response answer = answers.at(i).get();
        input.record.write("job " + jobs.at(i).id + " answered " + std::to_string(answer.status) + " " + answer.body);
        const Millis each = fleet.book().overlapOf(taskOf(jobs.at(i).id));
        input.record.write("two runs of " + taskOf(jobs.at(i).id) + " at the same time for " + std::to_string(each.count()) + " ms");
        overlap = std::max(overlap, each);
    }
    filler.get();
    if (!isReady)
        return couldNotRun;
    return overlap > Millis(0) ? ruleBroken : ruleHeld;
}

} // namespace review
