// Compares broker policies with the ideal queue at several loads and seeds. Prints one table for each measurement.
//
// usage: DispatchBench [-s SEEDS] [-t TABLE] [POLICY]...

#include "Bench/BenchMeasures.h"
#include "Bench/IdealQueue.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using namespace trefoilwing;
using namespace trefoilwing::bench;

constexpr double loadSeconds = 120;
constexpr double shortBehindLongSeconds = 40;
constexpr std::array<double, 4> loads { 0.5, 0.7, 0.85, 0.95 };

struct NamedPolicy {
    const char* name;
    BrokerPolicy policy;
    Sharing sharing = Sharing::OneBroker;
};

BrokerPolicy withStrategy(BrokerPolicy policy, std::string BrokerPolicy::*part, const char* strategy)
{
    policy.*part = strategy;
    return policy;
}

const std::vector<NamedPolicy>& policies()
{
    static const BrokerPolicy baseline { "fifo", "equal", "random", "none", "all", "none" };
    static const BrokerPolicy fastest { "least-work", "equal", "fastest", "none", "all", "none" };
    static const BrokerPolicy patient = withStrategy(fastest, &BrokerPolicy::minionChoice, "patient");
    static const BrokerPolicy quota = withStrategy(patient, &BrokerPolicy::backerOrder, "quota");
    static const BrokerPolicy deadline = withStrategy(quota, &BrokerPolicy::admission, "deadline");
    static const std::vector<NamedPolicy> all {
        { "default", {} },
        { "baseline", baseline },
        { "fewest-tasks", withStrategy(baseline, &BrokerPolicy::jobOrder, "fewest-tasks") },
        { "least-work", withStrategy(baseline, &BrokerPolicy::jobOrder, "least-work") },
        { "fifo-fastest", withStrategy(baseline, &BrokerPolicy::minionChoice, "fastest") },
        { "fewest-tasks-fastest", withStrategy(fastest, &BrokerPolicy::jobOrder, "fewest-tasks") },
        { "least-work-fastest", fastest },
        { "least-work-patient", patient },
        { "quota", quota },
        { "average-quota", withStrategy(patient, &BrokerPolicy::backerOrder, "average-quota") },
        { "deadline", withStrategy(patient, &BrokerPolicy::admission, "deadline") },
        { "deadline-quota", deadline },
        { "deadline-average-quota", withStrategy(withStrategy(patient, &BrokerPolicy::admission, "deadline"), &BrokerPolicy::backerOrder, "average-quota") },
        { "reserve", withStrategy(deadline, &BrokerPolicy::reserve, "adaptive") },
        { "no-ejection", withStrategy({}, &BrokerPolicy::ejection, "none") },
        { "default-own-slots", {}, Sharing::OwnSlots },
        { "default-unshared", {}, Sharing::Unshared },
        { "baseline-own-slots", baseline, Sharing::OwnSlots },
        { "baseline-unshared", baseline, Sharing::Unshared },
    };
    return all;
}

/// The inputs of one run. The same seed gives the same jobs for every policy.
struct Trial {
    Trial(Scenario asked, uint64_t trialSeed)
        : scenario(std::move(asked))
        , seed(trialSeed)
    {
        std::mt19937_64 engine(seed);
        declaration = makeDeclaration(scenario, engine);
        jobs = makeJobs(scenario, engine);
    }

    RunResult run(const NamedPolicy& named) const { return DataCentreRun(scenario, declaration, jobs, named.policy, named.sharing, seed).run(); }

    Scenario scenario;
    uint64_t seed;
    ServiceDeclaration declaration;
    std::vector<BenchJob> jobs;
};

void printResponses(const NamedPolicy& named, uint64_t seeds)
{
    for (double load : loads) {
        ResponseRatios sum;
        double wasted = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const Trial trial(steadyLoadScenario(load, loadSeconds), seed);
            const RunResult run = trial.run(named);
            const ResponseRatios ratios = compareResponses(trial.jobs, run, idealResponses(trial.scenario, trial.jobs));
            sum.mean += ratios.mean;
            sum.median += ratios.median;
            sum.p99 += ratios.p99;
            sum.largest += ratios.largest;
            wasted += static_cast<double>(run.wasted) / static_cast<double>(run.starts);
        }
        const auto n = static_cast<double>(seeds);
        std::printf("| %s | %.0f%% | %.3f | %.3f | %.3f | %.3f | %.4f |\n", named.name, load * 100, sum.mean / n, sum.median / n,
            sum.p99 / n, sum.largest / n, wasted / n);
    }
}

