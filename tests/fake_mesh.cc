// Simulated network and virtual time for nodes in one thread.
#include "fake_mesh.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::tests {
namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(10);
// 2026-12-01T00:00:00Z.
constexpr std::chrono::milliseconds kWallStart{1'796'083'200'000};

}  // namespace

base::Now FakeMesh::NowFor(const std::string& id) const {
  std::chrono::milliseconds error{0};
  const auto found = clock_errors_.find(id);
  if (found != clock_errors_.end()) {
    error = found->second;
  }
  base::MonoTime mono(elapsed_);
  const auto suspended = suspended_.find(id);
  if (suspended != suspended_.end()) {
    mono -= suspended->second;
  }
  return {mono,
          base::WallTime(
              kWallStart +
              std::chrono::duration_cast<std::chrono::milliseconds>(elapsed_) +
              error),
          base::BootTime(elapsed_)};
}

bool FakeMesh::Partitioned(const std::string& from,
                           const std::string& to) const {
  return isolated_.count(from) != 0 || isolated_.count(to) != 0 ||
         partitions_.count({from, to}) != 0;
}

void FakeMesh::Send(const rpc::Envelope& envelope) {
  ++sent_;
  sent_bytes_ += envelope.ByteSizeLong();
  if (tap_) {
    tap_(envelope);
  }
  if (Partitioned(envelope.from(), envelope.to()) ||
      random_.Unit() < faults_.loss_) {
    return;
  }
  const int copies = random_.Unit() < faults_.duplicate_ ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    in_flight_.emplace(ArrivalOf(envelope), envelope);
  }
}

base::Duration FakeMesh::ArrivalOf(const rpc::Envelope& envelope) {
  const base::Duration delay =
      faults_.min_delay_ +
      random_.Jitter(faults_.max_delay_ - faults_.min_delay_);
  const auto link = links_.find(envelope.to());
  if (link == links_.end()) {
    return elapsed_ + delay;
  }
  const double seconds = static_cast<double>(envelope.ByteSizeLong()) /
                         link->second.bytes_per_second_;
  base::Duration& free_at = link->second.free_at_;
  free_at = std::max(free_at, elapsed_ + delay) +
            base::Duration(static_cast<int64_t>(seconds * 1e6));
  return free_at;
}

void FakeMesh::Flush(const std::string& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end() || frozen_.count(id) != 0) {
    return;
  }
  for (const rpc::Envelope& envelope : found->second->Flush(NowFor(id))) {
    Send(envelope);
  }
}

void FakeMesh::Run(base::Duration length,
                   const std::function<void()>& after_step) {
  const base::Duration end = elapsed_ + length;
  while (elapsed_ < end) {
    elapsed_ += kStep;
    while (!in_flight_.empty() && in_flight_.begin()->first <= elapsed_) {
      rpc::Envelope envelope = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      const std::string to = envelope.to();
      const auto found = nodes_.find(to);
      if (found == nodes_.end()) {
        continue;
      }
      if (frozen_.count(to) != 0) {
        held_for_frozen_[to].push_back(std::move(envelope));
        continue;
      }
      found->second->OnMessage(envelope, NowFor(to));
      if (!batching_) {
        Flush(to);
      }
    }
    for (const auto& [id, node] : nodes_) {
      if (frozen_.count(id) != 0) {
        continue;
      }
      for (const rpc::Envelope& envelope :
           std::exchange(held_for_frozen_[id], {})) {
        node->OnMessage(envelope, NowFor(id));
      }
      node->OnTimer(NowFor(id));
      Flush(id);
    }
    if (after_step) {
      after_step();
    }
  }
}

}  // namespace buckthorngate::tests
