#pragma once

#include "Bench/DataCentreRun.h"

#include <vector>

namespace trefoilwing::bench {

/// @return the value below which the share of the values lies; 0 without values.
double quantile(std::vector<double> values, double share);

double mean(const std::vector<double>& values);

/// Job response of a run over that of the ideal run of the same jobs.
struct ResponseRatios {
    double mean = 0;
    double median = 0;
    double p99 = 0;
    /// Of the largest twentieth of the jobs, at p99.
    double largest = 0;
};

ResponseRatios compareResponses(const std::vector<BenchJob>&, const RunResult&, const std::vector<double>& ideal);

/// Service during and after the crest.
struct CrestMeasures {
    /// Share of the admitted jobs that were complete within their deadline.
    double inDeadline = 0;
    double rejected = 0;
    /// Work of jobs that ended well, as a share of the capacity.
    double usefulWork = 0;
    /// All work done, as a share of the capacity.
    double allWork = 0;
    /// The least share in deadline, of all submitted jobs, among the backers but the first.
    double worstBacker = 0;
    /// Until no more tasks wait than before the crest, in seconds.
    double recovery = 0;
};

CrestMeasures measureCrest(const Scenario&, const std::vector<BenchJob>&, const RunResult&);

/// @return the waits of the jobs of one kind that came after the warm-up, in seconds.
std::vector<double> waitsOf(const std::string& kind, const std::vector<BenchJob>&, const RunResult&);

} // namespace trefoilwing::bench
