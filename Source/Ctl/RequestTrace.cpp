#include "Ctl/RequestTrace.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    struct OutcomeMeaning {
        std::string_view outcome;
        std::string_view meaning;
    };

    /// The meaning of each outcome in job_answered for the caller.
    constexpr std::array<OutcomeMeaning, 8> outcomeMeanings { {
        { "completed", "all its tasks succeeded" },
        { "failed", "a task failed as often as its route allows" },
        { "overloaded", "rejected, and none of its tasks ran: it could not end before its deadline" },
        { "impossible", "rejected, and none of its tasks ran: no minion has the capacity for its tasks" },
        { "given_up", "it had started and was stopped: it could not end before its deadline, its entry was lost, or it was submitted again" },
        { "part_turned_down", "one cell rejected its part after another had started; its runs were stopped" },
        { "owner_silent", "the owner of its cell became unreachable or sent no result by the deadline; it may have run" },
        { "entry_stops", "its entry stopped; it may have run" },
    } };

    struct EventMeaning {
        std::string_view event;
        std::string_view meaning;
    };

    /// Events that explain the outcome of a request.
    constexpr std::array<EventMeaning, 14> eventMeanings { {
        { "job_refused", "the entry rejected it" },
        { "job_turned_down", "the owner rejected it" },
        { "job_given_up", "the owner stopped it, because it could not end in time" },
        { "job_orphaned", "its entry was lost, and the owner stopped it" },
        { "job_replaced", "it was submitted again, and the earlier job was stopped" },
        { "job_moved", "its cell got another owner" },
        { "job_offered_again", "a cell rejected it or a part of it, which was offered to another cell" },
        { "offer_rejected", "an entry that did not own its cell rejected an offer of it" },
        { "result_ignored", "a result came for an offer that was no longer open" },
        { "run_stalled", "a run made no progress and was stopped" },
        { "task_failed", "a run failed" },
        { "start_failed", "a start failed" },
        { "lease_over", "its minion was unreachable until the lease expired" },
        { "minion_reborn", "its minion restarted" },
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

bool RequestTrace::belongsToRequest(const LogLine& line) const
{
    return line.field("request") == id_ || jobs_.contains(line.field("job"));
}

std::vector<LogLine> RequestTrace::lines() const
{
    std::vector<LogLine> lines;
    std::copy_if(candidates_.begin(), candidates_.end(), std::back_inserter(lines), [this](const LogLine& line) { return belongsToRequest(line); });
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.milliseconds < b.milliseconds; });
    return lines;
}

std::vector<std::string> RequestTrace::findings() const
{
    std::vector<std::string> findings;
    bool isAnswered = false;
    for (const LogLine& line : lines()) {
        const auto* cause = std::find_if(eventMeanings.begin(), eventMeanings.end(), [&](const EventMeaning& row) { return row.event == line.event; });
        if (cause != eventMeanings.end()) {
            std::string text(cause->meaning);
            for (const char* detail : { "minion", "why", "reason" }) {
                if (const std::string value = line.field(detail); !value.empty())
                    absl::StrAppend(&text, ", ", detail, " ", value);
            }
            findings.push_back(std::move(text));
        }
        if (line.event == "job_abandoned")
            findings.emplace_back("the caller disconnected before the answer");
        if (line.event != "job_answered")
            continue;
        isAnswered = true;
        const auto* outcome = std::find_if(outcomeMeanings.begin(), outcomeMeanings.end(), [&](const OutcomeMeaning& row) { return row.outcome == line.field("outcome"); });
        const std::string meaning = outcome == outcomeMeanings.end() ? line.field("outcome") : std::string(outcome->meaning);
        findings.push_back(absl::StrCat("answered after ", line.field("taken_ms"), " ms, ", line.field("late") == "yes" ? "late" : "in time", ": ", meaning));
    }
    if (!isAnswered && findings.empty())
        findings.emplace_back("these logs contain no answer: its entry stopped, or its lines are in another log file");
    return findings;
}

} // namespace trefoilwing
