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

/// Runs the jobs that one entry accepted for one service: starts tasks on granted slots, collects
/// their results, and decides each job's outcome exactly once.
///
/// Does no I/O: calls pass it events with the current time, and takeEffects() returns the resulting actions.
class ServiceDispatcher {
public:
    explicit ServiceDispatcher(ServiceId);

    /// Sets the objective that successful requests are counted against.
    void setObjective(const ServiceLevelObjective& objective) { objective_ = objective; }

    /// Accepts a job. Its claim must already be durable, since its tasks may be started from now on.
    JobNumber accept(Submission, absl::Time now);

    /// Cancels a job, so that no further task of it starts. Unknown and decided jobs are ignored.
    void cancel(JobNumber, absl::Time now);

    void applyGrant(const Grant&, absl::Time now);
    void applyRejection(const Rejection&, absl::Time now);

    void startsAnswered(const MinionId&, const std::vector<StartAnswer>&, absl::Time now);
    void cancelsAnswered(const MinionId&, const std::vector<CancelAnswer>&, absl::Time now);
    void resultsPosted(const MinionId&, std::vector<TaskResult>&&, absl::Time now);

    /// Ends the open attempts of a minion whose lease has ended. They may have run.
    void minionRemoved(const MinionId&, absl::Time now);

    /// Handles deadlines, expired attempts and cancel retries that are due.
    void tick(absl::Time now);

    /// @return when tick() is next due, or InfiniteFuture.
    absl::Time nextWakeup() const;

    bool hasEffects() const { return !effects_.empty() || !changedDemands_.empty(); }
    DispatchEffects takeEffects();

    /// @return the demands of all jobs, for a broker that needs the full state.
    std::vector<Demand> allDemands() const;

    /// @return the number of slots that open attempts hold, by minion.
    std::map<MinionId, uint32_t> heldSlots() const;

    /// @return the numbers of jobs and tasks by backer.
    std::vector<QueueStatus> queues() const;

    size_t jobCount() const { return jobs_.size(); }
    size_t attemptCount() const { return attempts_.size(); }

private:
    enum class AttemptState {
        Sent,
        Started,
        /// The answer to the start was lost; the answer to a cancel will show whether the task runs.
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
    void onAlreadyEnded(Attempt&, absl::Time);
    void onCancelLost(Attempt&, absl::Time);

    void onSucceeded(Attempt&, TaskResult&, absl::Time);
    void onFailed(Attempt&, TaskResult&, absl::Time);
    void onNotBegun(Attempt&, TaskResult&, absl::Time);

    Attempt* findAttempt(AttemptId, const MinionId&);
    void sendStart(const JobPtr&, TaskIndex, const MinionId&, absl::Time now);
    void sendCancel(Attempt&, absl::Time now);
    /// Ends an attempt that certainly didn't run, and queues its task again.
    void requeue(Attempt&, SlotEnding, absl::Time now);
    /// Ends an attempt that may have run but whose result is lost. Retries the task or fails the job.
    void loseAttempt(Attempt&, SlotEnding, absl::Time now);
    void endAttempt(Attempt&, SlotEnding, absl::Duration runTime);
    void decide(const JobPtr&, JobOutcome, absl::Time now);
    void fail(const JobPtr&, ErrorCode, std::string message, absl::Time now);
    bool retryIfAllowed(const JobPtr&, TaskIndex, absl::Time now);
    void expireJobs(absl::Time now);
    void expireAttempts(absl::Time now);
    void retryCancels(absl::Time now);
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
    absl::btree_set<std::pair<absl::Time, AttemptId>> cancelRetries_;
    absl::btree_set<JobNumber> changedDemands_;
    RetryBudget retryBudget_;
    DispatchEffects effects_;
};

} // namespace trefoilwing
