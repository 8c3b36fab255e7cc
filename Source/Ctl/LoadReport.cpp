#include "Ctl/LoadReport.h"

#include "Ctl/ReportText.h"
#include "Ctl/TextTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <map>

namespace trefoilwing {

namespace {

    /// The aggregated results behind one row of the table.
    struct ResultGroup {
        std::vector<double> responses;
        std::vector<double> responsesOverIdeal;
        std::vector<double> waits;
        size_t sent = 0;
        size_t withinObjective = 0;
        size_t failed = 0;

        void add(const LoadResult& result)
        {
            ++sent;
            if (result.error) {
                ++failed;
                return;
            }
            responses.push_back(absl::ToDoubleSeconds(result.response));
            responsesOverIdeal.push_back(absl::FDivDuration(result.response, result.item->ideal));
            waits.push_back(absl::ToDoubleSeconds(std::max(result.response - result.item->ideal, absl::ZeroDuration())));
            withinObjective += result.response <= result.item->objective.within ? 1 : 0;
        }
    };

    std::optional<double> percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return std::nullopt;
        std::sort(values.begin(), values.end());
        return values[std::min(static_cast<size_t>(share * static_cast<double>(values.size())), values.size() - 1)];
    }

    std::string secondsText(const std::optional<double>& seconds)
    {
        return seconds ? durationText(absl::Seconds(*seconds)) : "-";
    }

    void writeGroups(const char* heading, const std::vector<LoadResult>& results, const std::function<std::string(const LoadItem&)>& nameOf, std::ostream& out)
    {
        std::map<std::string, ResultGroup> groups;
        for (const LoadResult& result : results)
            groups[nameOf(*result.item)].add(result);
        TextTable table({ heading, "SENT", "FAILED", "IN OBJECTIVE", "p50", "p95", "p99", "OVER IDEAL p50", "p99", "WAIT p99" });
        for (const auto& [name, group] : groups) {
            table.add({ name, absl::StrCat(group.sent), absl::StrCat(group.failed), percentText(static_cast<double>(group.withinObjective) / static_cast<double>(group.sent)),
                secondsText(percentile(group.responses, 0.5)), secondsText(percentile(group.responses, 0.95)), secondsText(percentile(group.responses, 0.99)),
                ratioText(percentile(group.responsesOverIdeal, 0.5)), ratioText(percentile(group.responsesOverIdeal, 0.99)), secondsText(percentile(group.waits, 0.99)) });
        }
        out << table << "\n";
    }

    void writeFailures(const std::vector<LoadResult>& results, std::ostream& out)
    {
        std::map<std::pair<std::string, std::string>, size_t> failures;
        for (const LoadResult& result : results) {
            if (result.error)
                ++failures[{ std::string(errorCodeName(result.error->code)), std::string(verdictName(result.error->verdict)) }];
        }
        TextTable table({ "FAILURE", "VERDICT", "COUNT" });
        for (const auto& [key, count] : failures)
            table.add({ key.first, key.second, absl::StrCat(count) });
        if (!failures.empty())
            out << table;
    }

} // namespace

void writeLoadReport(const std::vector<LoadResult>& results, std::ostream& out)
{
    writeGroups(
        "BACKER", results, [](const LoadItem& item) { return absl::StrCat(item.service.value(), " / ", item.backer.value()); }, out);
    // Comparing the waits of short and long kinds shows head-of-line blocking.
    writeGroups(
        "KIND", results, [](const LoadItem& item) { return absl::StrCat(item.service.value(), " / ", item.kind.value(), item.isJob ? " (jobs)" : ""); }, out);
    writeFailures(results, out);
}

} // namespace trefoilwing
