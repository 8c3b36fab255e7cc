#include "Fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {

namespace {

    /// The exit statuses of a case.
    enum Outcome {
        Held = 0,
        Broken = 1,
        NotRun = 2,
    };

    struct Stage {
        Record& record;
        TaskWatch& watch;
        Fleet& fleet;
        bool hasTrouble;
    };

    std::string jobId(unsigned number)
    {
        const std::string digits = std::to_string(number);
        return "5c0e7a21" + std::string(8 - digits.size(), '0') + digits;
    }

    Outcome judgeTwice(const Stage& stage)
    {
        const size_t duplicates = stage.watch.duplicates();
        stage.record.write("starts of a task while another run of it was in progress: " + std::to_string(duplicates));
        return duplicates > 0 ? Broken : Held;
    }

    /// An entry freezes while callers send it jobs. They get no answer in time, leave, and send the same jobs to an entry
    /// of the other zone; then the frozen entry wakes.
    Outcome frozenEntry(const Stage& stage)
    {
        constexpr unsigned jobs = 24;
        constexpr int taskMs = 1200;
        constexpr Milliseconds callerWait { 2000 };
        constexpr Milliseconds resendDelay { 1300 };
        constexpr Milliseconds freeze { 4000 };
        constexpr Milliseconds betweenJobs { 20 };
        const std::string frozen = stage.fleet.ownerOf("bole") == "entry-1" ? "entry-2" : "entry-1";
        stage.record.write("the cell of bole is owned by " + stage.fleet.ownerOf("bole") + ", that of merkato by " + stage.fleet.ownerOf("merkato"));
        if (stage.hasTrouble)
            stage.fleet.signal(frozen, SIGSTOP);
        const Clock::time_point wakeAt = Clock::now() + freeze;
        std::vector<std::thread> callers;
        for (unsigned i = 1; i <= jobs; ++i) {
            callers.emplace_back([&, i] {
                const std::string id = jobId(i);
                const int status = stage.fleet.submit(frozen, id, 1, taskMs, callerWait);
                if (status != 0 && status != 502 && status != 504)
                    return;
                std::this_thread::sleep_for(resendDelay);
                stage.fleet.submit("entry-3", id, 1, taskMs, callerWait);
            });
            std::this_thread::sleep_for(betweenJobs);
        }
        std::this_thread::sleep_until(wakeAt);
        if (stage.hasTrouble)
            stage.fleet.signal(frozen, SIGCONT);
        for (std::thread& caller : callers)
            caller.join();
        return judgeTwice(stage);
    }

    /// A minion drains and leaves, but its last call is held up on the way. It starts again under its id and gets work;
    /// then the call of its earlier life arrives.
    Outcome lateLeave(const Stage& stage)
    {
        constexpr unsigned jobs = 8;
        constexpr int taskMs = 1200;
        constexpr Milliseconds callerWait { 4000 };
        constexpr Milliseconds drainTime { 2500 };
        constexpr Milliseconds heldUp { 5000 };
        std::unique_ptr<Minion>& minion = stage.fleet.minions().front();
        const MinionSettings settings = minion->settings();
        minion->drain();
        for (int i = 0; i < 40 && !minion->isAcknowledged(); ++i)
            std::this_thread::sleep_for(Milliseconds(50));
        stage.record.write("minion " + settings.id + " has an acknowledgement that it drains");
        std::this_thread::sleep_for(drainTime);
        const Request leave { "DELETE", "/instances/" + settings.id, {}, {} };
        if (stage.hasTrouble)
            stage.record.write("minion " + settings.id + " sends DELETE to keeper-1; the bytes are held up");
        else
            stage.record.write("minion " + settings.id + " sends DELETE to keeper-1: " + std::to_string(call(stage.fleet.control("keeper-1"), leave, Milliseconds(1000)).value_or(Response {}).status));
        const Clock::time_point arrivesAt = Clock::now() + heldUp;
        // Without an acknowledgement it ends anyway, some seconds later.
        std::this_thread::sleep_for(Milliseconds(2000));
        minion->end();
        stage.record.write("minion " + settings.id + " has ended");
        minion = std::make_unique<Minion>(settings, stage.watch);
        stage.record.write("minion " + settings.id + " starts again under its id");
        std::this_thread::sleep_until(arrivesAt - Milliseconds(300));
        std::vector<std::thread> callers;
        for (unsigned i = 1; i <= jobs; ++i)
            callers.emplace_back([&, i] { stage.fleet.submit("entry-1", jobId(i), 1, taskMs, callerWait); });
        std::this_thread::sleep_until(arrivesAt);
        stage.record.write("the new life of " + settings.id + " has begun " + std::to_string(minion->startCount()) + " runs");
        if (stage.hasTrouble) {
            sendOnly(stage.fleet.control("keeper-1"), leave);
            stage.record.write("the DELETE of the earlier life arrives at keeper-1");
        }
        for (std::thread& caller : callers)
            caller.join();
        return judgeTwice(stage);
    }

