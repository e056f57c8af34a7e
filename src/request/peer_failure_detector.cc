// Daemons that have stopped answering.
#include "request/peer_failure_detector.h"

#include <algorithm>

namespace buckthorngate::request {

void PeerFailureDetector::Begin(uint64_t request,
                                const std::string& peer,
                                base::MonoTime now) {
  peers_[peer].waiting_[request] = now;
}

void PeerFailureDetector::End(uint64_t request,
                              const std::string& peer,
                              bool answered,
                              base::MonoTime now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  found->second.waiting_.erase(request);
  if (found->second.waiting_.empty()) {
    peers_.erase(found);
  } else if (answered) {
    RecordActivity(peer, now);
  }
}

void PeerFailureDetector::RecordActivity(const std::string& peer,
                                         base::MonoTime now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.heard_ = now;
    found->second.probed_ = base::MonoTime();
    found->second.unheard_ = false;
  }
}

void PeerFailureDetector::MarkProbeNotSent(const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.probe_made_ = false;
  }
}

void PeerFailureDetector::RestartTimeouts(base::MonoTime now) {
  for (auto& [address, peer] : peers_) {
    peer.heard_ = now;
    peer.unheard_ = false;
  }
}

std::vector<std::string> PeerFailureDetector::TakePeersToProbe(
    base::MonoTime now) {
  std::vector<std::string> silent;
  for (auto& [address, peer] : peers_) {
    const auto oldest = std::min_element(
        peer.waiting_.begin(), peer.waiting_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    const base::MonoTime since = std::max(oldest->second, peer.heard_);
    const bool probed = now - peer.probed_ < kProbeInterval;
    if (now - since >= kSilenceBeforeProbe && !probed) {
      peer.unheard_ = peer.probe_made_ && peer.probed_ >= since;
      peer.probed_ = now;
      peer.probe_made_ = true;
      silent.push_back(address);
    }
  }
  return silent;
}

bool PeerFailureDetector::IsUnresponsive(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && found->second.unheard_;
}

bool PeerFailureDetector::IsUnreachable(const std::string& peer,
                                        base::MonoTime since) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || found->second.heard_ >= since) {
    return false;
  }
  // What was heard is forgotten whenever no request waits.
  const std::map<uint64_t, base::MonoTime>& waiting = found->second.waiting_;
  return std::any_of(waiting.begin(), waiting.end(), [since](const auto& item) {
    return item.second <= since;
  });
}

std::vector<uint64_t> PeerFailureDetector::PendingRequests(
    const std::string& peer) const {
  std::vector<uint64_t> requests;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    for (const auto& [request, began] : found->second.waiting_) {
      requests.push_back(request);
    }
  }
  return requests;
}

}  // namespace buckthorngate::request
