// Report of benchmarks.
#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace buckthorngate::benchmark {
namespace {

constexpr double kPlotWidth = 480.0;
constexpr double kPlotHeight = 320.0;
constexpr double kPlotMargin = 60.0;

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

// Position of `value` on a logarithmic axis from `low` to `high`.
double LogPosition(double value, double low, double high, double length) {
  if (high <= low) {
    return length / 2;
  }
  return (std::log(value) - std::log(low)) / (std::log(high) - std::log(low)) *
         length;
}

std::string PlotSvg(const Slope& slope) {
  double least_x = slope.points_.front().first;
  double most_x = slope.points_.back().first;
  double least_y = slope.points_.front().second;
  double most_y = least_y;
  for (const auto& [x, y] : slope.points_) {
    least_y = std::min(least_y, y);
    most_y = std::max(most_y, y);
  }
  least_y = std::max(least_y, 1e-9);
  most_y = std::max(most_y, least_y);
  std::string line;
  std::string marks;
  for (const auto& [x, y] : slope.points_) {
    const double px = kPlotMargin + LogPosition(x, least_x, most_x,
                                                kPlotWidth - 2 * kPlotMargin);
    const double py = kPlotHeight - kPlotMargin -
                      LogPosition(std::max(y, 1e-9), least_y, most_y,
                                  kPlotHeight - 2 * kPlotMargin);
    line += Number(px) + "," + Number(py) + " ";
    marks += "<circle cx='" + Number(px) + "' cy='" + Number(py) +
             "' r='3'/><text x='" + Number(px) + "' y='" + Number(py - 8) +
             "' text-anchor='middle'>" + Number(y) + "</text><text x='" +
             Number(px) + "' y='" + Number(kPlotHeight - kPlotMargin + 18) +
             "' text-anchor='middle'>" + Number(x) + "</text>";
  }
  return "<svg xmlns='http://www.w3.org/2000/svg' width='" +
         Number(kPlotWidth) + "' height='" + Number(kPlotHeight) +
         "' font-family='sans-serif' font-size='11'>"
         "<rect width='100%' height='100%' fill='white'/>"
         "<text x='20' y='20' font-size='14'>" +
         slope.name_ + " (" + slope.value_unit_ + " against " +
         slope.size_unit_ + ", both logarithmic; exponent " +
         Number(slope.Exponent()) + ")</text><polyline points='" + line +
         "' fill='none' stroke='steelblue' stroke-width='2'/>" + marks +
         "</svg>\n";
}

}  // namespace

bool Metric::Ok() const {
  if (!bound_) {
    return true;
  }
  return better_ == Better::kLower ? value_ <= *bound_ : value_ >= *bound_;
}

double Slope::Exponent() const {
  double sum_x = 0.0;
  double sum_y = 0.0;
  double sum_xx = 0.0;
  double sum_xy = 0.0;
  for (const auto& [x, y] : points_) {
    const double log_x = std::log(x);
    const double log_y = std::log(std::max(y, 1e-9));
    sum_x += log_x;
    sum_y += log_y;
    sum_xx += log_x * log_x;
    sum_xy += log_x * log_y;
  }
  const double n = static_cast<double>(points_.size());
  const double spread = n * sum_xx - sum_x * sum_x;
  return spread == 0.0 ? 0.0 : (n * sum_xy - sum_x * sum_y) / spread;
}

void Report::Add(Metric metric) {
  metrics_.push_back(std::move(metric));
}

void Report::Add(Slope slope) {
  for (const auto& [size, value] : slope.points_) {
    Metric metric;
    metric.name_ = slope.name_ + "@" + Number(size);
    metric.value_ = value;
    metric.unit_ = slope.value_unit_;
    metrics_.push_back(std::move(metric));
  }
  Metric exponent;
  exponent.name_ = slope.name_ + "_exponent";
  exponent.value_ = slope.Exponent();
  exponent.unit_ = "power of " + slope.size_unit_;
  metrics_.push_back(std::move(exponent));
  slopes_.push_back(std::move(slope));
}

bool Report::WriteJson(const std::string& file) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const Metric& metric : metrics_) {
    rows.push_back(
        {{"name", metric.name_},
         {"value", metric.value_},
         {"unit", metric.unit_},
         {"bound", metric.bound_ ? nlohmann::json(*metric.bound_)
                                 : nlohmann::json(nullptr)},
         {"better", metric.better_ == Better::kLower ? "lower" : "higher"},
         {"ok", metric.Ok()}});
  }
  std::ofstream stream(file);
  stream << rows.dump(1) << "\n";
  return stream.good();
}

void Report::PrintTable(const std::map<std::string, double>& baseline) const {
  std::printf("%-44s %14s %-18s %12s %12s %s\n", "name", "value", "unit",
              "bound", "before", "ok");
  for (const Metric& metric : metrics_) {
    const auto before = baseline.find(metric.name_);
    std::printf("%-44s %14.5g %-18s %12s %12s %s\n", metric.name_.c_str(),
                metric.value_, metric.unit_.c_str(),
                metric.bound_ ? Number(*metric.bound_).c_str() : "-",
                before == baseline.end() ? "-" : Number(before->second).c_str(),
                metric.Ok() ? "ok" : "MISS");
  }
}

bool Report::WritePlots(const std::string& folder) const {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  bool written = !error;
  for (const Slope& slope : slopes_) {
    std::ofstream stream(folder + "/" + slope.name_ + ".svg");
    stream << PlotSvg(slope);
    written = written && stream.good();
  }
  return written;
}

bool Report::AllOk() const {
  return std::all_of(metrics_.begin(), metrics_.end(),
                     [](const Metric& metric) { return metric.Ok(); });
}

std::map<std::string, double> ReadBaseline(const std::string& file) {
  std::map<std::string, double> values;
  std::ifstream stream(file);
  const nlohmann::json rows =
      nlohmann::json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!rows.is_array()) {
    return values;
  }
  for (const nlohmann::json& row : rows) {
    values[row.value("name", "")] = row.value("value", 0.0);
  }
  return values;
}

}  // namespace buckthorngate::benchmark