void printPeak(const NamedPolicy& named, uint64_t seeds)
{
    PeakMeasures sum;
    double worst = 1;
    double slowest = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Trial all(peakScenario(false), seed);
        const PeakMeasures measures = measurePeak(all.scenario, all.jobs, all.run(named));
        sum.inDeadline += measures.inDeadline;
        sum.rejected += measures.rejected;
        sum.usefulWork += measures.usefulWork;
        sum.allWork += measures.allWork;
        sum.recovery += measures.recovery;
        slowest = std::max(slowest, measures.recovery);
        const Trial one(peakScenario(true), seed);
        const PeakMeasures burst = measurePeak(one.scenario, one.jobs, one.run(named));
        sum.worstBacker += burst.worstBacker;
        worst = std::min(worst, burst.worstBacker);
    }
    const auto n = static_cast<double>(seeds);
    std::printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f |\n", named.name, sum.inDeadline / n, sum.rejected / n,
        sum.usefulWork / n, sum.allWork / n, sum.worstBacker / n, worst, sum.recovery / n, slowest);
}

void printShortBehindLong(const NamedPolicy& named, uint64_t seeds)
{
    std::vector<double> credit;
    std::vector<double> match;
    double reviewWork = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Trial trial(shortBehindLongScenario(shortBehindLongSeconds), seed);
        const RunResult run = trial.run(named);
        for (double wait : waitsOf("credit", trial.jobs, run))
            credit.push_back(wait * 1000);
        for (double wait : waitsOf("match", trial.jobs, run))
            match.push_back(wait * 1000);
        for (const RunResult::Execution& execution : run.executions) {
            const double seconds = std::max(0.0, std::min(execution.end, shortBehindLongSeconds) - std::max(execution.begin, 5.0));
            if (trial.jobs[execution.job].kind == "review")
                reviewWork += seconds * execution.speed / ((shortBehindLongSeconds - 5) * trial.scenario.capacity());
        }
    }
    std::printf("| %s | %.1f | %.1f | %.1f | %.1f | %.3f |\n", named.name, quantile(credit, 0.5), quantile(credit, 0.99),
        quantile(match, 0.5), quantile(match, 0.99), reviewWork / static_cast<double>(seeds));
}

void printFaults(const NamedPolicy& named, uint64_t seeds)
{
    double failedTasks = 0;
    double failedJobs = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Scenario scenario = steadyLoadScenario(0.7, loadSeconds);
        scenario.isFastestFailing = true;
        const Trial trial(scenario, seed);
        const RunResult run = trial.run(named);
        failedTasks += static_cast<double>(run.failedTasks) / static_cast<double>(run.starts);
        const auto failed = std::count_if(run.jobs.begin(), run.jobs.end(), [](const JobEnd& job) { return !job.isComplete; });
        failedJobs += static_cast<double>(failed) / static_cast<double>(run.jobs.size());
    }
    const auto n = static_cast<double>(seeds);
    std::printf("| %s | %.4f | %.4f |\n", named.name, failedTasks / n, failedJobs / n);
}

struct Table {
    const char* name;
    const char* header;
    void (*print)(const NamedPolicy&, uint64_t);
};

constexpr std::array<Table, 4> tables { {
    { "response", "| policy | load | mean | median | p99 | largest p99 | wasted a task |\n|---|---|---|---|---|---|---|", printResponses },
    { "crest", "| policy | in deadline of admitted | rejected | useful work | all work | worst backer, mean | worst backer, least | recovery s, mean | recovery s, slowest |\n|---|---|---|---|---|---|---|---|---|",
        printPeak },
    { "short", "| policy | credit p50 ms | credit p99 ms | match p50 ms | match p99 ms | review work |\n|---|---|---|---|---|---|",
        printShortBehindLong },
    { "faults", "| policy | tasks failed | jobs failed |\n|---|---|---|", printFaults },
} };

} // namespace

int main(int argc, char** argv)
{
    uint64_t seeds = 5;
    std::string only;
    for (int option = 0; (option = getopt(argc, argv, "s:t:")) != -1;) {
        if (option == 's')
            seeds = std::strtoull(optarg, nullptr, 10);
        else if (option == 't')
            only = optarg;
        else
            return 2;
    }
    const std::vector<std::string> chosen(argv + optind, argv + argc);
    for (const Table& table : tables) {
        if (!only.empty() && only != table.name)
            continue;
        std::printf("\n%s\n", table.header);
        for (const NamedPolicy& named : policies()) {
            if (chosen.empty() || std::find(chosen.begin(), chosen.end(), named.name) != chosen.end())
                table.print(named, seeds);
            std::fflush(stdout);
        }
    }
    return 0;
}
