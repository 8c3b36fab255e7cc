#pragma once

#include "Bench/BenchWorkload.h"
#include "Dispatch/Broker/QueueingSlotBroker.h"
#include "Dispatch/ServiceDispatcher.h"
#include "Support/SeededRandom.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace trefoilwing::bench {

/// How the entries share the minions' slots.
enum class Sharing {
    /// One broker grants all slots to all entries.
    OneBroker,
    /// Each entry has its own broker, which grants a fixed part of each minion's slots.
    OwnSlots,
    /// Each entry has its own broker, which grants all slots. Minions refuse starts beyond their slots.
    Unshared,
};

/// The outcome of one job. Times are in seconds.
struct JobEnd {
    double response = 0;
    /// From submission to the start of the first task; negative if none started.
    double wait = -1;
    bool isComplete = false;
    bool isRejected = false;
};

/// The measurements of one run.
struct RunResult {
    std::vector<JobEnd> jobs;
    uint64_t starts = 0;
    uint64_t wasted = 0;
    uint64_t failedTasks = 0;
    /// Number of tasks that wait for a slot, sampled every 50 ms.
    std::vector<uint32_t> waiting;
    /// One task that ran: its job, its begin and end in seconds, and the speed of its minion.
    struct Execution {
        uint32_t job;
        double begin;
        double end;
        double speed;
    };
    std::vector<Execution> executions;
};

/// Discrete-event simulation of one data centre: the real dispatchers and brokers of its entries, with fake minions, a
/// simulated clock and message delays.
class DataCentreRun {
public:
    DataCentreRun(const Scenario&, const ServiceDeclaration&, const std::vector<BenchJob>&, const BrokerPolicy&, Sharing, uint64_t seed);

    RunResult run();

private:
    struct Event {
        absl::Time at;
        uint64_t order;
        std::function<void()> action;

        bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    struct FakeMinion {
        MinionId id;
        double speed = 1;
        size_t index = 0;
        uint32_t busy = 0;
        uint64_t announcements = 0;
    };

    struct FakeEntry {
        DaemonRun run;
        std::unique_ptr<ServiceDispatcher> dispatcher;
        uint64_t sequence = 0;
        uint64_t received = 0;
        absl::Time wakeup = absl::InfiniteFuture();
        size_t broker = 0;
    };

    struct BrokerHost {
        std::unique_ptr<QueueingSlotBroker> broker;
        absl::Time wakeup = absl::InfiniteFuture();
    };

    void scheduleAt(absl::Time, std::function<void()>);
    void scheduleAfter(absl::Duration, std::function<void()>);
    absl::Duration delayToBroker(size_t entry) const;
    void submit(size_t job);
    void applyEffects(size_t entry);
    void send(size_t entry, const MinionId&, const std::vector<TaskStart>&);
    void receiveStarts(size_t entry, FakeMinion&, const std::vector<TaskStart>&);
    void finish(size_t entry, FakeMinion&, const TaskStart&, absl::Duration runTime, TaskStatus);
    void recordOutcome(const DecidedJob&);
    void sendBrokerDecisions(size_t broker);
    void announce(FakeMinion&);
    void sample();
    static size_t jobIndex(const SubmissionKey&);

    const Scenario& scenario_;
    const std::vector<BenchJob>& jobs_;
    Sharing sharing_;
    SeededRandom random_;
    absl::Time simulationStart_ = absl::FromUnixSeconds(1000000000);
    absl::Time now_ = simulationStart_;
    uint64_t eventCount_ = 0;
    size_t undecided_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
    std::vector<BrokerHost> brokers_;
    std::vector<FakeEntry> entries_;
    std::deque<FakeMinion> minions_;
    uint64_t waitingTasks_ = 0;
    RunResult result_;
};

} // namespace trefoilwing::bench
