#pragma once

#include "Placement/CellDispatcher.h"
#include "Support/SeededRandom.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Drives a CellDispatcher in tests: controls its clock, answers its orders, and collects its orders and results.
class CellFixture {
public:
    /// @param epoch the epoch of the owner.
    /// @param now the time at which it becomes the owner.
    explicit CellFixture(uint64_t epoch = 5, absl::Time now = absl::FromUnixSeconds(1000));

    /// Adds a minion and answers its first lease renewal.
    void addMinion(const std::string& id, int64_t milliCores = 16000);
    /// Reports a minion without answering anything.
    void reportMinion(const std::string& id, int64_t milliCores = 16000, uint64_t startTime = 1, MinionState state = MinionState::Serving, bool hasLeft = false);

    /// Offers a job of equal tasks that need 7 cores and 100 ms each, with an objective of 300 ms and a timeout of 2 s.
    void offer(const std::string& job, uint32_t tasks);
    JobOffer makeOffer(const std::string& job, uint32_t tasks) const;
    void offer(const JobOffer&);

    /// Orders or withdraws the evacuation of the cell's data centre.
    void setEvacuated(bool isEvacuated, bool mayFinishJobs = true);

    /// Advances the clock in steps of 20 ms, with a tick and a heartbeat of the entry at each.
    void advance(absl::Duration);

    /// From now on the entry reads no more load reports of the owner, so that its messages claim nothing newer.
    void cutLoads() { lastLoadReadAt_ = now_; }

    /// From now on the entry's heartbeats don't claim an offer any more.
    void dropOffer(uint64_t number) { offersHeld_.erase(number); }

    /// Advances the clock in one step, as if the process hadn't run meanwhile.
    void pause(absl::Duration);

    /// @return the start orders of new runs sent since the last call.
    std::vector<StartOrder> takeStarts();
    /// @return the start orders of runs that had been sent one before.
    std::vector<StartOrder> takeRepeatedStarts();
    std::vector<StopOrder> takeStops();
    std::vector<RenewOrder> takeRenewals();
    std::vector<JobResult> takeResults();

    void answerStart(const StartOrder&, OrderFailure = OrderFailure::None);
    void answerStop(const StopOrder&, OrderFailure = OrderFailure::None);
    /// Answers the lease renewal that is in progress at a minion.
    void answerRenewal(const std::string& minion, std::vector<RunProgress> running = {}, std::vector<EndedRun> ended = {});
    void failRenewal(const std::string& minion);
    /// Ends a run and reports it in the answer to the lease renewal in progress.
    void endRun(const StartOrder&, RunEnd);

    CellDispatcher& cell() { return cell_; }
    /// The limits of the cell, which a test may lower.
    DispatchPolicy& policy() { return policy_; }
    absl::Time now() const { return now_; }
    static RunId runId(const std::string& job, uint32_t task, uint64_t number) { return { JobKey(job), TaskIndex(task), RunNumber(number) }; }
    static MinionInstance instance(const std::string& id, uint64_t startTime = 1) { return { MinionId(id), MinionStartTime(startTime) }; }

private:
    void collect();
    void heartbeat();
    int64_t clockMs() const { return absl::ToUnixMillis(now_); }

    absl::Time now_;
    /// When the entry last read a load report; unset if it reads each at once.
    std::optional<absl::Time> lastLoadReadAt_;
    DispatchPolicy policy_;
    LeastSlackFirst order_;
    SeededRandom random_ { 1 };
    CellDispatcher cell_;
    /// The offers that the entry's heartbeats claim.
    std::set<uint64_t> offersHeld_;
    std::map<std::string, uint64_t> lastEndNumbers_;
    std::vector<StartOrder> starts_;
    std::vector<StartOrder> repeatedStarts_;
    std::set<RunId> started_;
    std::vector<StopOrder> stops_;
    std::vector<RenewOrder> renewals_;
    std::vector<JobResult> results_;
};

} // namespace trefoilwing
