#include "Placement/BurstLoad.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace trefoilwing;

TEST_GROUP(CapacityAdmission)
{
    static BurstOutcome play(AdmissionRule rule, uint64_t seed)
    {
        BurstLoad load(rule, getenv("N") ? atoi(getenv("N")) : 39, seed);
        load.offerFor(absl::Seconds(2), 0.6);
        load.offerFor(absl::Seconds(4), getenv("L") ? atof(getenv("L")) : 2.2);
        load.offerFor(absl::Seconds(2), 0.6);
        const BurstOutcome o = load.finish();
        std::printf("\n%s seed %d offered %d in_time %d (%d %d %d) late %d at_once %d waited %d given_up %d with_room %d waits %d exp %d act %d err %d", rule == AdmissionRule::Capacity ? "capacity" : "average ", (int)seed, o.offered, o.inTime, o.inTimeByPriority.at(0), o.inTimeByPriority.at(1), o.inTimeByPriority.at(2), o.late, o.rejectedAtOnce, o.rejectedAfterWaiting, o.givenUp, o.rejectedWithRoom, (int)o.totals.waits, (int)o.totals.expectedWaitMs, (int)o.totals.actualWaitMs, (int)o.totals.waitErrorMs);
        for (auto& [r, n] : o.reasons) std::printf(" %s:%d", r.c_str(), n);
        return o;
    }
};

TEST(CapacityAdmission, Trial)
{
    for (uint64_t seed : { 1, 2, 3, 4, 5, 6 }) {
        play(AdmissionRule::AverageWait, seed);
        play(AdmissionRule::Capacity, seed);
    }
}
