// Measures the processor time that an entry of a fleet spends on a job, without sockets: the owner's decisions for a
// task, encoding of orders to minions and decoding of their answers (JSON), messages between entries, and the choice of a cell.

#include "Adapters/Msgpack/Codec.h"
#include "Intake/CellChooser.h"
#include "Model/PeerMessage.h"
#include "Placement/CellFixture.h"
#include "platform/MinionCodec.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>

namespace {

using namespace trefoilwing;

constexpr uint32_t tasksPerJob = 8;
/// Number of tasks of the fixture's jobs that a minion of 16 cores runs concurrently.
constexpr uint64_t tasksPerMinion = 2;

/// A cell owner whose minions are all busy and whose queue holds a given number of jobs.
class BusyCell {
public:
    BusyCell(uint64_t minions, uint64_t queuedJobs)
        : targetJobs_(queuedJobs + minions * tasksPerMinion / tasksPerJob)
    {
        for (uint64_t i = 0; i < minions; ++i)
            cell_.addMinion("minion-" + std::to_string(i));
        refill();
        takeStarts();
    }

    /// Ends one run by a renewal result that reports its end. The next queued task starts in its place.
    void endOneRun()
    {
        const StartOrder ended = running_.front();
        running_.pop_front();
        cell_.endRun(ended, RunEnd::Done);
        cell_.takeRenewals();
        cell_.takeStops();
        takeStarts();
        jobs_ -= cell_.takeResults().size();
        refill();
    }

private:
    void refill()
    {
        for (; jobs_ < targetJobs_; ++jobs_) {
            JobOffer offer = cell_.makeOffer("job-" + std::to_string(++lastJob_), tasksPerJob);
            // No job gets late however long the benchmark runs, since its clock doesn't advance.
            offer.untilLate = absl::Hours(1);
            offer.untilTimeout = absl::Hours(2);
            cell_.offer(offer);
        }
    }

    void takeStarts()
    {
        for (const StartOrder& start : cell_.takeStarts()) {
            cell_.answerStart(start);
            running_.push_back(start);
        }
    }

    CellFixture cell_;
    const uint64_t targetJobs_;
    uint64_t jobs_ = 0;
    uint64_t lastJob_ = 0;
    std::deque<StartOrder> running_;
};

void decisionsOfATask(benchmark::State& state)
{
    BusyCell cell(static_cast<uint64_t>(state.range(0)), static_cast<uint64_t>(state.range(1)));
    for (auto _ : state)
        cell.endOneRun();
}

const CellId cellId { ServiceId("followup"), DataCentreId("bole"), { 1, 2 } };
const OrderHeader header { { MinionId("i-7f3a91c2"), MinionStartTime(1) }, { "10.128.0.9", 8080 }, OwnerEpoch(7) };
const RunId run { JobKey("5c0e7a21d94b36f8"), TaskIndex(3), RunNumber(117440513) };

void startAsJson(benchmark::State& state)
{
    const StartOrder order { header, run, std::make_shared<const std::string>(400, 's'), 486000 };
    const HttpResult answer = WebResponse { 200, {}, R"({"clock_ms":482113,"born":1})" };
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::encodeOrder(order));
        benchmark::DoNotOptimize(platform::decodeResult(order, answer));
    }
}

void lookAsJson(benchmark::State& state)
{
    const RenewOrder order { header, 486000, 57, absl::Milliseconds(250) };
    const HttpResult answer = WebResponse { 200, {}, R"({"clock_ms":482113,"born":1,"running":[["5c0e7a21d94b36f8.0.0.3",117440513,"",41,0]],"finished":[[58,"5c0e7a21d94b36f8.0.0.2",117440512,"done",""]]})" };
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::encodeOrder(order));
        benchmark::DoNotOptimize(platform::decodeResult(order, answer));
    }
}

template <typename Message>
void roundTrip(benchmark::State& state, const Message& message)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(decode<PeerMessage>(encode(PeerMessage(message))));
}

void offerBetweenEntries(benchmark::State& state)
{
    JobOffer offer = CellFixture().makeOffer("5c0e7a21d94b36f8", tasksPerJob);
    offer.requestId = "0123456789abcdef";
    offer.spec = std::string(400, 's');
    roundTrip(state, offer);
}