    /// A caller cancels its job while it runs, and gets an acknowledgement.
    Outcome cancelledJob(const Stage& stage)
    {
        constexpr int taskMs = 6000;
        constexpr int tasks = 4;
        constexpr Milliseconds callerWait { 12000 };
        constexpr Milliseconds cancelTime { 3000 };
        constexpr Milliseconds stopTime { 50 };
        const std::string id = jobId(1);
        std::thread caller([&] { stage.fleet.submit("entry-1", id, tasks, taskMs, callerWait); });
        std::this_thread::sleep_for(Milliseconds(500));
        Outcome outcome = Held;
        if (stage.hasTrouble) {
            const auto response = call(stage.fleet.callers("entry-1"), { "DELETE", Fleet::jobPath(id), { { "Host", Fleet::host() } }, {} }, Milliseconds(1000));
            const int status = response.value_or(Response {}).status;
            stage.record.write("DELETE of job " + id + " at entry-1: " + std::to_string(status));
            const bool isAcknowledged = status / 100 == 2 || status == 410;
            std::this_thread::sleep_for(cancelTime + stopTime);
            const size_t running = stage.watch.runningOf(id);
            stage.record.write("tasks of the job that run " + std::to_string((cancelTime + stopTime).count()) + " ms later: " + std::to_string(running));
            outcome = isAcknowledged && running > 0 ? Broken : Held;
        }
        caller.join();
        return outcome;
    }

    /// A keeper is gone for good, and a new machine takes its place. When the new one has had its time to catch up, a
    /// second keeper loses its disk and starts again.
    Outcome secondLoss(const Stage& stage)
    {
        constexpr int version = 8;
        constexpr Milliseconds replacementDelay { 1000 };
        constexpr Milliseconds catchUp { 4000 };
        constexpr Milliseconds afterCatchUp { 300 };
        constexpr Milliseconds downTime { 1000 };
        constexpr Milliseconds recovery { 12000 };
        constexpr Milliseconds readBack { 30000 };
        constexpr Milliseconds betweenReads { 1000 };
        const std::string first = stage.fleet.leader();
        const std::string second = first == "keeper-2" ? "keeper-3" : "keeper-2";
        const std::string third = first == "keeper-1" ? "keeper-3" : "keeper-1";
        stage.record.write("the leader is " + first);
        if (stage.fleet.publish(second, version) != 200)
            return NotRun;
        if (stage.hasTrouble) {
            stage.fleet.kill(first, false);
            std::this_thread::sleep_for(replacementDelay);
            stage.fleet.addKeeper("keeper-4", stage.fleet.node(first).zone);
            std::this_thread::sleep_for(catchUp + afterCatchUp);
            stage.fleet.readVersion(third);
            stage.fleet.kill(second, true);
            std::this_thread::sleep_for(downTime);
            stage.fleet.restart(second);
        }
        std::this_thread::sleep_for(recovery);
        const std::vector<std::string> keepers = stage.hasTrouble ? std::vector<std::string> { third, "keeper-4", second } : std::vector<std::string> { third, first, second };
        const Clock::time_point end = Clock::now() + readBack;
        while (Clock::now() < end) {
            for (const std::string& keeper : keepers) {
                if (stage.fleet.readVersion(keeper) == version)
                    return Held;
            }
            std::this_thread::sleep_for(betweenReads);
        }
        stage.fleet.publish(third, version + 1);
        return Broken;
    }

