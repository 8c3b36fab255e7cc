#pragma once

#include "Model/BrokerMessages.h"
#include "Model/MinionMessages.h"
#include "Model/Submission.h"
#include "Ports/Metrics.h"

#include <absl/time/time.h>

#include <map>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// A job whose outcome is known.
struct DecidedJob {
    SubmissionKey submission;
    JobOutcome outcome;
    absl::Duration responseTime;
};

/// A measured value for the metrics port.
struct MetricSample {
    enum class Form {
        Count,
        Latency,
    };

    Form form = Form::Count;
    std::string_view name;
    MetricLabels labels;
    uint64_t amount = 0;
    absl::Duration latency;
};

/// Messages, outcomes and samples produced by a service's dispatcher, to be delivered by its shard.
struct DispatchEffects {
    std::map<MinionId, std::vector<TaskStart>> starts;
    std::map<MinionId, std::vector<CancelOrder>> cancels;
    std::vector<DecidedJob> decided;
    std::vector<Demand> demands;
    std::vector<SlotReport> reports;
    std::vector<MetricSample> samples;

    bool empty() const
    {
        return starts.empty() && cancels.empty() && decided.empty() && demands.empty() && reports.empty() && samples.empty();
    }
};

} // namespace trefoilwing
