#include "Cases.h"
#include "Fleet.h"

#include <future>
#include <thread>

namespace review {

namespace {

    constexpr Millis cancelTime { 3000 };
    constexpr Millis stopTimeout { 50 };

} // namespace

int playCancel(const CaseInput& input)
{
    const FleetPlan plan { { { "entry-1", "bole", 1 }, { "entry-2", "bole", 1 } }, { { "minion-1", "bole", 16000 } } };
    Fleet fleet(input.program, input.folder, plan, input.record);
    if (!fleet.start())
        return couldNotRun;
    // The first job takes the whole minion for 8 s, and the second waits for it.
    const Job running { fleet.newId(), "work 8000", 16000, 8000, 30000 };
    const Job waiting { fleet.newId(), "work 2000", 16000, 8000, 30000 };
    auto runningAnswer = std::async(std::launch::async, [&] { return fleet.submit("entry-1", running); });
    std::this_thread::sleep_for(Millis(500));
    auto waitingAnswer = std::async(std::launch::async, [&] { return fleet.submit("entry-1", waiting); });
    std::this_thread::sleep_for(Millis(500));
    const bool isReady = fleet.book().isRunning(taskOf(running.id)) && !fleet.book().isRunning(taskOf(waiting.id)) && waitingAnswer.wait_for(Millis(0)) != std::future_status::ready;
    bool isBroken = false;
    if (isReady && input.hasTrouble) {
        for (const Job& job : { running, waiting }) {
            const Response response = fleet.ask("entry-1", "DELETE", "/work/" + job.id);
            input.record.write("DELETE of job " + job.id + " answered " + std::to_string(response.status) + " " + response.body);
            if (response.status != 410 && (response.status < 200 || response.status > 299))
                return couldNotRun;
        }
        const Clock::time_point acknowledged = Clock::now();
        std::this_thread::sleep_until(acknowledged + cancelTime + stopTimeout + Millis(100));
        if (fleet.book().isRunning(taskOf(running.id))) {
            input.record.write("UNASKED: the task of job " + running.id + " runs on 3,150 ms after its cancelling was acknowledged");
            isBroken = true;
        }
        const Response answer = waitingAnswer.get();
        input.record.write("job " + waiting.id + " answered " + std::to_string(answer.status) + " " + answer.body);
        for (const RunTimes& run : fleet.book().runsOf(taskOf(waiting.id))) {
            const auto late = std::chrono::duration_cast<Millis>(run.from - acknowledged);
            if (late <= cancelTime)
                continue;
            input.record.write("UNASKED: the task of job " + waiting.id + " started " + std::to_string(late.count()) + " ms after its cancelling was acknowledged");
            isBroken = true;
        }
    }
    const Response answer = runningAnswer.get();
    input.record.write("job " + running.id + " answered " + std::to_string(answer.status) + " " + answer.body);
    if (!isReady || (!input.hasTrouble && answer.status != 200))
        return couldNotRun;
    return isBroken ? ruleBroken : ruleHeld;
}

} // namespace review