    /// The entry that owns a zone's minions is killed twice within a second, and starts again each time. The callers whose
    /// channels broke send their jobs to an entry of the other zone.
    Outcome killedEntry(const Stage& stage)
    {
        constexpr unsigned jobs = 12;
        constexpr unsigned shortJobs = 4;
        constexpr int taskMs = 3000;
        constexpr int shortTaskMs = 40;
        constexpr Milliseconds callerWait { 6000 };
        constexpr Milliseconds resendDelay { 1300 };
        constexpr Milliseconds untilKill { 600 };
        constexpr Milliseconds restartDelay { 500 };
        constexpr Milliseconds betweenKills { 950 };
        const std::string killed = stage.fleet.ownerOf("bole");
        stage.record.write("the cell of bole is owned by " + killed + ", that of merkato by " + stage.fleet.ownerOf("merkato"));
        const Clock::time_point killAt = Clock::now() + untilKill;
        std::vector<std::thread> callers;
        for (unsigned i = 1; i <= jobs; ++i) {
            callers.emplace_back([&, i] {
                const std::string id = jobId(i);
                const int status = stage.fleet.submit(killed, id, 1, taskMs, callerWait);
                if (status != 0 && status != 502 && status != 504)
                    return;
                std::this_thread::sleep_for(resendDelay);
                stage.fleet.submit("entry-3", id, 1, taskMs, callerWait);
            });
        }
        for (unsigned i = 1; i <= shortJobs; ++i) {
            callers.emplace_back([&, i] {
                for (unsigned j = 0; Clock::now() < killAt; ++j)
                    stage.fleet.submit(killed, jobId(1000 * i + j), 1, shortTaskMs, callerWait);
            });
        }
        std::this_thread::sleep_until(killAt);
        if (stage.hasTrouble) {
            for (int kills = 0; kills < 2; ++kills) {
                std::this_thread::sleep_until(killAt + kills * betweenKills);
                stage.fleet.kill(killed, false);
                std::this_thread::sleep_for(restartDelay);
                stage.fleet.restart(killed);
            }
        }
        for (std::thread& caller : callers)
            caller.join();
        return judgeTwice(stage);
    }

    struct CaseRow {
        const char* name;
        Outcome (*play)(const Stage&);
        size_t minionsPerZone;
    };

    constexpr std::array<CaseRow, 5> caseRows { {
        { "frozen-entry", frozenEntry, 6 },
        { "late-leave", lateLeave, 3 },
        { "cancelled-job", cancelledJob, 2 },
        { "second-loss", secondLoss, 2 },
        { "killed-entry", killedEntry, 5 },
    } };

    /// usage: review-case NAME RECORD FOLDER
    int run(const std::vector<std::string>& arguments)
    {
        const auto* row = std::find_if(caseRows.begin(), caseRows.end(), [&](const CaseRow& each) { return arguments.size() == 3 && arguments[0] == each.name; });
        if (row == caseRows.end()) {
            std::cerr << "usage: review-case NAME RECORD FOLDER\n";
            return NotRun;
        }
        const char* trouble = std::getenv("TROUBLE");
        Record record(arguments[1]);
        TaskWatch watch(record);
        Fleet fleet(arguments[2], record, watch);
        if (!fleet.start(row->minionsPerZone)) {
            record.write("the fleet did not start");
            return NotRun;
        }
        const Outcome outcome = row->play({ record, watch, fleet, !trouble || std::string(trouble) != "0" });
        record.write(outcome == Broken ? "the rule was broken" : "the rule held");
        return outcome;
    }

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    return review::run({ argv + 1, argv + argc });
}
