// The proxy role: registration of this host's upstreams.
#include "base/events.h"
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

namespace {

using registry::AnnouncementCheck;

ResultCode IgnoreAnnouncement(const registry::Announcement& announcement,
                              AnnouncementCheck check) {
  const ResultCode code = check == AnnouncementCheck::kForeignService
                              ? ResultCode::kUnknownService
                              : ResultCode::kNumberStale;
  base::LogEvent(base::EventId::kAnnouncementIgnored,
                 {{"instance", announcement.instance_},
                  {"address", announcement.address_},
                  {"service", announcement.service_},
                  {"sequence", std::to_string(announcement.sequence_)},
                  {"code", std::string(Describe(code).name_)}});
  return code;
}

}  // namespace

ResultCode ProxyRole::Impl::Announce(
    const registry::Announcement& announcement) {
  AnnouncementCheck check = AnnouncementCheck::kAccepted;
  bool changed = false;
  UpstreamInfo info;
  node_loop_.RunAndWait([&](const base::Now& now) {
    check = node_->Local().Check(announcement);
    changed = node_->Local().Announce(announcement, now.mono_);
    info.endpoint_id_ = node_->Local().EndpointId(announcement.address_);
  });
  if (check != AnnouncementCheck::kAccepted) {
    return IgnoreAnnouncement(announcement, check);
  }
  if (changed) {
    info.address_ = announcement.address_;
    info.service_ = announcement.service_;
    info.instance_ = announcement.instance_;
    info.slots_ = announcement.slots_;
    if (announcement.warm_up_left_) {
      info.warm_up_end_ = clock_.Read().mono_ + *announcement.warm_up_left_;
    }
    loop_.RunAndWait([this, &info] { destination_.SetUpstream(info); });
    base::LogEvent(base::EventId::kEndpointReady,
                   {{"endpoint", info.endpoint_id_},
                    {"instance", info.instance_},
                    {"service", info.service_},
                    {"version", announcement.version_},
                    {"slots", std::to_string(info.slots_)}});
  }
  if (upstreams_draining_) {
    loop_.RunAndWait([this] { destination_.DrainAll(); });
  }
  return ResultCode::kOk;
}

void ProxyRole::Impl::DrainUpstream(const std::string& address) {
  std::string id;
  bool changed = false;
  node_loop_.RunAndWait([&](const base::Now&) {
    id = node_->Local().EndpointId(address);
    changed = node_->Local().Drain(address);
  });
  if (changed) {
    loop_.RunAndWait([this, &id] { destination_.DrainUpstream(id); });
    base::LogEvent(base::EventId::kEndpointDraining, {{"endpoint", id}});
  }
}

void ProxyRole::Impl::RemoveUpstream(const std::string& address) {
  std::string id;
  node_loop_.RunAndWait([&](const base::Now&) {
    id = node_->Local().EndpointId(address);
    node_->Local().Leave(address);
  });
  loop_.RunAndWait([this, &id] { destination_.RemoveUpstream(id); });
  base::LogEvent(base::EventId::kEndpointDraining,
                 {{"endpoint", id}, {"leaves", "true"}});
}

std::string ProxyRole::Impl::AddressOfInstance(const std::string& instance) {
  std::string address;
  node_loop_.RunAndWait(
      [&](const base::Now&) { address = node_->Local().AddressOf(instance); });
  return address;
}

}  // namespace buckthorngate::daemon::serving
