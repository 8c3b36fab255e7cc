#pragma once

#include <string_view>

namespace trefoilwing::metric {

/// The time from the acceptance of a request or job to its outcome.
inline constexpr std::string_view requestLatency = "request_latency";
/// Number of requests that got a complete answer within the service's objective.
inline constexpr std::string_view requestsGood = "requests_good";
inline constexpr std::string_view requestsTotal = "requests_total";
/// Number of messages without an effect: refusals, cancellations of tasks
/// that don't run, returned grants, late results.
inline constexpr std::string_view wastedMessages = "wasted_messages";
inline constexpr std::string_view taskStarts = "task_starts";
/// The time from a job's acceptance to the start of each of its tasks.
inline constexpr std::string_view queueWait = "queue_wait";
/// The ratio of a job's response time to the run time of its longest task. A ratio of 1 is recorded as one second.
inline constexpr std::string_view responseOverIdeal = "response_over_ideal";

} // namespace trefoilwing::metric
