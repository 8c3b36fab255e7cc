#include "Ctl/SvgChart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoilwing {

namespace {

    constexpr double width = 860;
    constexpr double left = 64;
    constexpr double right = 16;
    constexpr double top = 36;
    constexpr double plotHeight = 190;
    constexpr double axisHeight = 40;
    constexpr double legendRowHeight = 18;
    constexpr size_t legendColumns = 4;

    // The colours of the Okabe-Ito palette, which people with colour blindness can distinguish.
    constexpr std::array<const char*, 7> colours { "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#444444" };

    const char* colourOf(size_t index)
    {
        return colours[index % colours.size()];
    }

    /// Maps values to coordinates in the drawing.
    class Scale {
    public:
        explicit Scale(const SvgChart& chart)
            : xMin_(chart.xMin)
            , xMax_(chart.xMax)
            , yStep_(niceStep(largestValue(chart) / 4))
            , yMax_(std::max(1.0, std::ceil(largestValue(chart) * 1.02 / yStep_)) * yStep_)
        {
        }

        double x(double value) const { return left + (value - xMin_) / (xMax_ - xMin_) * (width - left - right); }
        double y(double value) const { return top + plotHeight * (1 - value / yMax_); }
        double yStep() const { return yStep_; }
        double yMax() const { return yMax_; }

    private:
        /// Lower limit of the axis's upper end, so that a chart of small values doesn't magnify noise.
        static constexpr double minAxisTop = 1;

        static double largestValue(const SvgChart& chart)
        {
            double largest = minAxisTop;
            for (const SvgLine& line : chart.lines) {
                for (const auto& [x, y] : line.points)
                    largest = std::max(largest, y);
            }
            return largest;
        }

        /// @return the smallest step of 1, 2 or 5 times a power of ten that is at least the value.
        static double niceStep(double atLeast)
        {
            const double power = std::pow(10.0, std::floor(std::log10(atLeast)));
            for (const double factor : { 1.0, 2.0, 5.0 }) {
                if (factor * power >= atLeast)
                    return factor * power;
            }
            return 10 * power;
        }

        double xMin_;
        double xMax_;
        double yStep_;
        double yMax_;
    };

    void appendText(std::string& out, double x, double y, const char* anchor, const std::string& text, const char* style = "")
    {
        absl::StrAppend(&out, absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" %s>", x, y, anchor, style), escapeHtml(text), "</text>\n");
    }

    void appendRule(std::string& out, double x1, double y1, double x2, double y2, const char* style)
    {
        absl::StrAppend(&out, absl::StrFormat("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" %s/>\n", x1, y1, x2, y2, style));
    }

    std::string timeLabel(double hours)
    {
        if (hours > -1e-9)
            return "now";
        const auto minutes = static_cast<int>(std::lround(-hours * 60));
        return minutes % 60 == 0 ? absl::StrCat("-", minutes / 60, " h") : absl::StrCat("-", minutes, " min");
    }

    void appendAxes(std::string& out, const SvgChart& chart, const Scale& scale)
    {
        for (double value = 0; value <= scale.yMax() * 1.0001; value += scale.yStep()) {
            appendRule(out, left, scale.y(value), width - right, scale.y(value), "stroke=\"#e4e4e4\"");
            appendText(out, left - 8, scale.y(value) + 4, "end", absl::StrFormat("%.4g", value));
        }
        constexpr int parts = 6;
        for (int i = 0; i <= parts; ++i) {
            const double value = chart.xMin + (chart.xMax - chart.xMin) * i / parts;
            appendRule(out, scale.x(value), scale.y(0), scale.x(value), scale.y(0) + 5, "stroke=\"#888\"");
            appendText(out, scale.x(value), scale.y(0) + 19, i == parts ? "end" : "middle", timeLabel(value));
        }
        appendRule(out, left, scale.y(0), width - right, scale.y(0), "stroke=\"#888\"");
        appendText(out, left, 16, "start", chart.title, "class=\"title\"");
        appendText(out, width - right, 16, "end", chart.yLabel, "class=\"unit\"");
    }

    void appendThresholds(std::string& out, const SvgChart& chart, const Scale& scale)
    {
        for (const SvgThreshold& threshold : chart.thresholds) {
            if (threshold.value > scale.yMax())
                continue;
            appendRule(out, left, scale.y(threshold.value), width - right, scale.y(threshold.value), "stroke=\"#b00020\" stroke-dasharray=\"5 4\"");
            appendText(out, left + 6, scale.y(threshold.value) - 4, "start", threshold.label, "fill=\"#b00020\"");
        }
    }

    void appendLine(std::string& out, const SvgChart& chart, const SvgLine& line, const char* colour, const Scale& scale)
    {
        std::string path;
        std::string area;
        double first = 0;
        double last = -1e9;
        const auto closeArea = [&] {
            if (!path.empty())
                absl::StrAppend(&area, absl::StrFormat("L%.1f %.1fL%.1f %.1fZ", scale.x(last), scale.y(0), scale.x(first), scale.y(0)));
        };
        for (const auto& [x, y] : line.points) {
            const bool isBroken = x - last > chart.maxGap;
            if (isBroken) {
                closeArea();
                first = x;
            }
            const std::string step = absl::StrFormat("%c%.1f %.1f", isBroken ? 'M' : 'L', scale.x(x), scale.y(y));
            absl::StrAppend(&path, step);
            absl::StrAppend(&area, step);
            last = x;
        }
        closeArea();
        if (line.isFilled)
            absl::StrAppend(&out, "<path d=\"", area, "\" fill=\"", colour, "\" fill-opacity=\"0.25\" stroke=\"none\"/>\n");
        // A round cap makes an isolated point visible.
        absl::StrAppend(&out, "<path d=\"", path, "\" fill=\"none\" stroke=\"", colour, "\" stroke-width=\"1.8\" stroke-linecap=\"round\" stroke-linejoin=\"round\"/>\n");
    }

    void appendLegend(std::string& out, const SvgChart& chart)
    {
        const double column = (width - left - right) / legendColumns;
        for (size_t i = 0; i < chart.lines.size(); ++i) {
            const size_t row = i / legendColumns;
            const double x = left + column * static_cast<double>(i % legendColumns);
            const double y = top + plotHeight + axisHeight + legendRowHeight * static_cast<double>(row);
            const std::string style = absl::StrCat("stroke=\"", colourOf(i), "\" stroke-width=\"3\"");
            appendRule(out, x, y - 4, x + 18, y - 4, style.c_str());
            appendText(out, x + 24, y, "start", chart.lines[i].label);
        }
    }

} // namespace

std::string escapeHtml(const std::string& text)
{
    return absl::StrReplaceAll(text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

std::string drawSvg(const SvgChart& chart)
{
    const Scale scale(chart);
    const size_t legendRows = (chart.lines.size() + legendColumns - 1) / legendColumns;
    const double height = top + plotHeight + axisHeight + legendRowHeight * static_cast<double>(legendRows);
    std::string out = absl::StrFormat("<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"", width, height);
    absl::StrAppend(&out, escapeHtml(chart.title), "\">\n");
    appendAxes(out, chart, scale);
    for (size_t i = 0; i < chart.lines.size(); ++i)
        appendLine(out, chart, chart.lines[i], colourOf(i), scale);
    appendThresholds(out, chart, scale);
    appendLegend(out, chart);
    absl::StrAppend(&out, "</svg>\n");
    return out;
}

} // namespace trefoilwing
