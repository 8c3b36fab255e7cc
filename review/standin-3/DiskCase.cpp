#include "Cases.h"
#include "Fleet.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace review {

namespace {

    constexpr int changes = 18;
    constexpr Millis changeInterval { 800 };
    constexpr Millis lookInterval { 50 };
    /// config_apply_ms and max_stretch_ms: the time within which a change is in force, also while the core is unstable.
    constexpr Millis applyTime { 2000 };
    constexpr Millis maxStretch { 5000 };

} // namespace

int playDisk(const CaseInput& input)
{
    const FleetPlan plan { { { "entry-1", "bole", 1 }, { "entry-2", "merkato", 1 }, { "entry-3", "piassa", 1 } },
        { { "minion-1", "bole", 16000 }, { "minion-2", "merkato", 16000 }, { "minion-3", "piassa", 16000 } } };
    Fleet fleet(input.program, input.folder, plan, input.record);
    if (!fleet.start())
        return couldNotRun;
    if (input.hasTrouble && !fleet.refuseWrites("keeper-3", true))
        return couldNotRun;
    const Clock::time_point begin = Clock::now();
    std::vector<Clock::time_point> acknowledged;
    Millis worst { 0 };
    /// For each entry, the number of changes that it was seen to know.
    std::vector<size_t> known(plan.entries.size(), 0);
    std::vector<bool> isLate(plan.entries.size(), false);
    for (int change = 0; change < changes || Clock::now() < begin + changes * changeInterval;) {
        if (change < changes && Clock::now() >= begin + change * changeInterval) {
            ++change;
            // Only keepers whose disks take writes are asked for changes, so that each gets its answer at once.
            const Response response = fleet.callKeeper(static_cast<size_t>(change % 2), { "PUT", "/config", {}, fleet.configuration(1 + change, change) });
            input.record.write("change to version " + std::to_string(1 + change) + " answered " + std::to_string(response.status));
            if (response.status != 200)
                return couldNotRun;
            acknowledged.push_back(Clock::now());
        }
        for (size_t i = 0; i < plan.entries.size(); ++i) {
            const std::string& entry = plan.entries[i].name;
            const Clock::time_point sent = Clock::now();
            if (known[i] >= acknowledged.size() || sent <= acknowledged[known[i]] + applyTime + maxStretch)
                continue;
            const Response response = fleet.ask(entry, "GET", "/added-" + std::to_string(known[i] + 1) + "/");
            if (response.status != 404) {
                ++known[i];
                continue;
            }
            const auto age = std::chrono::duration_cast<Millis>(sent - acknowledged[known[i]]);
            worst = std::max(worst, age);
            if (!isLate[i])
                input.record.write("CONFIG: " + entry + " answers 404 for the route that version " + std::to_string(known[i] + 2) + " added, " + std::to_string(age.count()) + " ms after its acknowledgement");
            isLate[i] = true;
        }
        std::this_thread::sleep_for(lookInterval);
    }
    if (input.hasTrouble)
        fleet.refuseWrites("keeper-3", false);
    input.record.write("the oldest change that an entry missed had been acknowledged " + std::to_string(worst.count()) + " ms before");
    return worst > Millis(0) ? ruleBroken : ruleHeld;
}

} // namespace review
