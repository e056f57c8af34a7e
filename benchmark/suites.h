// The suites that `bench` runs.
#ifndef BENCHMARK_SUITES_H_
#define BENCHMARK_SUITES_H_

#include "report.h"

namespace buckthorngate::benchmark {

// Costs of single decisions at growing sizes, by Google Benchmark.
void RunSmall(bool quick, Report& report);
// The control path on virtual time: convergence, bytes, herds, moves, retries.
void RunMesh(bool quick, Report& report);
// The project's own processes on loopback.
void RunProcesses(bool quick, Report& report);

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_SUITES_H_
