#pragma once

#include <string>
#include <utility>
#include <vector>

namespace trefoilwing {

/// One line of a chart.
struct SvgLine {
    std::string label;
    /// Points sorted by x. The line is interrupted where the gap exceeds SvgChart::maxGap.
    std::vector<std::pair<double, double>> points;
    bool isFilled = false;
};

/// A labelled horizontal line at a reference value.
struct SvgThreshold {
    std::string label;
    double value = 0;
};

/// A chart of lines over time, drawn as SVG.
struct SvgChart {
    std::string title;
    std::string yLabel;
    /// Range of x in hours relative to now; hours in the past are negative.
    double xMin = -1;
    double xMax = 0;
    double maxGap = 0.1;
    std::vector<SvgLine> lines;
    /// Thresholds above the end of the y axis aren't drawn.
    std::vector<SvgThreshold> thresholds;
};

/// @return the chart as an svg element.
std::string drawSvg(const SvgChart&);

/// @return the text with HTML's special characters escaped.
std::string escapeHtml(const std::string&);

} // namespace trefoilwing
