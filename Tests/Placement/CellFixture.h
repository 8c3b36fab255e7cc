#pragma once

#include "Placement/CellDispatcher.h"
#include "Support/SeededRandom.h"

#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// Drives a CellDispatcher by hand: keeps its clock, answers its orders, and collects what it sends.
class CellFixture {
public:
    /// @param epoch of the owner.
    explicit CellFixture(uint64_t epoch = 5);

    /// Takes a minion up and answers its first look.
    void addMinion(const std::string& id, int64_t milliCores = 16000);
    /// Reports a minion without answering anything.
    void reportMinion(const std::string& id, int64_t milliCores = 16000, uint64_t startTime = 1, MinionState state = MinionState::Serving);

    /// Offers a job of equal tasks of 7 cores and 100 ms, late after 300 ms and given up after 2 s.
    void offer(const std::string& job, uint32_t tasks);
    JobOffer makeOffer(const std::string& job, uint32_t tasks) const;
    void offer(const JobOffer&);

    /// Moves the clock and does what is due.
    void pass(absl::Duration);

    /// Takes the starts sent since the last call.
    std::vector<StartOrder> takeStarts();
    std::vector<StopOrder> takeStops();
    std::vector<RenewOrder> takeHolds();
    std::vector<JobResult> takeEnded();

    void answerStart(const StartOrder&, OrderFailure = OrderFailure::None);
    void answerStop(const StopOrder&, OrderFailure = OrderFailure::None);
    /// Answers the look that is under way at a minion.
    void answerHold(const std::string& minion, std::vector<RunProgress> running = {}, std::vector<EndedRun> ended = {});
    void failHold(const std::string& minion);
    /// Ends a run, told by the look that is under way.
    void endRun(const StartOrder&, RunEnd);

    CellDispatcher& cell() { return cell_; }
    absl::Time now() const { return now_; }
    static RunId runId(const std::string& job, uint32_t task, uint64_t number) { return { JobKey(job), TaskIndex(task), RunNumber(number) }; }
    static MinionInstance instance(const std::string& id, uint64_t startTime = 1) { return { MinionId(id), MinionStartTime(startTime) }; }

private:
    void collect();
    int64_t clockMs() const { return absl::ToUnixMillis(now_); }

    absl::Time now_ = absl::FromUnixSeconds(1000);
    DispatchPolicy policy_;
    LatestStartFirst order_;
    SeededRandom random_ { 1 };
    CellDispatcher cell_;
    std::map<std::string, uint64_t> ends_;
    std::vector<StartOrder> starts_;
    std::vector<StopOrder> stops_;
    std::vector<RenewOrder> holds_;
    std::vector<JobResult> ended_;
};

} // namespace trefoilwing
