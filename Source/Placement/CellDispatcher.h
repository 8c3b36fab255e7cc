#pragma once

#include "Model/FleetMessages.h"
#include "Placement/DispatchPolicy.h"
#include "Placement/JobOrder.h"
#include "Placement/MinionChooser.h"
#include "Ports/Random.h"

#include <absl/container/flat_hash_map.h>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoilwing {

/// A message for the entry that offered a job.
struct EntryMessage {
    DaemonId entry;
    JobResult ended;
};

/// A decision about a run or a minion, for the log.
struct CellEvent {
    std::string name;
    /// The job concerned and the request that brought it; empty where none is.
    JobKey job;
    std::string requestId;
    MinionId minion;
    std::string detail;
};

/// What a CellDispatcher wants done.
struct CellOutbox {
    std::vector<std::variant<StartOrder, StopOrder, RenewOrder>> orders;
    std::vector<EntryMessage> messages;
    std::vector<CellEvent> events;
};

/// Totals of one owner, for metrics.
struct CellTotals {
    uint64_t starts = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t lapsed = 0;
    uint64_t rejectedForRoom = 0;
    uint64_t holds = 0;
    uint64_t turnedDown = 0;
};

/// Decides for one cell, as its owner: which job's task starts on which minion and when, which runs are
/// stopped, and what becomes of each job.
///
/// It is driven by messages, answers and the time, and leaves what is to be done in an outbox.
class CellDispatcher {
public:
    CellDispatcher(const CellGrant&, const DispatchPolicy&, const JobOrder&, Random&, absl::Time now);
    ~CellDispatcher();
    CellDispatcher(const CellDispatcher&) = delete;
    CellDispatcher& operator=(const CellDispatcher&) = delete;

    /// Whether all minions of the cell have been reported. Until then a run of an earlier owner may go on unseen.
    void minionsKnown(bool areAllKnown) { areMinionsKnown_ = areAllKnown; }
    void minionReported(const MinionReport&, absl::Time now);
    void minionLeft(const MinionInstance&, absl::Time now);

    void offered(const JobOffer&, const DaemonId& entry, absl::Time now);
    void cancelled(const JobCancel&, const DaemonId& entry, absl::Time now);
    /// The entry gave a sign of life.
    void entryHeard(const DaemonRun& entry, absl::Time now);

    void answered(const StartResult&, absl::Time now);
    void answered(const StopResult&, absl::Time now);
    void answered(const RenewResult&, absl::Time now);

    /// Does what is due.
    void tick(absl::Time now);

    CellOutbox takeOutbox() { return std::exchange(outbox_, {}); }

    CellLoad load(absl::Time now) const;
    const CellTotals& totals() const { return totals_; }
    size_t minionCount() const { return minions_.size(); }
    size_t jobCount() const { return jobs_.size(); }
    /// Whether nothing runs or waits, and all ends are acknowledged.
    bool isIdle() const;
    OwnerEpoch epoch() const { return grant_.epoch; }
    /// Whether a minion named a higher epoch: another owner has taken the cell over.
    bool isSuperseded() const { return isSuperseded_; }

private:
    /// A start that may go on in a life of its minion that this owner doesn't know yet.
    struct StrayStart {
        CellJobPtr job;
        TaskIndex task;
        /// Its lease is over by then.
        absl::Time overAt;
    };

    using JobList = boost::intrusive::list<CellJob>;

    // Jobs.
    CellJob* findJob(const JobKey&) const;
    void adoptRuns(CellJob&, absl::Time now);
    void finish(CellJob&, JobEnd, absl::Time now, absl::Duration retryAfter = absl::ZeroDuration());
    void sweepJobs(absl::Time now);
    void giveUpEntries(absl::Time now);
    bool couldEverHold(const ResourceVector& need) const;
    /// Whether a job that begins at the time given can't end while that is of use.
    bool isHopeless(const CellJob&, absl::Time start) const;
    absl::Duration expectedWait(const CellJob&, absl::Time now) const;
    /// @return the part of some room that tasks of the usual size can fill, in thousandths of a core.
    int64_t fillable(int64_t milliCores) const;
    absl::Duration retryAfter(absl::Duration wait);

    // Placing.
    void place(absl::Time now);
    bool placeTask(CellJob&, TaskIndex, absl::Time now);
    bool mayStart(const CellJob&, absl::Time now) const;
    /// Whether runs of an earlier life of a new job may go on here: its caller may have come back with its id.
    bool mayHaveEarlierRuns(const CellJob&, absl::Time now) const;
    bool hasRunsOf(const JobKey&) const;

    // Runs.
    void runEnded(LeasedMinion&, const RunId&, RunEnd, absl::Time now);
    void requeue(LeasedMinion&, const RunId&);
    void taskFailed(LeasedMinion&, CellJob&, CellTask&, absl::Time now);
    void stopRun(LeasedMinion&, Run&, absl::Time now);
    void sweepRuns(LeasedMinion&, absl::Time now);
    /// Gives up the runs of a life that is over or out of reach.
    void dropAllRuns(LeasedMinion&, std::string_view reason);
    void sweepStrayStarts(absl::Time now);
    void takeRunning(LeasedMinion&, const RenewResult&, absl::Time sentAt, absl::Time now);
    void takeEnded(LeasedMinion&, const RenewResult&, absl::Time now);
    void noteEarlyEnd(const EndedRun&);

    // Minions.
    LeasedMinion* findMinion(const MinionInstance&);
    /// Gives up the runs of a minion whose life is over, and the minion.
    void forgetMinion(LeasedMinion&, std::string_view reason);
    void answeredBy(LeasedMinion&, OrderFailure, int64_t clockMs, absl::Time now);
    void hold(LeasedMinion&, absl::Time now);
    bool isHoldDue(const LeasedMinion&, absl::Time now) const;
    OrderHeader headerTo(const LeasedMinion&) const;
    bool isAllFenced(absl::Time now) const;
    /// Whether the first looks were answered, or have had the time for it: what reachable minions run is known.
    bool isLookedAt(absl::Time now) const;

    static std::string describe(const RunId&);
    void note(std::string name, const JobKey&, const MinionId&, std::string detail);

    const CellGrant grant_;
    const DispatchPolicy& policy_;
    const JobOrder& order_;
    Random& random_;
    const absl::Time ownedSince_;
    bool isSuperseded_ = false;
    bool areMinionsKnown_ = false;
    uint64_t runCounter_ = 0;
    MinionTable minions_;
    const MinionChooser chooser_;
    /// In the order of their coming. The list holds one count of each.
    JobList jobs_;
    absl::flat_hash_map<JobKey, CellJob*> jobsByKey_;
    absl::flat_hash_map<DaemonId, absl::Time> entriesHeard_;
    /// Ends of an earlier owner's runs whose jobs haven't been offered again.
    absl::flat_hash_map<JobKey, std::vector<EndedRun>> earlyEnds_;
    std::vector<StrayStart> strayStarts_;
    /// What tasks here need, as a moving average; 0 before the first job.
    double usualMilliCores_ = 0;
    CellTotals totals_;
    CellOutbox outbox_;
};

} // namespace trefoilwing
