#pragma once

#include "Model/Declaration.h"

#include <absl/time/time.h>

#include <random>
#include <string>
#include <vector>

namespace trefoilwing::bench {

/// One job of a benchmark run. Times are in seconds; the size of a task is its true run time at a minion of speed 1.
struct BenchJob {
    double arrival = 0;
    uint32_t backer = 0;
    uint32_t entry = 0;
    std::string kind;
    double deadline = 0;
    std::vector<double> sizes;

    double work() const;
};

/// One kind of task: its range of run times in seconds, its range of tasks per job, and its share of the jobs.
struct KindMix {
    std::string kind;
    double minRunSeconds;
    double maxRunSeconds;
    uint32_t minTasks;
    uint32_t maxTasks;
    /// Relative frequency of jobs of this kind.
    double weight;
    /// Seconds from submission.
    double deadline;
};

/// A span of time at a constant load, given as a share of the capacity.
struct LoadSpan {
    double seconds;
    double load;
    /// Whether the part of the load above 0.6 comes from the first backer alone.
    bool isExcessOfOneBacker = false;
};

/// The minions of one data centre and their workload.
struct Scenario {
    std::vector<double> speeds;
    uint32_t slots = 8;
    uint32_t backers = 20;
    uint32_t entries = 3;
    std::vector<KindMix> kinds;
    std::vector<LoadSpan> spans;
    /// Whether the fastest minion fails every task at once.
    bool isFastestFailing = false;

    double capacity() const;
};

/// @return mostly short and a few long tasks at a constant load for a number of seconds; no job has a deadline.
Scenario steadyLoadScenario(double load, double seconds);

/// @return the tasks of steadyLoadScenario with deadlines and a load peak of 5 s.
Scenario peakScenario(bool isExcessOfOneBacker);

/// @return short tasks beside long ones that alone exceed the capacity of all slots.
Scenario shortBehindLongScenario(double seconds);

/// @return the jobs of a scenario in the order of arrival.
std::vector<BenchJob> makeJobs(const Scenario&, std::mt19937_64&);

/// @return the declaration of the scenario's service; the declared run times are wrong by a factor of up to 5.
ServiceDeclaration makeDeclaration(const Scenario&, std::mt19937_64&);

} // namespace trefoilwing::bench
