#pragma once

#include "Bench/DataCentreRun.h"

#include <vector>

namespace trefoilwing::bench {

/// @return the quantile of the values at a share between 0 and 1; 0 if there are no values.
double quantile(std::vector<double> values, double share);

double mean(const std::vector<double>& values);

/// Response times of a run, divided by those of the ideal queue for the same jobs.
struct ResponseRatios {
    double mean = 0;
    double median = 0;
    double p99 = 0;
    /// The 99th percentile among the largest 5% of the jobs by work.
    double largest = 0;
};

ResponseRatios compareResponses(const std::vector<BenchJob>&, const RunResult&, const std::vector<double>& ideal);

/// Measurements during and after the load peak.
struct PeakMeasures {
    /// Share of the admitted jobs that completed within their deadline.
    double inDeadline = 0;
    double rejected = 0;
    /// Work of jobs that completed, as a share of the capacity.
    double usefulWork = 0;
    /// Work of all jobs, as a share of the capacity.
    double allWork = 0;
    /// The lowest share of submitted jobs that completed within their deadline, over all backers but the first.
    double worstBacker = 0;
    /// Seconds after the peak until no more tasks wait than before it.
    double recovery = 0;
};

PeakMeasures measurePeak(const Scenario&, const std::vector<BenchJob>&, const RunResult&);

/// @return the waiting times in seconds of the jobs of one kind that arrived after the warm-up.
std::vector<double> waitsOf(const std::string& kind, const std::vector<BenchJob>&, const RunResult&);

} // namespace trefoilwing::bench
