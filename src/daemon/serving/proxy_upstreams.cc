// The proxy role: registration of this host's upstreams.
#include <thread>

#include "base/events.h"
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

namespace {

using registry::AnnouncementCheck;

// Upstreams wait a second for the answer to a report; both waits together stay
// below it.
constexpr std::chrono::milliseconds kDeparturesKnownTimeout{500};
constexpr std::chrono::milliseconds kDepartureStoredTimeout{400};
constexpr std::chrono::milliseconds kNodePollInterval{5};

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

void LogAccepted(const UpstreamInfo& info,
                 const registry::Announcement& announcement,
                 bool draining) {
  base::LogEvent(draining ? base::EventId::kEndpointDraining
                          : base::EventId::kEndpointReady,
                 {{"endpoint", info.endpoint_id_},
                  {"instance", info.instance_},
                  {"service", info.service_},
                  {"version", announcement.version_},
                  {"slots", std::to_string(info.slots_)}});
}

}  // namespace

bool ProxyRole::Impl::AwaitOnNode(
    const std::function<bool(const base::Now&)>& condition,
    std::chrono::milliseconds timeout) {
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + timeout;
  while (true) {
    bool holds = false;
    const bool asked = node_loop_.RunAndWait(
        [&](const base::Now& now) { holds = condition(now); });
    if (holds || !asked || std::chrono::steady_clock::now() >= until) {
      return holds;
    }
    std::this_thread::sleep_for(kNodePollInterval);
  }
}

void ProxyRole::Impl::AwaitDepartureStored(const std::string& instance) {
  const bool stored = AwaitOnNode(
      [&](const base::Now&) { return node_->DepartureStored(instance); },
      kDepartureStoredTimeout);
  if (!stored) {
    base::LogEvent(
        base::EventId::kDepartureNotStored,
        {{"instance", instance},
         {"waited_ms", std::to_string(kDepartureStoredTimeout.count())}});
  }
}

ResultCode ProxyRole::Impl::Announce(
    const registry::Announcement& announcement) {
  const bool known = AwaitOnNode(
      [this](const base::Now& now) {
        return node_->DeparturesKnown(now.mono_);
      },
      kDeparturesKnownTimeout);
  if (!known) {
    base::LogEvent(base::EventId::kAnnouncementIgnored,
                   {{"instance", announcement.instance_},
                    {"detail", "departures are not known yet"}});
    return ResultCode::kTimedOut;
  }
  const AnnouncementCheck check = ApplyAnnouncement(announcement);
  if (check != AnnouncementCheck::kAccepted) {
    return IgnoreAnnouncement(announcement, check);
  }
  if (announcement.draining_) {
    AwaitDepartureStored(announcement.instance_);
  }
  return ResultCode::kOk;
}

AnnouncementCheck ProxyRole::Impl::ApplyAnnouncement(
    const registry::Announcement& announcement) {
  const std::lock_guard<std::mutex> lock(upstreams_mutex_);
  AnnouncementCheck check = AnnouncementCheck::kAccepted;
  bool changed = false;
  bool draining = false;
  UpstreamInfo info;
  node_loop_.RunAndWait([&](const base::Now& now) {
    registry::LocalEndpoints& local = node_->Local();
    check = local.Check(announcement);
    changed = local.Announce(announcement, now.mono_);
    draining = local.Draining(announcement.address_);
    info.endpoint_id_ = local.EndpointId(announcement.address_);
  });
  if (changed) {
    info.address_ = announcement.address_;
    info.service_ = announcement.service_;
    info.instance_ = announcement.instance_;
    info.started_ms_ = announcement.started_ms_;
    info.slots_ = announcement.slots_;
    if (announcement.warm_up_left_) {
      info.warm_up_end_ = clock_.Read().mono_ + *announcement.warm_up_left_;
    }
    loop_.RunAndWait([this, &info] { destination_.SetUpstream(info); });
    // Its departure may have become known in between.
    bool ready = false;
    node_loop_.RunAndWait([&](const base::Now&) {
      ready = node_->Local().Ready(announcement.address_);
    });
    if (!ready) {
      loop_.RunAndWait(
          [this, &info] { destination_.DrainUpstream(info.endpoint_id_); });
    }
    LogAccepted(info, announcement, draining);
  }
  if (upstreams_draining_) {
    loop_.RunAndWait([this] { destination_.DrainAll(); });
  }
  return check;
}

void ProxyRole::Impl::DrainDepartedUpstreams() {
  for (const std::string& id : node_->TakeDepartedEndpoints()) {
    loop_.Post([this, id] { destination_.DrainUpstream(id); });
    base::LogEvent(base::EventId::kEndpointDraining,
                   {{"endpoint", id}, {"detail", "as a relay reports late"}});
  }
}

void ProxyRole::Impl::DrainUpstream(const std::string& address) {
  std::string id;
  std::string instance;
  {
    const std::lock_guard<std::mutex> lock(upstreams_mutex_);
    node_loop_.RunAndWait([&](const base::Now&) {
      id = node_->Local().EndpointId(address);
      instance = node_->Local().InstanceAt(address);
      node_->Local().Drain(address);
    });
    loop_.RunAndWait([this, &id] { destination_.DrainUpstream(id); });
  }
  base::LogEvent(base::EventId::kEndpointDraining,
                 {{"endpoint", id}, {"instance", instance}});
  AwaitDepartureStored(instance);
}

void ProxyRole::Impl::RemoveUpstream(const std::string& address) {
  std::string instance;
  Remove([&](registry::LocalEndpoints& local) {
    instance = local.InstanceAt(address);
    local.Leave(address);
    return local.EndpointId(address);
  });
  AwaitDepartureStored(instance);
}

void ProxyRole::Impl::RemoveInstance(const std::string& instance,
                                     int64_t started_ms) {
  Remove([&](registry::LocalEndpoints& local) {
    const std::string address = local.AddressOf(instance);
    const bool left = local.LeaveInstance(instance, started_ms);
    return left ? local.EndpointId(address) : std::string();
  });
  AwaitDepartureStored(instance);
}

void ProxyRole::Impl::Remove(
    const std::function<std::string(registry::LocalEndpoints&)>& leave) {
  const std::lock_guard<std::mutex> lock(upstreams_mutex_);
  std::string id;
  node_loop_.RunAndWait([&](const base::Now&) { id = leave(node_->Local()); });
  if (id.empty()) {
    return;
  }
  loop_.RunAndWait([this, &id] { destination_.RemoveUpstream(id); });
  base::LogEvent(base::EventId::kEndpointDraining,
                 {{"endpoint", id}, {"leaves", "true"}});
}

}  // namespace buckthorngate::daemon::serving
