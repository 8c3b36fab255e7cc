#include "Bench/BenchWorkload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoilwing::bench {

namespace {

    constexpr double baseLoad = 0.6;
    constexpr double peakLoad = 1.6;
    constexpr double baseSeconds = 10;
    constexpr double peakSeconds = 5;
    constexpr double recoverySeconds = 15;
    constexpr double noDeadline = 100000;
    constexpr double maxEstimateFactor = 5;

    std::vector<double> spreadSpeeds(uint32_t minions)
    {
        std::vector<double> speeds;
        for (uint32_t i = 0; i < minions; ++i)
            speeds.push_back(0.5 * std::pow(4.0, static_cast<double>(i) / (minions - 1)));
        return speeds;
    }

    double uniform(std::mt19937_64& engine, double low, double high)
    {
        return low + (high - low) * std::uniform_real_distribution<double>(0, 1)(engine);
    }

    double logUniform(std::mt19937_64& engine, double low, double high)
    {
        return std::exp(uniform(engine, std::log(low), std::log(high)));
    }

    uint32_t drawTasks(const KindMix& kind, std::mt19937_64& engine)
    {
        return static_cast<uint32_t>(logUniform(engine, kind.minTasks, kind.maxTasks + 0.999));
    }

    /// The mean work of a job. It uses its own generator, so that the random choices of the jobs don't depend on it.
    double meanWork(const Scenario& scenario)
    {
        std::mt19937_64 engine(1);
        double work = 0;
        double weight = 0;
        for (const KindMix& kind : scenario.kinds) {
            double tasks = 0;
            for (int i = 0; i < 20000; ++i)
                tasks += drawTasks(kind, engine) / 20000.0;
            work += kind.weight * tasks * (kind.minRunSeconds + kind.maxRunSeconds) / 2;
            weight += kind.weight;
        }
        return work / weight;
    }

    const KindMix& drawKind(const Scenario& scenario, std::mt19937_64& engine)
    {
        double total = 0;
        for (const KindMix& kind : scenario.kinds)
            total += kind.weight;
        double left = uniform(engine, 0, total);
        for (const KindMix& kind : scenario.kinds) {
            left -= kind.weight;
            if (left <= 0)
                return kind;
        }
        return scenario.kinds.back();
    }

    BenchJob drawJob(const Scenario& scenario, double arrival, std::mt19937_64& engine)
    {
        const KindMix& kind = drawKind(scenario, engine);
        BenchJob job;
        job.arrival = arrival;
        job.backer = static_cast<uint32_t>(engine() % scenario.backers);
        job.entry = static_cast<uint32_t>(engine() % scenario.entries);
        job.kind = kind.kind;
        job.deadline = kind.deadline;
        job.sizes.resize(drawTasks(kind, engine));
        for (double& size : job.sizes)
            size = uniform(engine, kind.minRunSeconds, kind.maxRunSeconds);
        return job;
    }

} // namespace

double BenchJob::work() const
{
    return std::accumulate(sizes.begin(), sizes.end(), 0.0);
}

double Scenario::capacity() const
{
    return slots * std::accumulate(speeds.begin(), speeds.end(), 0.0);
}

Scenario steadyLoadScenario(double load, double seconds)
{
    Scenario scenario;
    scenario.speeds = spreadSpeeds(17);
    scenario.kinds = {
        { "remind", 0.05, 0.2, 1, 200, 0.55, noDeadline },
        { "reprice", 0.2, 1.0, 1, 200, 0.42, noDeadline },
        { "recount", 2.0, 6.0, 1, 20, 0.03, noDeadline },
    };
    scenario.spans = { { seconds, load } };
    return scenario;
}

Scenario peakScenario(bool isExcessOfOneBacker)
{
    Scenario scenario = steadyLoadScenario(baseLoad, 0);
    scenario.kinds[0].deadline = 3;
    scenario.kinds[1].deadline = 3;
    scenario.kinds[2].deadline = 20;
    scenario.spans = { { baseSeconds, baseLoad }, { peakSeconds, peakLoad, isExcessOfOneBacker }, { recoverySeconds, baseLoad } };
    return scenario;
}

Scenario shortBehindLongScenario(double seconds)
{
    Scenario scenario;
    scenario.speeds = spreadSpeeds(17);
    // The reviews alone exceed the capacity of all slots; the checks need about 4% of it.
    scenario.kinds = {
        { "credit", 0.06, 0.1, 1, 1, 30, noDeadline },
        { "match", 0.15, 0.25, 1, 1, 18, noDeadline },
        { "review", 2.0, 8.0, 1, 1, 30, noDeadline },
    };
    scenario.spans = { { seconds, 1.25 } };
    return scenario;
}

std::vector<BenchJob> makeJobs(const Scenario& scenario, std::mt19937_64& engine)
{
    const double work = meanWork(scenario);
    std::vector<BenchJob> jobs;
    double begin = 0;
    for (const LoadSpan& span : scenario.spans) {
        const double rate = span.load * scenario.capacity() / work;
        std::exponential_distribution<double> gap(rate);
        for (double at = begin + gap(engine); at < begin + span.seconds; at += gap(engine)) {
            jobs.push_back(drawJob(scenario, at, engine));
            if (span.isExcessOfOneBacker && uniform(engine, 0, span.load) > baseLoad)
                jobs.back().backer = 0;
        }
        begin += span.seconds;
    }
    return jobs;
}

ServiceDeclaration makeDeclaration(const Scenario& scenario, std::mt19937_64& engine)
{
    ServiceDeclaration declaration;
    declaration.service = ServiceId("bench");
    for (uint32_t i = 0; i < scenario.backers; ++i)
        declaration.backers.push_back({ BackerId("backer" + std::to_string(i)), 1, DataCentreId("bole") });
    for (const KindMix& kind : scenario.kinds) {
        const double declared = (kind.minRunSeconds + kind.maxRunSeconds) / 2 * logUniform(engine, 1 / maxEstimateFactor, maxEstimateFactor);
        declaration.kinds.push_back({ TaskKindId(kind.kind), absl::Seconds(declared), true, {} });
    }
    return declaration;
}

} // namespace trefoilwing::bench
