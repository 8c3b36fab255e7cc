#pragma once

#include "Model/Runs.h"
#include "Placement/CellJob.h"
#include "Placement/MinionHealth.h"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace trefoilwing {

enum class RunState {
    /// The start is under way.
    Starting,
    Running,
    /// The start got no answer; a stop must make sure that it never happens.
    Doubtful,
    /// A stop is under way, or was answered.
    Stopping,
};

/// One run as its owner sees it.
struct Run {
    RunId id;
    /// Null where nobody waits for the run any more, or an earlier owner started it.
    CellJobPtr job;
    ResourceVector need;
    RunState state = RunState::Starting;
    absl::Time startedAt;
    /// When the minion was last known to have it; infinite past before the start was answered.
    absl::Time confirmedAt = absl::InfinitePast();
    /// When the minion last listed it among its runs.
    absl::Time listedAt = absl::InfinitePast();
    uint32_t progress = 0;
    absl::Time progressAt;
    /// After this it has surely ended; set once a stop was answered.
    absl::Time goneAt = absl::InfiniteFuture();
    absl::Time stopSentAt = absl::InfinitePast();
    /// An earlier owner started it; its job may be offered again.
    bool isForeign = false;
};

/// A minion under this owner's leases.
class LeasedMinion {
public:
    LeasedMinion(MinionReport, const DispatchPolicy&);

    const MinionReport& report() const { return report_; }
    void setReport(MinionReport report) { report_ = std::move(report); }
    const MinionInstance& instance() const { return report_.instance; }

    /// Notes the minion's clock as told by an answer.
    void noteClock(int64_t clockMs, absl::Time now);
    bool knowsClock() const { return clockMs_ > 0; }
    /// @return the end of a lease that begins now, on the minion's clock; notes how long it may last.
    int64_t extendLease(absl::Time now);
    /// All leases given have surely ended by then.
    absl::Time leaseOverAt() const { return leaseOverAt_; }

    /// Whether new runs may be placed here.
    bool isUsable(absl::Time now) const;
    /// What is free for new runs.
    const ResourceVector& free() const { return free_; }

    Run& addRun(Run);
    Run* findRun(const RunId&);
    /// Forgets a run and frees its room.
    void removeRun(const RunId&);
    absl::flat_hash_map<RunId, Run>& runs() { return runs_; }
    const absl::flat_hash_map<RunId, Run>& runs() const { return runs_; }

    /// Learns from a run that ended well.
    void noteRunTime(absl::Duration estimate, absl::Duration taken);
    /// @return the run time to expect of a task here.
    absl::Duration expectedTime(absl::Duration estimate) const { return estimate * slowness_; }
    /// @return the run times here over the callers' estimates.
    double slowness() const { return slowness_; }
    /// @return how many of its runs are expected to end each second.
    double completionsPerSecond() const;
    /// @return when the first of its runs is expected to end; now if nothing runs.
    absl::Time nextEndExpected(absl::Time now) const;

    MinionHealth health;
    /// Whether a look under this owner's epoch was answered, so that earlier owners are fenced.
    bool isFenced = false;
    /// A rejected start showed that less is free than known; cleared by the next answered look.
    bool isFull = false;
    uint64_t lastEndNumber = 0;
    uint64_t acknowledgedEnd = 0;
    absl::Time endSeenAt = absl::InfinitePast();
    std::optional<absl::Time> holdSentAt;
    uint64_t holdSentEnd = 0;
    absl::Time lastHoldAt = absl::InfinitePast();

private:
    MinionReport report_;
    const DispatchPolicy& policy_;
    ResourceVector free_;
    absl::flat_hash_map<RunId, Run> runs_;
    int64_t clockMs_ = 0;
    absl::Time clockAt_;
    absl::Time leaseOverAt_ = absl::InfinitePast();
    /// The run times here over the estimates, as a moving average.
    double slowness_ = 1;
    uint64_t runTimesNoted_ = 0;
    /// Run times in a row that were far longer than expected, or far shorter if below 0.
    int surprises_ = 0;
};

} // namespace trefoilwing
