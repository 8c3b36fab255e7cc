#pragma once

#include <string>
#include <utility>
#include <vector>

namespace trefoilwing {

/// One line of a chart.
struct SvgLine {
    std::string label;
    /// Points by rising x; a gap of more than SvgChart::maxGap breaks the line.
    std::vector<std::pair<double, double>> points;
    bool isFilled = false;
};

/// A horizontal line that a chart's values are compared with.
struct SvgThreshold {
    std::string label;
    double value = 0;
};

/// A chart of lines over time, drawn as SVG.
struct SvgChart {
    std::string title;
    std::string yLabel;
    /// The range of x, in hours before now as negative numbers.
    double xMin = -1;
    double xMax = 0;
    double maxGap = 0.1;
    std::vector<SvgLine> lines;
    /// Only those within the range of the values are drawn.
    std::vector<SvgThreshold> thresholds;
};

/// @return the chart as an svg element.
std::string drawSvg(const SvgChart&);

/// @return the text with the characters replaced that mean something in HTML.
std::string escapeHtml(const std::string&);

} // namespace trefoilwing
