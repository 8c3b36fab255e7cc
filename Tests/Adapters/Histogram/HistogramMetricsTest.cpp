#include "Adapters/Histogram/HistogramMetrics.h"
#include "Adapters/Histogram/PrometheusText.h"
#include "Ports/MetricNames.h"
#include "Support/FakeClock.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const MetricLabels loans { ServiceId("loans"), BackerId("dealers"), {} };

} // namespace

TEST_GROUP(HistogramMetrics)
{
    FakeClock clock { absl::FromUnixSeconds(1796382000) };
    HistogramMetrics metrics { clock };

    void checkText(const std::string& line)
    {
        const std::string text = prometheusText(metrics.snapshot());
        if (text.find(line) == std::string::npos)
            FAIL(("no '" + line + "' in:\n" + text).c_str());
    }
};

TEST(HistogramMetrics, PutsLatenciesIntoLogarithmicBuckets)
{
    for (int i = 0; i < 300; ++i)
        metrics.observe(metric::requestLatency, loans, absl::Milliseconds(20));
    metrics.observe(metric::requestLatency, loans, absl::Hours(1));
    metrics.observe(metric::requestLatency, loans, absl::Seconds(-1));
    const LatencySample sample = metrics.snapshot().latencies.at(0);
    LONGS_EQUAL(3, sample.buckets.size());
    LONGS_EQUAL(1, sample.buckets[0].count);
    LONGS_EQUAL(300, sample.buckets[1].count);
    CHECK_TRUE(sample.buckets[1].upper > absl::Milliseconds(20) && sample.buckets[1].upper < absl::Milliseconds(23));
    CHECK_TRUE(sample.buckets[2].upper == absl::InfiniteDuration());
    CHECK_TRUE(sample.sum == absl::Seconds(6) + absl::Hours(1));
}

TEST(HistogramMetrics, WritesPrometheusText)
{
    metrics.count(metric::taskStarts, { ServiceId("a\"b\\c\nd"), {}, TaskKindId("k") }, 3);
    metrics.set("slots", {}, 2.5);
    metrics.observe(metric::queueWait, loans, absl::Milliseconds(3));
    metrics.observe(metric::queueWait, loans, absl::Seconds(2));
    checkText("# TYPE trefoilwing_task_starts_total counter\n"
              "trefoilwing_task_starts_total{service=\"a\\\"b\\\\c\\nd\",kind=\"k\"} 3\n");
    checkText("# TYPE trefoilwing_slots gauge\ntrefoilwing_slots 2.5\n");
    checkText("trefoilwing_queue_wait_seconds_bucket{service=\"loans\",backer=\"dealers\",le=\"0.01\"} 1\n");
    checkText("trefoilwing_queue_wait_seconds_bucket{service=\"loans\",backer=\"dealers\",le=\"+Inf\"} 2\n");
    checkText("trefoilwing_queue_wait_seconds_sum{service=\"loans\",backer=\"dealers\"} 2.003\n");
}

TEST(HistogramMetrics, KeepsTheServiceLevelOfTheLatestIntervals)
{
    metrics.count(metric::requestsTotal, { loans.service, loans.backer, TaskKindId("check") }, 4);
    metrics.count(metric::requestsGood, loans, 3);
    clock.time += absl::Minutes(90);
    metrics.count(metric::requestsTotal, loans, 1);
    const std::vector<ServiceLevelSeries> levels = metrics.snapshot().serviceLevels;
    LONGS_EQUAL(2, levels.size());
    // The short intervals cover the latest hour, the long ones six hours.
    CHECK_TRUE((levels[0].intervals == std::vector<IntervalCount> { { (1796382000 + 5400) / 5, 0, 1 } }));
    CHECK_TRUE((levels[1].intervals == std::vector<IntervalCount> { { 1796382000 / 60, 3, 4 }, { (1796382000 + 5400) / 60, 0, 1 } }));
    clock.time += absl::Hours(6);
    CHECK_TRUE(metrics.snapshot().serviceLevels[1].intervals.empty());
}

TEST(HistogramMetrics, DropsAndCountsBeyondItsBound)
{
    HistogramMetrics small { clock, 1 };
    small.count("a", {}, 1);
    small.count("b", {}, 1);
    small.count("a", {}, 1);
    const MetricsSnapshot snapshot = small.snapshot();
    LONGS_EQUAL(1, snapshot.counters.size());
    LONGS_EQUAL(2, snapshot.counters[0].value);
    LONGS_EQUAL(1, snapshot.droppedValues);
}