void lastWordBetweenEntries(benchmark::State& state)
{
    roundTrip(state, JobResult { run.job, 3, JobEnd::Completed, {}, absl::Milliseconds(5) });
}

void loadBetweenEntries(benchmark::State& state)
{
    roundTrip(state, CellLoad { { cellId, { DaemonId("10.1.0.30"), Incarnation(1788253031012000) }, OwnerEpoch(7) }, 936000, 412000, { 3, 0, 4 }, 400, absl::FromUnixMicros(1788253031012000) });
}

void choiceOfACell(benchmark::State& state)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    CellChooser chooser { cellId.dataCentre };
    const auto count = static_cast<uint32_t>(state.range(0));
    for (uint32_t i = 0; i < count; ++i) {
        const CellGrant grant { { cellId.service, cellId.dataCentre, { i, count } }, { DaemonId("10.1.0." + std::to_string(i)), Incarnation(1) }, OwnerEpoch(7 + i) };
        chooser.granted(grant);
        chooser.loadReceived({ grant, 936000, 412000, { 3, 0, 4 }, 400, now }, now);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(chooser.choose(cellId.service, { 8000, 64, 0 }, tasksPerJob, 1, now));
}

/// The choice of a minion for a task, where each minion runs a task of another route.
/// @param isLearned whether interference between routes is learned and taken into account.
void choiceOfAMinion(benchmark::State& state, bool isLearned)
{
    constexpr size_t routes = 8;
    constexpr size_t observations = 200;
    const absl::Time now = absl::FromUnixSeconds(1000);
    const DispatchPolicy policy;
    const std::unique_ptr<InterferenceModel> interference = makeInterferenceModel(isLearned);
    const MinionChooser chooser(policy, *interference);
    MinionTable minions;
    std::vector<CellJobPtr> jobs;
    for (size_t i = 0; i < routes; ++i) {
        JobOffer offer = CellFixture().makeOffer("job-" + std::to_string(i), 1);
        offer.route = RouteName("route-" + std::to_string(i));
        jobs.emplace_back(new CellJob(offer, DaemonId("entry"), now, policy.lateTolerance));
        jobs.back()->claimedAt = now;
    }
    for (int64_t i = 0; i < state.range(0); ++i) {
        const std::string id = "minion-" + std::to_string(i);
        auto minion = std::make_unique<LeasedMinion>(MinionReport { { MinionId(id), MinionStartTime(1) }, 1, cellId.pool(), { id, 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving }, policy);
        minion->isFenced = true;
        Run resident;
        resident.job = jobs[static_cast<size_t>(i) % routes];
        resident.id = { resident.job->offer().job, TaskIndex(0), RunNumber(static_cast<uint64_t>(i) + 1) };
        resident.need = resident.job->offer().need;
        resident.startedAt = now;
        resident.company.push_back({ RouteName("route-" + std::to_string((static_cast<size_t>(i) + 1) % routes)), absl::Milliseconds(100) });
        minion->addRun(resident);
        for (size_t observation = 0; observation < observations; ++observation)
            interference->runEnded(*minion, resident, absl::Milliseconds(100), absl::Milliseconds(120), now);
        minions[MinionId(id)] = std::move(minion);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(chooser.choose(minions, *jobs.front(), CellTask {}, now));
}

BENCHMARK(decisionsOfATask)->ArgNames({ "minions", "queued_jobs" })->Args({ 16, 0 })->Args({ 58, 0 })->Args({ 117, 0 })->Args({ 16, 20 })->Args({ 58, 20 })->Args({ 117, 20 })->Args({ 200, 20 });
BENCHMARK_CAPTURE(choiceOfAMinion, without_interference, false)->ArgName("minions")->Arg(16)->Arg(117)->Arg(350);
BENCHMARK_CAPTURE(choiceOfAMinion, with_interference, true)->ArgName("minions")->Arg(16)->Arg(117)->Arg(350);
BENCHMARK(startAsJson);
BENCHMARK(lookAsJson);
BENCHMARK(offerBetweenEntries);
BENCHMARK(lastWordBetweenEntries);
BENCHMARK(loadBetweenEntries);
BENCHMARK(choiceOfACell)->ArgName("cells")->Arg(3)->Arg(6)->Arg(24);

} // namespace

BENCHMARK_MAIN();
