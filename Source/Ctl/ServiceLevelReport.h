#pragma once

#include "Model/Declaration.h"
#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// The burn rate of the error budget in the latest window. A rate of 1 spends exactly what the objective allows.
struct BurnWindow {
    const char* name = "";
    absl::Duration length;
    uint64_t good = 0;
    uint64_t total = 0;
    double rate = 0;
};

enum class AlertState {
    Quiet,
    /// The budget has been burning too fast for hours; it needs attention today.
    Warning,
    /// The budget will soon be exhausted; it needs attention now.
    Page,
};

/// @return the state's name in reports, such as "page".
const char* alertName(AlertState);

/// Number of burn-rate windows: 5 min, 1 h and 6 h, in this order.
constexpr size_t burnWindowCount = 3;

/// The service level of one backer of a service, or of all its backers together.
struct ServiceLevelRow {
    ServiceId service;
    /// Empty in the row for all backers.
    BackerId backer;
    ServiceLevelObjective objective;
    std::array<BurnWindow, burnWindowCount> windows;
    AlertState alert = AlertState::Quiet;
    /// Spent share of the longest window's error budget; above 1, the objective is missed.
    double budgetBurnt = 0;
    absl::Duration responseP50;
    absl::Duration responseP99;
    /// Response time of a job divided by the run time of its longest task.
    std::optional<double> responseOverIdealP50;
    std::optional<double> responseOverIdealP99;
    std::optional<double> wastedMessagesPerTask;
    /// Share of good requests in the peak, which is the busiest intervals of the last hour.
    std::optional<double> peakShare;
    /// 99th percentile of the time that the service's shortest kind of task waits for a slot.
    std::optional<absl::Duration> shortWaitP99;
    /// The plotted series: in steps of a minute over 6 h, and in fine steps over the last hour.
    ServiceLevelSeries minuteSeries;
    ServiceLevelSeries fineSeries;
};

/// The service level of the whole system.
struct ServiceLevelReport {
    absl::Time at;
    ConfigurationVersion configuration;
    std::vector<ServiceLevelRow> rows;
};

/// Computes the report from the merged measurements of all daemons.
ServiceLevelReport makeReport(const Configuration&, const MetricsSnapshot&);

/// @return the upper bound of the bucket that contains the quantile, or nothing if there are no values.
std::optional<absl::Duration> quantile(const std::vector<LatencyBucket>&, double share);

} // namespace trefoilwing
