#pragma once

#include "Http.h"
#include "Record.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// When a run began and ended, on one minion.
struct RunTimes {
    std::string task;
    std::string minion;
    uint64_t run = 0;
    Clock::time_point from;
    Clock::time_point to;
};

/// All runs of all minions.
class RunBook {
public:
    size_t begin(const std::string& task, const std::string& minion, uint64_t run);
    void end(size_t number);
    /// @return the runs of a task, where a run that goes on ends now.
    std::vector<RunTimes> runsOf(const std::string& task) const;
    /// @return how long two runs of a task went on at the same time.
    Millis overlapOf(const std::string& task) const;
    bool isRunning(const std::string& task) const;

private:
    mutable std::mutex mutex_;
    std::vector<RunTimes> runs_;
};

struct MinionOptions {
    std::string id;
    Address address;
    std::string zone;
    std::string service;
    int64_t cpu = 0;
    /// Where it sends its reports, in the order in which it tries them.
    std::vector<Address> keepers;
};

/// A minion as the users' protocol describes it: it obeys epoch numbers, runs, stops and leases, and reports itself.
///
/// A specification "work MS" runs for that long, and "until NAME" until release(NAME).
class Minion {
public:
    Minion(MinionOptions options, RunBook& book, Record& record);
    ~Minion();
    Minion(const Minion&) = delete;
    Minion& operator=(const Minion&) = delete;

    const std::string& id() const { return options_.id; }
    bool isListening() const { return server_->isListening(); }
    /// Lets the runs with the specification "until NAME" end as done.
    void release(const std::string& name);
    /// From now on, stop orders are left unanswered and carried out after this time.
    void carryOutStopsLate(Millis delay) { lateStopMs_ = delay.count(); }
    bool hasRun(const std::string& task) const;
    /// @return how many reports were acknowledged.
    size_t acknowledgedReports() const { return acknowledged_; }
    /// Reports that it leaves.
    /// @return whether that was acknowledged.
    bool beginToLeave();
    /// Sends its DELETE, to one keeper after the other until one answers, and ends with all that it runs.
    /// @param isFirstAnswerLost whether the first answer is lost on its way.
    void leave(bool isFirstAnswerLost);

private:
    struct Run {
        uint64_t number = 0;
        size_t bookNumber = 0;
        Clock::time_point from;
        /// The work, or 0 for a run that ends when its name is released.
        Millis work { 0 };
        std::string until;
        int64_t cpu = 0;
    };

    Response handle(const Request&);
    Response start(const nlohmann::json&);
    Response stop(const nlohmann::json&);
    Response hold(const nlohmann::json&, std::unique_lock<std::mutex>&);
    Response refusal(const std::string& reason) const;
    nlohmann::json answer() const;
    int64_t clockMs() const;
    void takeLease(const nlohmann::json&);
    void endRun(const std::string& task, const std::string& how);
    void tick();
    Response sendReport();
    void end();

    const MinionOptions options_;
    RunBook& book_;
    Record& record_;
    const Clock::time_point startedAt_ = Clock::now();
    const int64_t born_;
    std::atomic<int64_t> lateStopMs_ { 0 };
    std::atomic<bool> isEnding_ { false };
    std::atomic<size_t> acknowledged_ { 0 };
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    uint64_t epoch_ = 0;
    uint64_t sequence_ = 0;
    std::string state_ = "ready";
    Clock::time_point leaseEnd_;
    std::map<std::string, Run> runs_;
    std::map<std::string, uint64_t> highest_;
    std::vector<nlohmann::json> ended_;
    uint64_t endCount_ = 0;
    size_t keeper_ = 0;
    Clock::time_point reportDue_;
    std::list<std::thread> late_;
    std::unique_ptr<HttpServer> server_;
    std::thread ticker_;
    std::thread reporter_;
};

} // namespace review
