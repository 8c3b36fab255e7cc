#pragma once

#include "Dispatch/DispatchEffects.h"
#include "Dispatch/Job.h"
#include "Dispatch/RetryBudget.h"
#include "Model/Declaration.h"
#include "Model/OperatorMessages.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace trefoilwing {

/// Runs the jobs that one entry accepted for one service: turns grants into starts, collects
/// results, and decides each job's outcome once.
///
/// A decision object: calls feed it events with the time, takeEffects() returns what follows.
class ServiceDispatcher {
public:
    explicit ServiceDispatcher(ServiceId);

    /// Takes what counts as a good answer.
    void setObjective(const ServiceLevelObjective& objective) { objective_ = objective; }

    /// Takes a job. Its claim must be durable, so that its tasks may be started.
    JobNumber accept(Submission, absl::Time now);

    /// Gives a job up: nothing more of it starts. Unknown and decided jobs are left alone.
    void cancel(JobNumber, absl::Time now);

    void applyGrant(const Grant&, absl::Time now);
    void applyRejection(const Rejection&, absl::Time now);

    void startsAnswered(const MinionId&, const std::vector<StartAnswer>&, absl::Time now);
    void cancelsAnswered(const MinionId&, const std::vector<CancelAnswer>&, absl::Time now);
    void resultsPosted(const MinionId&, std::vector<TaskResult>&&, absl::Time now);

    /// Takes the end of a minion's lease. Its open attempts may have run.
    void minionGone(const MinionId&, absl::Time now);

    /// Acts on deadlines and repeats that are due.
    void tick(absl::Time now);

    /// @return when tick() is next due; InfiniteFuture if not at all.
    absl::Time nextWakeup() const;

    bool hasEffects() const { return !effects_.empty() || !changedDemands_.empty(); }
    DispatchEffects takeEffects();

    /// @return what all jobs ask for, for a broker that begins anew.
    std::vector<Demand> allDemands() const;

    /// @return the slots that open attempts hold, by minion.
    std::map<MinionId, uint32_t> heldSlots() const;

    /// @return the jobs and tasks of each backer.
    std::vector<QueueStatus> queues() const;

    size_t jobCount() const { return jobs_.size(); }
    size_t attemptCount() const { return attempts_.size(); }

private:
    enum class AttemptState {
        Sent,
        Started,
        /// The start's answer was lost; a cancel finds out.
        Unknown,
    };

    struct Attempt {
        AttemptId id;
        JobPtr job;
        TaskIndex index;
        MinionId minion;
        AttemptState state = AttemptState::Sent;
        uint32_t cancelsSent = 0;
        absl::Time expiry;
    };

    using AttemptHandler = void (ServiceDispatcher::*)(Attempt&, absl::Time);
    using ResultHandler = void (ServiceDispatcher::*)(Attempt&, TaskResult&, absl::Time);

    static const std::array<AttemptHandler, 7> startHandlers;
    static const std::array<AttemptHandler, 4> cancelHandlers;
    static const std::array<ResultHandler, 3> resultHandlers;

    void onStarted(Attempt&, absl::Time);
    void onRefusedBusy(Attempt&, absl::Time);
    void onRefusedLeaving(Attempt&, absl::Time);
    void onRefusedSeen(Attempt&, absl::Time);
    void onRefusedUnable(Attempt&, absl::Time);
    void onNotSent(Attempt&, absl::Time);
    void onAnswerLost(Attempt&, absl::Time);

    void onFenced(Attempt&, absl::Time);
    void onStillRunning(Attempt&, absl::Time);
    void onEndedThere(Attempt&, absl::Time);
    void onCancelLost(Attempt&, absl::Time);

    void onSucceeded(Attempt&, TaskResult&, absl::Time);
    void onFailed(Attempt&, TaskResult&, absl::Time);
    void onNotBegun(Attempt&, TaskResult&, absl::Time);

    Attempt* findAttempt(AttemptId, const MinionId&);
    void sendStart(const JobPtr&, TaskIndex, const MinionId&, absl::Time now);
    void sendCancel(Attempt&, absl::Time now);
    /// Ends an attempt that certainly didn't run; its task waits again.
    void requeue(Attempt&, SlotEnding, absl::Time now);
    /// Ends an attempt that may have run without a result to show.
    void loseAttempt(Attempt&, SlotEnding, absl::Time now);
    void endAttempt(Attempt&, SlotEnding, absl::Duration runTime);
    void decide(const JobPtr&, JobOutcome, absl::Time now);
    void fail(const JobPtr&, ErrorCode, std::string message, absl::Time now);
    bool repeatIfAllowed(const JobPtr&, TaskIndex, absl::Time now);
    void expireJobs(absl::Time now);
    void expireAttempts(absl::Time now);
    void repeatCancels(absl::Time now);
    Demand demandOf(const Job&) const;
    MetricLabels labelsOf(const Job&) const;
    void count(std::string_view name, const MetricLabels&, uint64_t amount = 1);
    uint32_t openAttempts(const Job&) const;

    ServiceId service_;
    ServiceLevelObjective objective_;
    uint64_t lastJob_ = 0;
    uint64_t lastAttempt_ = 0;
    absl::flat_hash_map<JobNumber, JobPtr> jobs_;
    absl::flat_hash_map<AttemptId, Attempt> attempts_;
    absl::flat_hash_map<MinionId, absl::flat_hash_set<AttemptId>> attemptsByMinion_;
    absl::flat_hash_map<JobNumber, absl::flat_hash_set<AttemptId>> attemptsByJob_;
    absl::btree_set<std::pair<absl::Time, JobNumber>> deadlines_;
    absl::btree_set<std::pair<absl::Time, AttemptId>> expiries_;
    absl::btree_set<std::pair<absl::Time, AttemptId>> cancelRepeats_;
    absl::btree_set<JobNumber> changedDemands_;
    RetryBudget retryBudget_;
    DispatchEffects effects_;
};

} // namespace trefoilwing
