#include "Adapters/Histogram/PrometheusText.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <cmath>

namespace trefoilwing {

namespace {

    const std::string prefix = "trefoilwing_";

    std::string label(const char* name, const std::string& value)
    {
        return absl::StrCat(name, "=\"", absl::StrReplaceAll(value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } }), "\"");
    }

    /// @param extra one more label, already formatted, or empty.
    std::string labelSet(const MetricLabels& labels, const std::string& extra = "")
    {
        std::string set;
        const auto append = [&](const std::string& text) { absl::StrAppend(&set, set.empty() ? "" : ",", text); };
        if (!labels.service.value().empty())
            append(label("service", labels.service.value()));
        if (!labels.backer.value().empty())
            append(label("backer", labels.backer.value()));
        if (!labels.kind.value().empty())
            append(label("kind", labels.kind.value()));
        if (!extra.empty())
            append(extra);
        return set.empty() ? "" : absl::StrCat("{", set, "}");
    }

    /// @return the name with the prefix and the suffix "_total", which counters have by convention.
    std::string counterName(const std::string& name)
    {
        const std::string suffix = name.ends_with("_total") ? "" : "_total";
        return absl::StrCat(prefix, name, suffix);
    }

    /// Writes the TYPE line of a metric unless the previous sample belongs to the same metric.
    void beginFamily(std::string& out, std::string& last, const std::string& name, const char* type)
    {
        if (last == name)
            return;
        last = name;
        absl::StrAppend(&out, "# TYPE ", name, " ", type, "\n");
    }

    void appendHistogram(std::string& out, const std::string& name, const LatencySample& sample)
    {
        // The bounds are 10^(quarter / 4) seconds.
        constexpr int firstQuarter = -16; // 100 us
        constexpr int lastQuarter = 12; // 1000 s
        // The upper ends of the buckets are subject to rounding, so a bound includes those that end within 0.1 % of it.
        constexpr double tolerance = 1.001;
        uint64_t cumulative = 0;
        auto bucket = sample.buckets.begin();
        for (int quarter = firstQuarter; quarter <= lastQuarter; ++quarter) {
            const double bound = std::pow(10.0, quarter / 4.0);
            for (; bucket != sample.buckets.end() && absl::ToDoubleSeconds(bucket->upper) <= bound * tolerance; ++bucket)
                cumulative += bucket->count;
            absl::StrAppend(&out, name, "_bucket", labelSet(sample.labels, label("le", absl::StrCat(bound))), " ", cumulative, "\n");
        }
        for (; bucket != sample.buckets.end(); ++bucket)
            cumulative += bucket->count;
        absl::StrAppend(&out, name, "_bucket", labelSet(sample.labels, label("le", "+Inf")), " ", cumulative, "\n");
        absl::StrAppend(&out, name, "_sum", labelSet(sample.labels), " ", absl::ToDoubleSeconds(sample.sum), "\n");
        absl::StrAppend(&out, name, "_count", labelSet(sample.labels), " ", cumulative, "\n");
    }

} // namespace

std::string prometheusText(const MetricsSnapshot& snapshot)
{
    std::string out;
    std::string last;
    for (const CounterSample& sample : snapshot.counters) {
        const std::string name = counterName(sample.name);
        beginFamily(out, last, name, "counter");
        absl::StrAppend(&out, name, labelSet(sample.labels), " ", sample.value, "\n");
    }
    for (const GaugeSample& sample : snapshot.gauges) {
        const std::string name = absl::StrCat(prefix, sample.name);
        beginFamily(out, last, name, "gauge");
        absl::StrAppend(&out, name, labelSet(sample.labels), " ", sample.value, "\n");
    }
    for (const LatencySample& sample : snapshot.latencies) {
        const std::string name = absl::StrCat(prefix, sample.name, "_seconds");
        beginFamily(out, last, name, "histogram");
        appendHistogram(out, name, sample);
    }
    const std::string dropped = absl::StrCat(prefix, "dropped_values_total");
    beginFamily(out, last, dropped, "counter");
    absl::StrAppend(&out, dropped, " ", snapshot.droppedValues, "\n");
    return out;
}

} // namespace trefoilwing
