#include "Ctl/MetricsMerge.h"
#include "Ctl/ReportHtml.h"
#include "Ctl/ReportText.h"
#include "Ctl/SvgChart.h"
#include "Ports/MetricNames.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const ServiceId loans("loans");
const BackerId dealers("dealers");

const Configuration configuration { ConfigurationVersion(4),
    { { loans,
        { { dealers, 1, DataCentreId("songino") }, { BackerId("bank"), 1, DataCentreId("songino") } },
        { { TaskKindId("review"), absl::Seconds(5), false, {} }, { TaskKindId("check"), absl::Milliseconds(80), true, {} } },
        absl::Seconds(15), absl::Hours(1), 100, Bytes(1000), { 0.99, absl::Seconds(2) } } } };

} // namespace

TEST_GROUP(ServiceLevelReport)
{
    MetricsSnapshot metrics;

    void setup() override
    {
        metrics.at = absl::FromUnixSeconds(1796382000);
    }

    int64_t minute(int before) const
    {
        return absl::ToUnixSeconds(metrics.at) / 60 - before;
    }

    void addMinutes(const BackerId& backer, const std::vector<IntervalCount>& intervals)
    {
        metrics.serviceLevels.push_back({ loans, backer, absl::Minutes(1), intervals });
    }

    const ServiceLevelRow& row(const ServiceLevelReport& report, const BackerId& backer)
    {
        for (const ServiceLevelRow& each : report.rows) {
            if (each.backer == backer)
                return each;
        }
        FAIL("no such row");
        return report.rows.front();
    }
};

TEST(ServiceLevelReport, ComputesBurnRatesOfEachWindow)
{
    addMinutes(dealers, { { minute(300), 1000, 1000 }, { minute(30), 90, 100 }, { minute(1), 80, 100 } });
    addMinutes(BackerId("bank"), { { minute(1), 100, 100 } });
    const ServiceLevelReport report = makeReport(configuration, metrics);
    const ServiceLevelRow& all = row(report, BackerId());
    DOUBLES_EQUAL(10, all.windows[0].rate, 1e-9);
    const ServiceLevelRow& one = row(report, dealers);
    DOUBLES_EQUAL(20, one.windows[0].rate, 1e-9);
    DOUBLES_EQUAL(15, one.windows[1].rate, 1e-9);
    DOUBLES_EQUAL(2.5, one.windows[2].rate, 1e-9);
    DOUBLES_EQUAL(2.5, one.budgetBurnt, 1e-9);
    CHECK_TRUE(one.alert == AlertState::Page);
    CHECK_TRUE(row(report, BackerId("bank")).alert == AlertState::Quiet);
}

TEST(ServiceLevelReport, AlertsOnlyWhileBothWindowsExceedTheRate)
{
    addMinutes(dealers, { { minute(30), 50, 100 }, { minute(1), 100, 100 } });
    addMinutes(BackerId("bank"), { { minute(200), 80, 100 }, { minute(30), 90, 100 } });
    const ServiceLevelReport report = makeReport(configuration, metrics);
    // The burn rate is high over the last hour but not over the last 5 min, so it doesn't page; over 6 h it still warns.
    CHECK_TRUE(row(report, dealers).alert == AlertState::Warning);
    CHECK_TRUE(row(report, BackerId("bank")).alert == AlertState::Warning);
}

TEST(ServiceLevelReport, ShowsPeakShareAndShortTaskWait)
{
    metrics.serviceLevels.push_back({ loans, dealers, absl::Seconds(5), { { 100, 10, 10 }, { 101, 60, 100 }, { 102, 80, 80 }, { 103, 0, 20 } } });
    const MetricLabels check { loans, dealers, TaskKindId("check") };
    const MetricLabels review { loans, dealers, TaskKindId("review") };
    metrics.latencies = {
        { std::string(metric::queueWait), check, {}, { { absl::Milliseconds(1), 99 }, { absl::Milliseconds(2), 1 } } },
        { std::string(metric::queueWait), review, {}, { { absl::Seconds(9), 500 } } },
        { std::string(metric::responseOverIdeal), check, {}, { { absl::Milliseconds(1250), 10 } } },
    };
    metrics.counters = { { std::string(metric::taskStarts), check, 200 }, { std::string(metric::wastedMessages), { loans, {}, {} }, 10 } };
    const ServiceLevelReport report = makeReport(configuration, mergeSnapshots({ metrics, metrics }));
    const ServiceLevelRow& one = row(report, dealers);
    DOUBLES_EQUAL(140.0 / 180, one.peakShare.value_or(0), 1e-9);
    CHECK_TRUE(one.shortWaitP99 == absl::Milliseconds(1));
    DOUBLES_EQUAL(1.25, one.responseOverIdealP50.value_or(0), 1e-9);
    // Messages without a backer count only in the service's row.
    DOUBLES_EQUAL(0, one.wastedMessagesPerTask.value_or(-1), 1e-9);
    DOUBLES_EQUAL(0.05, row(report, BackerId()).wastedMessagesPerTask.value_or(0), 1e-9);
}

TEST(ServiceLevelReport, WritesTextAndASelfContainedPage)
{
    addMinutes(dealers, { { minute(1), 80, 100 } });
    const ServiceLevelReport report = makeReport(configuration, metrics);
    std::ostringstream text;
    writeReportText(report, text);
    CHECK_TRUE(text.str().find("loans    dealers  99% in 2s  100          2000%         20       20  20  page") != std::string::npos);
    const std::string page = reportHtml(report);
    CHECK_TRUE(page.find("<td class=\"page\">page</td>") != std::string::npos);
    CHECK_TRUE(page.find("http") == std::string::npos);
    STRCMP_EQUAL("&lt;a &amp; &quot;b&quot;&gt;", escapeHtml("<a & \"b\">").c_str());
    // A report can be written without any measurements.
    CHECK_TRUE(reportHtml(makeReport(configuration, MetricsSnapshot())).find("nan") == std::string::npos);
}

TEST(ServiceLevelReport, AChartOfZerosHasAPlainAxis)
{
    SvgChart chart;
    chart.lines = { { "all", { { -0.5, 0 }, { 0, 0 } }, false } };
    const std::string svg = drawSvg(chart);
    CHECK(svg.find("e-0") == std::string::npos);
    CHECK(svg.find("e-1") == std::string::npos);
}
