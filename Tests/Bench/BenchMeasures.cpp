#include "Bench/BenchMeasures.h"

#include <algorithm>
#include <numeric>

namespace trefoilwing::bench {

namespace {

    constexpr double warmUpSeconds = 5;
    constexpr double largestShare = 0.05;
    constexpr double sampleSeconds = 0.05;
    /// Time for the queue to fill after the peak begins.
    constexpr double fillSeconds = 0.5;

    double overlap(double begin, double end, double from, double to)
    {
        return std::max(0.0, std::min(end, to) - std::max(begin, from));
    }

    double recoveryTime(const RunResult& run, double peakBegin, double peakEnd)
    {
        auto index = [&](double seconds) { return std::min(run.waiting.size(), static_cast<size_t>(seconds / sampleSeconds)); };
        const std::vector<double> before(run.waiting.begin() + static_cast<ptrdiff_t>(index(warmUpSeconds)),
            run.waiting.begin() + static_cast<ptrdiff_t>(index(peakBegin)));
        const double level = quantile(before, 0.95);
        size_t sample = index(peakEnd);
        while (sample < run.waiting.size() && run.waiting[sample] > level)
            ++sample;
        return static_cast<double>(sample) * sampleSeconds - peakEnd;
    }

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const size_t rank = std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(rank), values.end());
    return values[rank];
}

double mean(const std::vector<double>& values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

ResponseRatios compareResponses(const std::vector<BenchJob>& jobs, const RunResult& run, const std::vector<double>& ideal)
{
    std::vector<double> works;
    works.reserve(jobs.size());
    for (const BenchJob& job : jobs)
        works.push_back(job.work());
    const double large = quantile(works, 1 - largestShare);
    std::vector<double> own;
    std::vector<double> best;
    std::vector<double> ownLarge;
    std::vector<double> bestLarge;
    for (size_t i = 0; i < jobs.size(); ++i) {
        if (jobs[i].arrival < warmUpSeconds)
            continue;
        own.push_back(run.jobs[i].response);
        best.push_back(ideal[i]);
        if (works[i] < large)
            continue;
        ownLarge.push_back(run.jobs[i].response);
        bestLarge.push_back(ideal[i]);
    }
    return { mean(own) / mean(best), quantile(own, 0.5) / quantile(best, 0.5), quantile(own, 0.99) / quantile(best, 0.99),
        quantile(ownLarge, 0.99) / quantile(bestLarge, 0.99) };
}

PeakMeasures measurePeak(const Scenario& scenario, const std::vector<BenchJob>& jobs, const RunResult& run)
{
    const double begin = scenario.spans[0].seconds;
    const double end = begin + scenario.spans[1].seconds;
    double admitted = 0;
    double rejected = 0;
    double inDeadline = 0;
    std::vector<double> asked(scenario.backers);
    std::vector<double> served(scenario.backers);
    for (size_t i = 0; i < jobs.size(); ++i) {
        if (jobs[i].arrival < begin || jobs[i].arrival > end)
            continue;
        (run.jobs[i].isRejected ? rejected : admitted) += 1;
        inDeadline += run.jobs[i].isComplete;
        asked[jobs[i].backer] += 1;
        served[jobs[i].backer] += run.jobs[i].isComplete;
    }
    PeakMeasures measures;
    measures.inDeadline = inDeadline / admitted;
    measures.rejected = rejected / (admitted + rejected);
    measures.worstBacker = 1;
    for (size_t backer = 1; backer < asked.size(); ++backer) {
        if (asked[backer] > 0)
            measures.worstBacker = std::min(measures.worstBacker, served[backer] / asked[backer]);
    }
    for (const RunResult::Execution& execution : run.executions) {
        measures.allWork += execution.speed * overlap(execution.begin, execution.end, begin + fillSeconds, end);
        if (run.jobs[execution.job].isComplete)
            measures.usefulWork += execution.speed * overlap(execution.begin, execution.end, begin + fillSeconds, end);
    }
    measures.usefulWork /= scenario.capacity() * (end - begin - fillSeconds);
    measures.allWork /= scenario.capacity() * (end - begin - fillSeconds);
    measures.recovery = recoveryTime(run, begin, end);
    return measures;
}

std::vector<double> waitsOf(const std::string& kind, const std::vector<BenchJob>& jobs, const RunResult& run)
{
    std::vector<double> waits;
    for (size_t i = 0; i < jobs.size(); ++i) {
        if (jobs[i].kind == kind && jobs[i].arrival > warmUpSeconds && run.jobs[i].wait >= 0)
            waits.push_back(run.jobs[i].wait);
    }
    return waits;
}

} // namespace trefoilwing::bench
