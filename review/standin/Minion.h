#pragma once

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

struct MinionSettings {
    std::string id;
    Endpoint endpoint;
    std::string zone;
    std::string service;
    std::vector<Endpoint> keepers;
};

/// One life of a stand-in minion: it sends heartbeats, starts and stops tasks on orders, keeps leases and epochs, and
/// refuses what does not fit. The spec of a task says how long it runs and how much it needs: "MILLISECONDS MILLICORES".
class Minion {
public:
    Minion(MinionSettings, TaskWatch&);
    ~Minion();
    Minion(const Minion&) = delete;
    Minion& operator=(const Minion&) = delete;

    bool isListening() const { return server_->isListening(); }
    const MinionSettings& settings() const { return settings_; }
    /// From now on the heartbeats say that the minion drains.
    void drain();
    /// @return whether a heartbeat with the present state was acknowledged.
    bool isAcknowledged() const;
    /// @return the number of runs that this life has begun.
    size_t startCount() const;
    /// Ends this life: everything that runs on it ends, and it sends nothing more.
    void end();

private:
    struct Run {
        uint64_t number = 0;
        int64_t cpu = 0;
        Clock::time_point begunAt;
        Clock::time_point endsAt;
        bool isStopping = false;
    };

    Response handle(const Request&);
    Response start(const nlohmann::json&);
    Response stop(const nlohmann::json&);
    Response hold(const nlohmann::json&, std::unique_lock<std::mutex>&);
    Response answer(int status, nlohmann::json) const;
    int64_t clockMs() const;
    void extendLease(const nlohmann::json&);
    void endRun(const std::string& task, const std::string& how);
    void expireRuns();
    void tick();
    void sendHeartbeats();

    const MinionSettings settings_;
    TaskWatch& watch_;
    const Clock::time_point startedAt_ = Clock::now();
    const int64_t born_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isEnding_ = false;
    bool isDraining_ = false;
    bool isAcknowledged_ = false;
    size_t startCount_ = 0;
    uint64_t sequence_ = 0;
    uint64_t epoch_ = 0;
    Clock::time_point leaseEnd_;
    std::map<std::string, Run> runs_;
    std::map<std::string, uint64_t> highest_;
    uint64_t endCount_ = 0;
    std::vector<nlohmann::json> ended_;
    std::unique_ptr<Server> server_;
    std::thread ticker_;
    std::thread heartbeats_;
};

} // namespace review
