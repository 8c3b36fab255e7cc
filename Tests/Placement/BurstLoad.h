#pragma once

#include "Placement/CellDispatcher.h"
#include "Support/SeededRandom.h"

#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// What became of the jobs of one run of BurstLoad.
struct BurstOutcome {
    int offered = 0;
    int inTime = 0;
    int late = 0;
    int rejectedAtOnce = 0;
    /// Rejected after more than 40 ms.
    int rejectedAfterWaiting = 0;
    int givenUp = 0;
    /// Rejected at arrival while all of the job's tasks could have started at once.
    int rejectedWithRoom = 0;
    std::map<uint32_t, int> inTimeByPriority;
    std::map<std::string, int> reasons;
    CellTotals totals;
};

/// Offers jobs of three routes to a CellDispatcher whose minions have 32 or 48 cores and run tasks of 16 cores, plus or
/// minus a fifth, at three speeds. Minions and time are simulated.
class BurstLoad {
public:
    BurstLoad(AdmissionRule, int minions, uint64_t seed);

    /// Offers jobs at a rate, as a multiple of the capacity, for some time.
    void offerFor(absl::Duration, double load);
    int offered() const { return outcome_.offered; }
    /// Lets the open jobs end.
    BurstOutcome finish();

private:
    struct FakeRun {
        absl::Time startedAt;
        absl::Time endsAt;
        int64_t milliCores = 0;
        RunEnd end = RunEnd::Done;
    };
    struct Minion {
        int64_t milliCores = 0;
        double speed = 1;
        int64_t free = 0;
        /// What was free before the last step: the owner learns of ended runs one step later.
        int64_t freeBefore = 0;
        std::map<RunId, FakeRun> runs;
        std::vector<EndedRun> ended;
        uint64_t lastEnd = 0;
        bool hasRenewal = false;
        absl::Time answerBy;
    };
    struct OpenJob {
        absl::Time at;
        absl::Time lateAt;
        uint32_t priority = 0;
        bool hadRoom = false;
        int64_t milliCores = 0;
    };

    void step();
    void collect();
    void advanceMinion(const std::string& id, Minion&);
    void receive(Minion&, const RenewOrder&);
    void removeRun(Minion&, const RunId&);
    void offer(size_t route);
    void ended(const JobResult&);
    /// @return whether the owner knows of room for all tasks on minions that end them before their caller leaves.
    bool hasRoomFor(int64_t milliCores, uint32_t tasks, absl::Duration runTime) const;
    int64_t clockMs() const { return absl::ToUnixMillis(now_); }

    absl::Time now_ = absl::FromUnixSeconds(1000);
    DispatchPolicy policy_;
    PriorityFirst order_;
    SeededRandom random_;
    /// Drawn from by the cell only, so that both rules are offered the same load.
    SeededRandom cellRandom_ { 1 };
    SeededRandom runRandom_ { 2 };
    CellDispatcher cell_;
    std::map<std::string, Minion> minions_;
    std::map<std::string, OpenJob> open_;
    std::vector<double> due_;
    uint64_t jobs_ = 0;
    double capacity_ = 0;
    BurstOutcome outcome_;
};

} // namespace trefoilwing
