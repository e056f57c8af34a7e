// `make bench`: runs the suites, writes the report, prints it.
#include <CLI/CLI.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "report.h"
#include "suites.h"

int main(int argc, char** argv) {
  namespace benchmark = buckthorngate::benchmark;
  CLI::App app{"Benchmarks of buckthorngate."};
  bool quick = false;
  std::string report_file = "bench-report.json";
  std::string plots;
  std::string baseline = "benchmark/baseline.json";
  std::vector<std::string> suites = {"small", "mesh", "processes"};
  app.add_flag("--quick", quick, "A subset in about a minute");
  app.add_option("--report", report_file, "JSON report to write");
  app.add_option("--plots", plots, "Folder for plots of the slopes");
  app.add_option("--baseline", baseline, "Earlier report to show beside");
  app.add_option("--suites", suites, "small, mesh, processes")->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  const auto wanted = [&suites](const char* name) {
    return std::find(suites.begin(), suites.end(), name) != suites.end();
  };
  benchmark::Report report;
  if (wanted("small")) {
    benchmark::RunSmall(quick, report);
  }
  if (wanted("mesh")) {
    benchmark::RunMesh(quick, report);
  }
  if (wanted("processes")) {
    benchmark::RunProcesses(quick, report);
  }
  report.PrintTable(benchmark::ReadBaseline(baseline));
  bool written = report.WriteJson(report_file);
  if (!plots.empty()) {
    written = report.WritePlots(plots) && written;
  }
  return written && report.AllOk() ? 0 : 1;
}
