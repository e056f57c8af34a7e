// Failure detector for the daemons that requests wait for.
#include "request/peer_failure_detector.h"

#include <algorithm>

namespace buckthorngate::request {

void PeerFailureDetector::Begin(uint64_t request,
                                const std::string& peer,
                                base::MonoTime now) {
  peers_[peer].pending_[request] = now;
}

void PeerFailureDetector::End(uint64_t request,
                              const std::string& peer,
                              bool answered,
                              base::MonoTime now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  found->second.pending_.erase(request);
  if (found->second.pending_.empty()) {
    peers_.erase(found);
  } else if (answered) {
    RecordActivity(peer, now);
  }
}

void PeerFailureDetector::RecordActivity(const std::string& peer,
                                         base::MonoTime now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.last_activity_ = now;
    found->second.last_probe_ = base::MonoTime();
    found->second.unresponsive_ = false;
  }
}

void PeerFailureDetector::MarkProbeNotSent(const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.probe_sent_ = false;
  }
}

void PeerFailureDetector::RestartTimeouts(base::MonoTime now) {
  for (auto& [address, peer] : peers_) {
    peer.last_activity_ = now;
    peer.unresponsive_ = false;
  }
}

std::vector<std::string> PeerFailureDetector::TakePeersToProbe(
    base::MonoTime now) {
  std::vector<std::string> due;
  for (auto& [address, peer] : peers_) {
    const auto oldest = std::min_element(
        peer.pending_.begin(), peer.pending_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    const base::MonoTime since = std::max(oldest->second, peer.last_activity_);
    const bool recently_probed = now - peer.last_probe_ < kProbeInterval;
    if (now - since >= kSilenceBeforeProbe && !recently_probed) {
      peer.unresponsive_ = peer.probe_sent_ && peer.last_probe_ >= since;
      peer.last_probe_ = now;
      peer.probe_sent_ = true;
      due.push_back(address);
    }
  }
  return due;
}

bool PeerFailureDetector::IsUnresponsive(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && found->second.unresponsive_;
}

bool PeerFailureDetector::IsUnreachable(const std::string& peer,
                                        base::MonoTime since) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || found->second.last_activity_ >= since) {
    return false;
  }
  // The last activity is lost whenever no request waits, so only a request that
  // has waited since then proves that nothing has arrived.
  const std::map<uint64_t, base::MonoTime>& pending = found->second.pending_;
  return std::any_of(pending.begin(), pending.end(), [since](const auto& item) {
    return item.second <= since;
  });
}

std::vector<uint64_t> PeerFailureDetector::PendingRequests(
    const std::string& peer,
    base::MonoTime since) const {
  std::vector<uint64_t> requests;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    for (const auto& [request, began] : found->second.pending_) {
      if (began <= since) {
        requests.push_back(request);
      }
    }
  }
  return requests;
}

}  // namespace buckthorngate::request
