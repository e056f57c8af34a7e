// The report of `make bench`: metrics with bounds, as JSON, table and plots.
#ifndef BENCHMARK_REPORT_H_
#define BENCHMARK_REPORT_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthorngate::benchmark {

enum class Better : uint8_t { kLower, kHigher };

struct Metric {
  std::string name_;
  double value_ = 0.0;
  std::string unit_;
  // Nothing: measured for its slope, without a bound.
  std::optional<double> bound_;
  Better better_ = Better::kLower;

  bool Ok() const;
};

// Values of one cost at growing sizes.
struct Slope {
  std::string name_;
  std::string size_unit_;
  std::string value_unit_;
  std::vector<std::pair<double, double>> points_;

  // Least-squares exponent of value against size: 1 is linear.
  double Exponent() const;
};

class Report {
 public:
  void Add(Metric metric);
  void Add(Slope slope);

  // Array of {name, value, unit, bound, better, ok}.
  bool WriteJson(const std::string& file) const;
  void PrintTable(const std::map<std::string, double>& baseline) const;
  // One SVG for each slope.
  bool WritePlots(const std::string& folder) const;
  bool AllOk() const;

 private:
  std::vector<Metric> metrics_;
  std::vector<Slope> slopes_;
};

// Values of an earlier report by name; empty if there is none.
std::map<std::string, double> ReadBaseline(const std::string& file);

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_REPORT_H_
