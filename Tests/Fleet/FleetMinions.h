#pragma once

#include "Adapters/Beast/HttpClient.h"
#include "Adapters/Beast/HttpListener.h"
#include "Base/MutexLock.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// What the stand-in minions saw.
struct MinionTotals {
    size_t starts = 0;
    size_t done = 0;
    size_t stopped = 0;
    size_t lapsed = 0;
    /// Starts of a task while another run of it went on.
    size_t startedTwice = 0;
};

/// A few minions in one process that keep their leases and report to keepers.
class FleetMinions {
public:
    /// @param keepers where reports go; the next is asked where one doesn't answer.
    /// @param runTime of each task.
    FleetMinions(std::vector<Endpoint> keepers, absl::Duration runTime);
    ~FleetMinions();
    FleetMinions(const FleetMinions&) = delete;
    FleetMinions& operator=(const FleetMinions&) = delete;

    /// Adds a minion of 16 cores; all are added before start().
    void add(const std::string& id, const Endpoint&, const std::string& dataCentre);
    void start();

    MinionTotals totals() const;

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
    void hold(Minion&, const nlohmann::json&, const HttpExchangePtr&);
    void answerHold(Minion&);
    void endRun(Minion&, const std::string& task, const char* how);
    void tick();
    void report(Minion&);

    const std::vector<Endpoint> keepers_;
    const absl::Duration runTime_;
    HttpLoop loop_;
    HttpClient client_;
    boost::asio::steady_timer timer_;
    std::vector<std::unique_ptr<Minion>> minions_;
    /// Runs that go on anywhere, by task; the rest is used on the loop's thread only.
    absl::flat_hash_map<std::string, size_t> running_;
    mutable absl::Mutex mutex_;
    MinionTotals totals_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
