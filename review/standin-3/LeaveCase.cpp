#include "Cases.h"
#include "Fleet.h"

#include <future>
#include <thread>

namespace review {

namespace {

    constexpr Millis drainTime { 2000 };
    /// Two runs that meet for less aren't counted: an order and an answer pass each other on loopback.
    constexpr Millis tolerance { 50 };

} // namespace

int playLeave(const CaseInput& input)
{
    const FleetPlan plan { { { "entry-1", "bole", 1 }, { "entry-2", "bole", 1 } }, { { "minion-1", "bole", 16000 }, { "minion-2", "bole", 16000 } } };
    Fleet fleet(input.program, input.folder, plan, input.record);
    if (!fleet.start())
        return couldNotRun;
    const Job job { fleet.newId(), "work 6000", 4000, 6000, 20000 };
    auto pending = std::async(std::launch::async, [&] { return fleet.submit("entry-1", job); });
    std::this_thread::sleep_for(Millis(500));
    Minion* leaving = nullptr;
    for (const auto& [id, minion] : fleet.minions()) {
        if (minion->hasRun(taskOf(job.id)))
            leaving = minion.get();
    }
    if (leaving && leaving->beginToLeave()) {
        std::this_thread::sleep_for(drainTime + Millis(200));
        leaving->leave(input.hasTrouble);
    }
    const Response answer = pending.get();
    input.record.write("job " + job.id + " answered " + std::to_string(answer.status) + " " + answer.body);
    if (!leaving || answer.status == 0)
        return couldNotRun;
    const Millis overlap = fleet.book().overlapOf(taskOf(job.id));
    input.record.write("two runs of " + taskOf(job.id) + " at the same time for " + std::to_string(overlap.count()) + " ms");
    return overlap > tolerance ? ruleBroken : ruleHeld;
}

} // namespace review
