// Per-service state of a daemon, and its metrics of retries and moves.
#include "blackboard/blackboard.h"

#include <utility>

#include "base/hash.h"
#include "base/random.h"

namespace buckthorngate::blackboard {

Blackboard::Blackboard(uint64_t seed, base::MonoTime started)
    : view_(std::make_shared<const request::MeshView>()),
      seed_(seed),
      started_(started),
      services_(std::make_shared<const ServiceMap>()) {}

ServiceRuntimeState& Blackboard::Service(const std::string& name) {
  const std::shared_ptr<const ServiceMap> services = services_.Read();
  const auto found = services->find(name);
  if (found != services->end()) {
    return *found->second;
  }
  const std::lock_guard<std::mutex> lock(services_writer_);
  std::shared_ptr<ServiceMap> next =
      std::make_shared<ServiceMap>(*services_.Read());
  std::shared_ptr<ServiceRuntimeState>& state = (*next)[name];
  if (state == nullptr) {
    // Derived from the seed, so that the rounding is the same after a restart:
    // a new draw at each restart would be another chance for a larger budget.
    base::Random random(base::Hash(name, seed_));
    state = std::make_shared<ServiceRuntimeState>(random.Unit(), started_);
  }
  ServiceRuntimeState& result = *state;
  services_.Publish(std::move(next));
  return result;
}

std::string Blackboard::RenderMoves() {
  std::string out = "# TYPE buckthorngate_move_calls gauge\n";
  const std::shared_ptr<const ServiceMap> services = services_.Read();
  for (const auto& [name, state] : *services) {
    const std::string line = "buckthorngate_move_calls{service=\"" + name;
    out += line + "\",version=\"all\"} " +
           std::to_string(state->exposure_.Calls()) + "\n";
    out += line + "\",version=\"new\"} " +
           std::to_string(state->exposure_.NewVersionCalls()) + "\n";
  }
  return out;
}

std::string Blackboard::RenderRetries() {
  using Count = std::atomic<uint64_t> RetryCounts::*;
  constexpr std::pair<const char*, Count> kCounts[] = {
      {"first-try", &RetryCounts::first_tries_},
      {"below-retry", &RetryCounts::below_retry_},
      {"after-run", &RetryCounts::after_run_},
      {"after-refusal", &RetryCounts::after_refusal_},
      {"unsent", &RetryCounts::unsent_},
      {"denied", &RetryCounts::denied_},
  };
  std::string out = "# TYPE buckthorngate_tries_total counter\n";
  const std::shared_ptr<const ServiceMap> services = services_.Read();
  for (const auto& [name, state] : *services) {
    for (const auto& [kind, count] : kCounts) {
      out += "buckthorngate_tries_total{service=\"" + name + "\",kind=\"" +
             kind + "\"} " +
             std::to_string((state->retry_counts_.*count).load()) + "\n";
    }
  }
  return out;
}

std::string Blackboard::RenderBehind() const {
  const std::chrono::duration<double> seconds = BehindFor();
  return "# TYPE buckthorngate_revision_behind_seconds gauge\n"
         "buckthorngate_revision_behind_seconds " +
         std::to_string(seconds.count()) + "\n";
}

}  // namespace buckthorngate::blackboard
