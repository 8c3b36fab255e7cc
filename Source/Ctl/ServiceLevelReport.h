#pragma once

#include "Model/Declaration.h"
#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// How fast the error budget was spent in the latest window: 1 spends exactly what the objective allows.
struct BurnWindow {
    const char* name = "";
    absl::Duration length;
    uint64_t good = 0;
    uint64_t total = 0;
    double rate = 0;
};

enum class AlertState {
    Quiet,
    /// The budget goes too fast for hours: look at it today.
    Warning,
    /// The budget goes so fast that it is soon gone: look at it now.
    Page,
};

/// @return the word for reports, e.g. "page".
const char* alertName(AlertState);

/// The windows of the burn rates, shortest first: 5 min, 1 h and 6 h.
constexpr size_t burnWindowCount = 3;

/// The service level of one backer of a service, or of all of them.
struct ServiceLevelRow {
    ServiceId service;
    /// Empty in the row for all backers.
    BackerId backer;
    ServiceLevelObjective objective;
    std::array<BurnWindow, burnWindowCount> windows;
    AlertState alert = AlertState::Quiet;
    /// The share of the longest window's error budget that is spent; above 1 the objective is missed.
    double budgetBurnt = 0;
    absl::Duration responseP50;
    absl::Duration responseP99;
    /// A job's response over the run time of its longest task.
    std::optional<double> responseOverIdealP50;
    std::optional<double> responseOverIdealP99;
    std::optional<double> wastedMessagesPerTask;
    /// The share of good requests in the busiest intervals of the last hour.
    std::optional<double> crestShare;
    /// The p99 wait for a slot of the service's shortest kind of task.
    std::optional<absl::Duration> shortWaitP99;
    /// For the plots.
    ServiceLevelSeries minutes;
    ServiceLevelSeries crest;
};

/// The service level of the whole system.
struct ServiceLevelReport {
    absl::Time at;
    ConfigurationVersion configuration;
    std::vector<ServiceLevelRow> rows;
};

/// Works out the report from what the daemons have measured, merged.
ServiceLevelReport makeReport(const Configuration&, const MetricsSnapshot&);

/// @return the upper bound of the bucket that the quantile lies in; nothing where there are no values.
std::optional<absl::Duration> quantile(const std::vector<LatencyBucket>&, double share);

} // namespace trefoilwing
