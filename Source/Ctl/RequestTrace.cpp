#include "Ctl/RequestTrace.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    struct OutcomeRow {
        std::string_view outcome;
        std::string_view meaning;
    };

    /// What the outcomes in job_answered mean for the caller.
    constexpr std::array<OutcomeRow, 8> outcomeRows { {
        { "completed", "all its tasks ended well" },
        { "failed", "a task failed as often as its route allows" },
        { "overloaded", "refused, and nothing of it ran: it could not end in time" },
        { "impossible", "refused, and nothing of it ran: no minion could ever hold its tasks" },
        { "given_up", "it had begun and could not end in time, or its owner went; its runs were stopped" },
        { "part_turned_down", "one cell turned its part down after another had begun; its runs were stopped" },
        { "owner_silent", "the owner of its cell was not heard any more; it may have run" },
        { "entry_stops", "its entry stopped; it may have run" },
    } };

    struct CauseRow {
        std::string_view event;
        std::string_view meaning;
    };

    /// Events on the way of a request that explain how it ended.
    constexpr std::array<CauseRow, 11> causeRows { {
        { "job_refused", "the entry refused it" },
        { "job_turned_down", "the owner turned it down" },
        { "job_given_up", "the owner gave it up" },
        { "job_orphaned", "the owner lost its entry and stopped it" },
        { "job_replaced", "it came again, and its earlier life was stopped" },
        { "job_moved", "its cell got another owner" },
        { "run_stalled", "a run stood still and was stopped" },
        { "task_failed", "a run failed" },
        { "start_failed", "a start failed" },
        { "lease_over", "its minion was out of reach until the lease was over" },
        { "minion_reborn", "its minion started again" },
    } };

} // namespace

RequestTrace::RequestTrace(std::string id)
    : id_(std::move(id))
    , jobs_ { id_ }
{
}

void RequestTrace::add(const LogLine& line)
{
    const std::string job = line.field("job");
    if (line.field("request").empty() && job.empty())
        return;
    if (line.field("request") == id_ && !job.empty())
        jobs_.insert(job);
    candidates_.push_back(line);
}

bool RequestTrace::concerns(const LogLine& line) const
{
    return line.field("request") == id_ || jobs_.contains(line.field("job"));
}

std::vector<LogLine> RequestTrace::lines() const
{
    std::vector<LogLine> lines;
    std::copy_if(candidates_.begin(), candidates_.end(), std::back_inserter(lines), [this](const LogLine& line) { return concerns(line); });
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.milliseconds < b.milliseconds; });
    return lines;
}

std::vector<std::string> RequestTrace::findings() const
{
    std::vector<std::string> findings;
    bool isAnswered = false;
    for (const LogLine& line : lines()) {
        const auto* cause = std::find_if(causeRows.begin(), causeRows.end(), [&](const CauseRow& row) { return row.event == line.event; });
        if (cause != causeRows.end()) {
            std::string text(cause->meaning);
            for (const char* detail : { "minion", "why", "reason" }) {
                if (const std::string value = line.field(detail); !value.empty())
                    absl::StrAppend(&text, ", ", detail, " ", value);
            }
            findings.push_back(std::move(text));
        }
        if (line.event == "job_abandoned")
            findings.emplace_back("the caller left before its answer");
        if (line.event != "job_answered")
            continue;
        isAnswered = true;
        const auto* outcome = std::find_if(outcomeRows.begin(), outcomeRows.end(), [&](const OutcomeRow& row) { return row.outcome == line.field("outcome"); });
        const std::string meaning = outcome == outcomeRows.end() ? line.field("outcome") : std::string(outcome->meaning);
        findings.push_back(absl::StrCat("answered after ", line.field("taken_ms"), " ms, ", line.field("late") == "yes" ? "late" : "in time", ": ", meaning));
    }
    if (!isAnswered && findings.empty())
        findings.emplace_back("no answer is in these logs: its entry stopped, or its lines are elsewhere");
    return findings;
}

} // namespace trefoilwing
