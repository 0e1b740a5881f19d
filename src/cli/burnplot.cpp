#include "cli/burnplot.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

using nlohmann::json;

namespace {

constexpr int LabelWidth = 220;
constexpr int BarWidth = 480;
constexpr int RowHeight = 22;

// Bars are cut off at this burn rate. A burn rate of 10 uses up a month's error budget in three days.
constexpr double MaxShownBurn = 10;

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string bar(int row, const std::string &label, double burn)
{
    const auto width = static_cast<int>(std::lround(std::min(burn, MaxShownBurn) / MaxShownBurn * BarWidth));
    const char *colour = burn < 1 ? "#3a7d44" : burn < MaxShownBurn ? "#d98e04" : "#b3261e";
    const int y = row * RowHeight;
    return fmt::format(
        "<text x=\"0\" y=\"{}\">{}</text><rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\"/><text x=\"{}\" y=\"{}\">{:.2f}</text>\n",
        y + 15,
        escaped(label),
        LabelWidth,
        y + 3,
        std::max(width, 1),
        RowHeight - 6,
        colour,
        LabelWidth + width + 6,
        y + 15,
        burn);
}

std::string windowChart(const json &report, std::size_t window)
{
    std::string bars;
    int row = 0;
    for (const auto &route : report.at("routes")) {
        const auto name = route.at("route").get<std::string>();
        const auto &figures = route.at("windows").at(window);
        bars += bar(row++, name + " failed", figures.at("availability_burn").get<double>());
        bars += bar(row++, name + " slow", figures.at("latency_burn").get<double>());
    }
    const int budgetLine = LabelWidth + static_cast<int>(BarWidth / MaxShownBurn);
    return fmt::format("<h2>Last {} minutes</h2>\n<svg width=\"{}\" height=\"{}\" role=\"img\">\n{}<line x1=\"{}\" y1=\"0\" x2=\"{}\" y2=\"{}\" "
                       "stroke=\"#555\" stroke-dasharray=\"3\"/>\n</svg>\n",
        report.at("windows_minutes").at(window).get<int>(),
        LabelWidth + BarWidth + 80,
        row * RowHeight,
        bars,
        budgetLine,
        budgetLine,
        row * RowHeight);
}

}

std::string burnPlot(const json &report)
{
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>Error budget burn rates</title>\n"
                       "<style>body{font:14px sans-serif;margin:2em}svg text{font:13px sans-serif}</style>\n<h1>Error budget burn rates</h1>\n";
    page += fmt::format("<p>Reports from {} nodes", report.at("nodes").get<std::size_t>());
    const auto missing = report.at("missing").size();
    page += missing == 0 ? "." : fmt::format("; <strong>{} nodes sent none</strong>, so the figures are partial.", missing);
    page += " The dashed line is a burn rate of 1: the error budget lasts exactly for the objective's period.</p>\n";
    for (std::size_t window = 0; window < report.at("windows_minutes").size(); ++window) {
        page += windowChart(report, window);
    }
    return page + "</html>\n";
}

}
