#include "Cases.h"
#include "Fleet.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace review {

namespace {

    constexpr Millis resendDelay { 1300 };
    constexpr Millis setupPause { 300 };
    constexpr Millis lateBy { 3000 };
    /// When room comes free at the minion for the job whose entry was killed.
    constexpr Millis roomAfterKill { 600 };
    /// When room comes free in the other zone.
    constexpr Millis otherRoomAfterKill { 1000 };

} // namespace

int playLease(const CaseInput& input)
{
    const FleetPlan plan { { { "owner-a", "bole", 1 }, { "entry-a", "bole", 0.1 }, { "owner-b", "merkato", 1 } }, { { "minion-a", "bole", 16000 }, { "minion-b", "merkato", 16000 } } };
    Fleet fleet(input.program, input.folder, plan, input.record);
    if (!fleet.start())
        return couldNotRun;
    std::atomic<bool> isDone { false };
    // Short jobs of other clients keep the owner's minion and its load reports moving.
    std::thread others([&] {
        while (!isDone) {
            fleet.submit("owner-a", { fleet.newId(), "work 20", 200, 20, 1500 });
            std::this_thread::sleep_for(Millis(10));
        }
    });
    const auto hold = [&](const std::string& entry, const std::string& name, int64_t cpu, int64_t estimate) {
        return std::async(std::launch::async, [&fleet, entry, name, cpu, estimate] { return fleet.submit(entry, { fleet.newId(), "until " + name, cpu, estimate, 20000 }); });
    };
    // A job that keeps the other zone full for a while, one that goes on all the while, and one that makes room soon. They
    // are handed in one after the other, so that each goes to its own zone.
    auto roomB = hold("owner-b", "room-b", 15000, 20000);
    std::this_thread::sleep_for(setupPause);
    auto background = hold("owner-a", "the end", 4000, 10000);
    std::this_thread::sleep_for(setupPause);
    auto roomA = hold("owner-a", "room-a", 10000, 300);
    std::this_thread::sleep_for(setupPause);
    const Job job { fleet.newId(), "work 4000", 8000, 4000, 20000 };
    input.record.write("job " + job.id + " is handed in at entry-a");
    auto first = std::async(std::launch::async, [&] { return fleet.submit("entry-a", job); });
    std::this_thread::sleep_for(Millis(550));
    const bool isReady = !fleet.book().isRunning(taskOf(job.id)) && first.wait_for(Millis(0)) != std::future_status::ready;
    Response answer;
    if (isReady && input.hasTrouble) {
        fleet.kill("entry-a");
        const Clock::time_point killedAt = Clock::now();
        first.wait();
        input.record.write("the channel of job " + job.id + " broke");
        fleet.minion("minion-a").carryOutStopsLate(lateBy);
        std::this_thread::sleep_until(killedAt + roomAfterKill);
        fleet.minion("minion-a").release("room-a");
        std::this_thread::sleep_until(killedAt + otherRoomAfterKill);
        fleet.minion("minion-b").release("room-b");
        std::this_thread::sleep_until(killedAt + resendDelay);
        input.record.write("job " + job.id + " is sent again, to owner-b");
        answer = fleet.submit("owner-b", job);
    } else {
        std::this_thread::sleep_for(roomAfterKill);
        fleet.minion("minion-a").release("room-a");
        fleet.minion("minion-b").release("room-b");
        answer = first.get();
    }
    input.record.write("job " + job.id + " answered " + std::to_string(answer.status) + " " + answer.body);
    isDone = true;
    others.join();
    fleet.minion("minion-a").release("the end");
    fleet.minion("minion-a").release("room-a");
    fleet.minion("minion-b").release("room-b");
    background.get();
    roomA.get();
    roomB.get();
    if (!isReady)
        return couldNotRun;
    const Millis overlap = fleet.book().overlapOf(taskOf(job.id));
    input.record.write("two runs of " + taskOf(job.id) + " at the same time for " + std::to_string(overlap.count()) + " ms");
    return overlap > Millis(0) ? ruleBroken : ruleHeld;
}

} // namespace review
