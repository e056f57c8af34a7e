// What a scheduler that knows all arrivals and their work beforehand achieves.
#ifndef BENCHMARK_OVERLOAD_ORACLE_H_
#define BENCHMARK_OVERLOAD_ORACLE_H_

#include <vector>

#include "overload_model.h"

namespace buckthorngate::benchmark {

// Value of a schedule of these arrivals, in the unit of ValueOf, for one
// service without nested calls and without slow episodes. Requests are placed
// in the order of their value per unit of work, each on the fastest endpoint
// that has room within its objective, else within its deadline. A request may
// be interrupted, so that the schedule is at least as good as one that runs
// each at a stretch.
double OracleValue(const ModelOptions& options,
                   const std::vector<ModelArrival>& arrivals);

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_OVERLOAD_ORACLE_H_
