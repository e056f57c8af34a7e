// Which reports may change the entries of a host: those of its upstream, and of
// the start that holds the upstream's address.
#include "registry/local_endpoints.h"

namespace buckthorngate::registry {
namespace {

// Whether an announced value differs from the one in the settings, if they have
// one.
bool IsForeign(const std::string& in_settings, const std::string& announced) {
  return !in_settings.empty() && announced != in_settings;
}

}  // namespace

bool LocalEndpoints::Upstream::IsStart(const std::string& instance,
                                       int64_t started_ms) const {
  return instance_ == instance && started_ms_ == started_ms;
}

bool LocalEndpoints::Upstream::IsReady() const {
  return endpoint_.state() == rpc::ENDPOINT_STATE_READY;
}

bool LocalEndpoints::IsSilentSince(base::MonoTime last,
                                   base::MonoTime now) const {
  return now - last > lease_ / 2;
}

bool LocalEndpoints::IsEstablished(const std::string& instance,
                                   int64_t started_ms) const {
  const auto found = upstreams_.find(AddressOf(instance));
  return found != upstreams_.end() && found->second.started_ms_ >= started_ms &&
         found->second.renewed_ - found->second.first_ >= lease_ / 2;
}

AnnouncementCheck LocalEndpoints::Check(const Announcement& announcement,
                                        base::MonoTime now) const {
  if (IsForeign(identity_.service_, announcement.service_)) {
    return AnnouncementCheck::kForeignService;
  }
  if (IsForeign(identity_.upstream_address_, announcement.address_)) {
    return AnnouncementCheck::kForeignAddress;
  }
  const rpc::Departure* departure = departures_.Find(
      identity_.host_, announcement.instance_, announcement.started_ms_);
  if (departure != nullptr && departure->left()) {
    // It was still in flight when the upstream deregistered.
    return AnnouncementCheck::kStale;
  }
  const auto found = upstreams_.find(announcement.address_);
  if (found == upstreams_.end()) {
    return AnnouncementCheck::kAccepted;
  }
  return CheckAgainst(found->second, announcement, now);
}

AnnouncementCheck LocalEndpoints::CheckAgainst(const Upstream& stored,
                                               const Announcement& announcement,
                                               base::MonoTime now) const {
  const bool same_start =
      stored.IsStart(announcement.instance_, announcement.started_ms_);
  const bool same_version = announcement.version_ == stored.endpoint_.version();
  // Numbers that are too high must not refuse the start for good.
  const base::MonoTime last =
      same_start && same_version ? stored.renewed_ : stored.heard_;
  if (IsSilentSince(last, now) || (stored.replaced_ && !same_start)) {
    return AnnouncementCheck::kAccepted;
  }
  return same_start ? CheckSameStart(stored, announcement, same_version)
                    : CheckOtherStart(stored, announcement);
}

AnnouncementCheck LocalEndpoints::CheckSameStart(
    const Upstream& stored,
    const Announcement& announcement,
    bool same_version) {
  // A drain holds for the whole start, so its report cannot come too late.
  const bool new_drain = announcement.draining_ && !stored.draining_;
  if (!new_drain && announcement.sequence_ != 0 &&
      announcement.sequence_ <= stored.sequence_) {
    return AnnouncementCheck::kStale;
  }
  // A start runs one version.
  const bool other_version = stored.IsReady() && !same_version;
  return stored.replaced_ || other_version ? AnnouncementCheck::kAddressHeld
                                           : AnnouncementCheck::kAccepted;
}

AnnouncementCheck LocalEndpoints::CheckOtherStart(
    const Upstream& stored,
    const Announcement& announcement) {
  const bool earlier = announcement.started_ms_ != 0 &&
                       announcement.started_ms_ < stored.started_ms_;
  return stored.IsReady() || earlier ? AnnouncementCheck::kAddressHeld
                                     : AnnouncementCheck::kAccepted;
}

void LocalEndpoints::NoteLate(const Announcement& announcement,
                              base::MonoTime now) {
  const auto found = upstreams_.find(announcement.address_);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& stored = found->second;
  const bool heard =
      stored.IsReady() &&
      stored.IsStart(announcement.instance_, announcement.started_ms_) &&
      stored.endpoint_.version() == announcement.version_;
  stored.heard_ = heard ? now : stored.heard_;
}

AnnouncementCheck LocalEndpoints::CheckLeave(const std::string& instance,
                                             int64_t started_ms,
                                             base::MonoTime now) const {
  const auto found = upstreams_.find(AddressOf(instance));
  if (found == upstreams_.end()) {
    return AnnouncementCheck::kAccepted;
  }
  const Upstream& stored = found->second;
  // Upstreams may report their start in announcements only; a deregistration
  // without one is of the start that is stored.
  const bool later = stored.started_ms_ != 0 && started_ms > stored.started_ms_;
  return later && stored.IsReady() && !IsSilentSince(stored.heard_, now)
             ? AnnouncementCheck::kAddressHeld
             : AnnouncementCheck::kAccepted;
}

bool LocalEndpoints::MarkReplaced(const std::string& address,
                                  const std::string& instance,
                                  int64_t started_ms) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end() ||
      !found->second.IsStart(instance, started_ms)) {
    return false;
  }
  found->second.replaced_ = true;
  return found->second.IsReady() &&
         SetState(address, rpc::ENDPOINT_STATE_CRASHED,
                  rpc::ENDPOINT_CAUSE_REPLACED);
}

Holder LocalEndpoints::HolderOf(const std::string& address,
                                base::MonoTime now) const {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end()) {
    return {};
  }
  const Upstream& upstream = found->second;
  return {upstream.instance_, upstream.started_ms_, upstream.sequence_,
          now - upstream.renewed_};
}

}  // namespace buckthorngate::registry
