// Prints the table of the experiment with moves.
#include <cstdio>
#include <cstdlib>

#include "move_experiment.h"

int main(int argc, char** argv) {
  using buckthorngate::rollout::PolicyKind;
  namespace benchmark = buckthorngate::benchmark;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 200;
  std::printf("%-11s %-10s %-19s %5s %8s %10s %10s %9s %9s %8s\n", "policy",
              "deployment", "kind", "runs", "in time", "taken back",
              "mean expo", "most expo", "share", "after s");
  for (const benchmark::MoveSummary& summary : benchmark::RunExperiment(
           seeds, {PolicyKind::kTimer, PolicyKind::kThreshold,
                   PolicyKind::kSequential})) {
    std::printf(
        "%-11s %-10s %-19s %5d %8d %10d %9.2f%% %8.2f%% %8.1f%% %8.2f\n",
        benchmark::NameOf(summary.policy_), summary.deployment_.c_str(),
        benchmark::NameOf(summary.kind_), summary.runs_, summary.done_in_time_,
        summary.taken_back_, summary.mean_exposure_ * 100.0,
        summary.most_exposure_ * 100.0, summary.most_share_permille_ / 10.0,
        static_cast<double>(summary.most_after_evidence_.count()) / 1e6);
  }
  return 0;
}
