// Measures the broker's processor time for a task start and for a cancellation, by queue length and number of minions.

#include "Dispatch/Broker/QueueingSlotBroker.h"
#include "Support/SeededRandom.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>

namespace {

using namespace trefoilwing;

constexpr uint32_t backers = 480;
constexpr uint32_t slotsPerMinion = 8;
constexpr uint32_t tasksPerJob = 20;
constexpr uint32_t entries = 3;

/// A broker whose slots are all occupied and whose queue holds a given number of tasks.
class LoadedBroker {
public:
    LoadedBroker(uint32_t queuedTasks, uint32_t minions)
        : random_(1)
        , broker_(std::move(std::get<0>(QueueingSlotBroker::create({}, random_))))
        , sequences_(entries)
        , received_(entries)
    {
        declare();
        for (uint32_t minion = 0; minion < minions; ++minion)
            announce(minion);
        const uint32_t jobs = (queuedTasks + minions * slotsPerMinion) / tasksPerJob;
        for (uint32_t job = 0; job < jobs; ++job)
            submit();
        takeGrants();
    }

    void submit()
    {
        const uint64_t job = ++jobs_;
        Demand demand { JobNumber(job), BackerId("backer" + std::to_string(random_.below(backers))), now_, now_ + absl::Hours(1),
            { { TaskKindId("kind" + std::to_string(job % 4)), tasksPerJob } }, {} };
        update(job % entries, { std::move(demand) }, {});
        openJobs_.push_back(job);
    }

    void cancelOldest()
    {
        const uint64_t job = openJobs_.front();
        openJobs_.pop_front();
        update(job % entries, { { JobNumber(job), BackerId(), now_, now_, {}, {} } }, {});
    }

    /// Ends one task, so that a queued one starts in its place.
    void endTask()
    {
        now_ += absl::Microseconds(50);
        const Running ended = running_.front();
        running_.pop_front();
        update(ended.entry, {}, { { ended.grant.job, ended.grant.minion, ended.grant.kind, SlotEnding::Succeeded, absl::Milliseconds(100 + random_.below(400)) } });
        starts_ += takeGrants();
        if (starts_ >= tasksPerJob) {
            starts_ -= tasksPerJob;
            submit();
        }
    }

private:
    struct Running {
        uint32_t entry;
        Grant grant;
    };

    void declare()
    {
        ServiceDeclaration declaration;
        for (uint32_t i = 0; i < backers; ++i)
            declaration.backers.push_back({ BackerId("backer" + std::to_string(i)), 1, {} });
        broker_->declare(declaration);
    }

    void announce(uint32_t minion)
    {
        MinionAnnouncement announcement;
        announcement.minion = MinionId("minion" + std::to_string(minion));
        announcement.slots = SlotCount(slotsPerMinion);
        broker_->minionAnnounced(announcement, now_);
    }

    void update(uint32_t entry, std::vector<Demand> demands, std::vector<SlotReport> reports)
    {
        BrokerUpdate update;
        update.entry = { DaemonId("entry" + std::to_string(entry)), Incarnation(1) };
        update.stream = 1;
        update.sequence = ++sequences_[entry];
        update.received = received_[entry];
        update.demands = std::move(demands);
        update.reports = std::move(reports);
        broker_->entryUpdated(update, now_);
    }

    uint32_t takeGrants()
    {
        uint32_t starts = 0;
        for (const EntryDecisions& decisions : broker_->decide(now_)) {
            received_[std::stoul(decisions.entry.daemon.value().substr(5))] = decisions.sequence;
            for (const Grant& grant : decisions.grants) {
                for (uint32_t slot = 0; slot < grant.slots.value(); ++slot)
                    running_.push_back({ static_cast<uint32_t>(grant.job.value() % entries), grant });
                starts += grant.slots.value();
            }
        }
        return starts;
    }

    SeededRandom random_;
    std::unique_ptr<QueueingSlotBroker> broker_;
    absl::Time now_ = absl::FromUnixSeconds(1000000000);
    std::vector<uint64_t> sequences_;
    std::vector<uint64_t> received_;
    std::deque<Running> running_;
    std::deque<uint64_t> openJobs_;
    uint64_t jobs_ = 0;
    uint32_t starts_ = 0;
};

void taskStart(benchmark::State& state)
{
    LoadedBroker loaded(static_cast<uint32_t>(state.range(0)), static_cast<uint32_t>(state.range(1)));
    for (auto _ : state)
        loaded.endTask();
    state.SetItemsProcessed(state.iterations());
}

void cancellation(benchmark::State& state)
{
    LoadedBroker loaded(static_cast<uint32_t>(state.range(0)), 17);
    for (auto _ : state) {
        state.PauseTiming();
        loaded.submit();
        state.ResumeTiming();
        loaded.cancelOldest();
    }
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(taskStart)->ArgNames({ "queued", "minions" })->Args({ 1000, 17 })->Args({ 10000, 17 })->Args({ 100000, 17 })->Args({ 100000, 170 })->Args({ 100000, 660 });
BENCHMARK(cancellation)->ArgName("queued")->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(20000);

} // namespace

BENCHMARK_MAIN();
