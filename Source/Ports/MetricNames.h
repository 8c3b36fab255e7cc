#pragma once

#include <string_view>

namespace trefoilwing::metric {

/// From a request's or a job's acceptance to its outcome.
inline constexpr std::string_view requestLatency = "request_latency";
/// Requests answered whole within the service's objective.
inline constexpr std::string_view requestsGood = "requests_good";
inline constexpr std::string_view requestsTotal = "requests_total";
/// Messages that did no work: refusals, cancels of nothing, returned grants, late results.
inline constexpr std::string_view wastedMessages = "wasted_messages";
inline constexpr std::string_view taskStarts = "task_starts";
/// From a job's acceptance to the start of each of its tasks.
inline constexpr std::string_view queueWait = "queue_wait";
/// A job's response over the run time of its longest task, a ratio of 1 being one second.
inline constexpr std::string_view responseOverIdeal = "response_over_ideal";

} // namespace trefoilwing::metric
