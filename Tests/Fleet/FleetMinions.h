#pragma once

#include "Adapters/Beast/HttpClient.h"
#include "Adapters/Beast/HttpListener.h"
#include "Base/MutexLock.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Counts of runs over all stand-in minions.
struct MinionTotals {
    size_t starts = 0;
    size_t done = 0;
    size_t stopped = 0;
    size_t lapsed = 0;
    /// Number of starts of a task while another run of it was still running.
    size_t duplicateStarts = 0;
};

/// Stand-in minions in one process. They report to keepers, accept orders by epoch, and end runs whose lease expires.
class FleetMinions {
public:
    /// @param keepers receive the reports; a minion moves to the next keeper if one doesn't answer.
    /// @param runTime run time of each task.
    FleetMinions(std::vector<Endpoint> keepers, absl::Duration runTime);
    ~FleetMinions();
    FleetMinions(const FleetMinions&) = delete;
    FleetMinions& operator=(const FleetMinions&) = delete;

    /// Changes the run time of each task. Call this before start().
    void setRunTime(absl::Duration runTime) { runTime_ = runTime; }
    /// Adds a minion with 16 cores. Call this before start().
    void add(const std::string& id, const Endpoint&, const std::string& dataCentre);
    void start();

    /// @return the addresses of all minions.
    std::vector<Endpoint> endpoints() const;
    MinionTotals totals() const;
    /// @return how many tasks were started on the minions of a data centre.
    size_t startsIn(const std::string& dataCentre) const;
    /// @return whether any task of a job was started.
    bool hasStarted(const std::string& job) const;

private:
    struct StandInRun {
        uint64_t number = 0;
        absl::Time endsAt;
        int64_t cpu = 0;
    };
    struct Minion;

    void handle(Minion&, const HttpExchangePtr&);
    void startRun(Minion&, const nlohmann::json&, const HttpExchangePtr&);
    void stopRun(Minion&, const nlohmann::json&, const HttpExchangePtr&);
    void renew(Minion&, const nlohmann::json&, const HttpExchangePtr&);
    void answerRenewal(Minion&);
    void endRun(Minion&, const std::string& task, const char* how);
    void tick();
    void report(Minion&);

    const std::vector<Endpoint> keepers_;
    absl::Duration runTime_;
    HttpLoop loop_;
    HttpClient client_;
    boost::asio::steady_timer timer_;
    std::vector<std::unique_ptr<Minion>> minions_;
    /// Number of current runs of each task over all minions. Like minions_, it is used on the loop's thread only.
    absl::flat_hash_map<std::string, size_t> running_;
    mutable absl::Mutex mutex_;
    MinionTotals totals_ ABSL_GUARDED_BY(mutex_);
    std::set<std::string> startedJobs_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, size_t> startsByDataCentre_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
