// The proxy role: registration of this host's upstreams.
#include <thread>

#include "base/events.h"
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

namespace {

using registry::AnnouncementCheck;

// Upstreams wait a second for the answer to a report. Of that, the wait until
// departures are known may take the first part.
constexpr std::chrono::milliseconds kReportTimeout{850};
constexpr std::chrono::milliseconds kDeparturesKnownTimeout{500};
constexpr std::chrono::milliseconds kNodePollInterval{5};

ResultCode CodeOf(AnnouncementCheck check) {
  switch (check) {
    case AnnouncementCheck::kAccepted:
      return ResultCode::kOk;
    case AnnouncementCheck::kStale:
      return ResultCode::kNumberStale;
    case AnnouncementCheck::kForeignService:
      return ResultCode::kUnknownService;
    case AnnouncementCheck::kForeignAddress:
      return ResultCode::kForeignAddress;
    case AnnouncementCheck::kAddressHeld:
      return ResultCode::kAddressHeld;
  }
  return ResultCode::kOutcomeUnknown;
}

// `holder` is the start of the upstream that the report was compared with.
void LogIgnored(std::string_view call,
                const registry::Announcement& report,
                const registry::Holder& holder,
                ResultCode code) {
  base::LogEvent(base::EventId::kAnnouncementIgnored,
                 {{"call", std::string(call)},
                  {"instance", report.instance_},
                  {"started_ms", std::to_string(report.started_ms_)},
                  {"address", report.address_},
                  {"service", report.service_},
                  {"version", report.version_},
                  {"sequence", std::to_string(report.sequence_)},
                  {"holder", holder.instance_},
                  {"holder_started_ms", std::to_string(holder.started_ms_)},
                  {"holder_sequence", std::to_string(holder.sequence_)},
                  {"holder_age_ms",
                   std::to_string(holder.age_ / std::chrono::milliseconds(1))},
                  {"code", std::string(Describe(code).name_)}});
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
    std::chrono::steady_clock::time_point until) {
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

ResultCode ProxyRole::Impl::AwaitDepartureStored(
    const std::string& instance,
    std::chrono::steady_clock::time_point arrived) {
  if (instance.empty()) {
    // Its later starts could not be told from this one, so nothing was recorded
    // that relays could store.
    return ResultCode::kOk;
  }
  distribution::DepartureHolders holders;
  const bool stored = AwaitOnNode(
      [&](const base::Now&) {
        holders = node_->HoldersOf(instance);
        return node_->DepartureStored(instance);
      },
      arrived + kReportTimeout);
  const std::chrono::steady_clock::duration waited =
      std::chrono::steady_clock::now() - arrived;
  base::LogEvent(
      stored ? base::EventId::kDepartureStored
             : base::EventId::kDepartureNotStored,
      {{"instance", instance},
       {"stored_by", std::to_string(holders.stored_by_)},
       {"relays", std::to_string(holders.relays_)},
       {"waited_ms", std::to_string(waited / std::chrono::milliseconds(1))}});
  return stored ? ResultCode::kOk : ResultCode::kTimedOut;
}

ResultCode ProxyRole::Impl::Announce(
    const registry::Announcement& announcement) {
  const std::chrono::steady_clock::time_point arrived =
      std::chrono::steady_clock::now();
  const bool known = AwaitOnNode(
      [this](const base::Now& now) {
        return node_->DeparturesKnown(now.mono_);
      },
      arrived + kDeparturesKnownTimeout);
  if (!known) {
    base::LogEvent(base::EventId::kAnnouncementIgnored,
                   {{"instance", announcement.instance_},
                    {"detail", "departures are not known yet"}});
    return ResultCode::kTimedOut;
  }
  const ResultCode code = ApplyAnnouncement(announcement);
  // A report that is sent again is late, and its acknowledgement binds as well.
  const bool acknowledged =
      code == ResultCode::kOk || code == ResultCode::kNumberStale;
  if (!announcement.draining_ || !acknowledged) {
    return code;
  }
  const ResultCode stored =
      AwaitDepartureStored(announcement.instance_, arrived);
  return stored == ResultCode::kOk ? code : stored;
}

ResultCode ProxyRole::Impl::ApplyAnnouncement(
    const registry::Announcement& announcement) {
  const std::lock_guard<std::mutex> lock(upstreams_mutex_);
  AnnouncementCheck check = AnnouncementCheck::kAccepted;
  registry::Holder holder;
  bool changed = false;
  bool draining = false;
  UpstreamInfo info;
  node_loop_.RunAndWait([&](const base::Now& now) {
    registry::LocalEndpoints& local = node_->Local();
    check = local.Check(announcement, now.mono_);
    holder = local.HolderOf(announcement.address_, now.mono_);
    changed = local.Announce(announcement, now.mono_);
    draining = local.Draining(announcement.address_);
    info.endpoint_id_ = local.EndpointId(announcement.address_);
  });
  if (check != AnnouncementCheck::kAccepted) {
    return IgnoreReport("announce", announcement, holder, check);
  }
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
  // Each report counts, also one that changes nothing else. The time was read
  // after the report arrived, so a delay keeps the upstream cold for longer.
  const std::string endpoint_id = info.endpoint_id_;
  const std::optional<base::MonoTime> cold_until =
      announcement.warm_up_left_
          ? std::optional(clock_.Read().mono_ + *announcement.warm_up_left_)
          : std::nullopt;
  loop_.RunAndWait([this, &endpoint_id, &cold_until] {
    destination_.NoteColdReport(endpoint_id, cold_until);
  });
  if (upstreams_draining_) {
    loop_.RunAndWait([this] { destination_.DrainAll(); });
  }
  return ResultCode::kOk;
}

void ProxyRole::Impl::OnCrash(const std::string& address,
                              const rpc::CrashReport& report) {
  base::LogEvent(
      base::EventId::kEndpointCrashed,
      {{"endpoint", settings_.host_ + "/" + address},
       {"service", report.service()},
       {"cause", "crashed"},
       {"crash", report.crash_id()},
       {"suspect", report.fingerprints().empty() ? std::string()
                                                 : report.fingerprints(0)}});
  node_loop_.PostTask([this, address, report](const base::Now&) {
    node_->Local().MarkCrashed(address);
    node_->SendCrash(report);
  });
}

ResultCode ProxyRole::Impl::IgnoreReport(std::string_view call,
                                         const registry::Announcement& report,
                                         const registry::Holder& holder,
                                         registry::AnnouncementCheck check) {
  const ResultCode code = CodeOf(check);
  board_.DaemonMetrics().CountIgnoredReport(code);
  LogIgnored(call, report, holder, code);
  return code;
}

void ProxyRole::Impl::OnReplaced(const UpstreamInfo& announced) {
  base::LogEvent(base::EventId::kEndpointReplaced,
                 {{"endpoint", announced.endpoint_id_},
                  {"instance", announced.instance_},
                  {"started_ms", std::to_string(announced.started_ms_)},
                  {"service", announced.service_},
                  {"cause", "replaced"}});
  node_loop_.PostTask([this, announced](const base::Now&) {
    node_->Local().MarkReplaced(announced.address_, announced.instance_,
                                announced.started_ms_);
  });
}

void ProxyRole::Impl::DrainDepartedUpstreams() {
  for (const std::string& id : node_->TakeDepartedEndpoints()) {
    loop_.Post([this, id] { destination_.DrainUpstream(id); });
    base::LogEvent(base::EventId::kEndpointDraining,
                   {{"endpoint", id}, {"detail", "as a relay reports late"}});
  }
}

ResultCode ProxyRole::Impl::DrainUpstream(const std::string& address) {
  const std::chrono::steady_clock::time_point arrived =
      std::chrono::steady_clock::now();
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
  return AwaitDepartureStored(instance, arrived);
}

ResultCode ProxyRole::Impl::RemoveUpstream(const std::string& address) {
  const std::chrono::steady_clock::time_point arrived =
      std::chrono::steady_clock::now();
  std::string instance;
  Remove([&](registry::LocalEndpoints& local, const base::Now&) {
    instance = local.InstanceAt(address);
    local.Leave(address);
    return local.EndpointId(address);
  });
  return AwaitDepartureStored(instance, arrived);
}

ResultCode ProxyRole::Impl::RemoveInstance(const std::string& instance,
                                           int64_t started_ms) {
  const std::chrono::steady_clock::time_point arrived =
      std::chrono::steady_clock::now();
  AnnouncementCheck check = AnnouncementCheck::kAccepted;
  registry::Announcement report;
  report.instance_ = instance;
  report.started_ms_ = started_ms;
  registry::Holder holder;
  Remove([&](registry::LocalEndpoints& local, const base::Now& now) {
    report.address_ = local.AddressOf(instance);
    check = local.CheckLeave(instance, started_ms, now.mono_);
    holder = local.HolderOf(report.address_, now.mono_);
    if (check != AnnouncementCheck::kAccepted) {
      return std::string();
    }
    if (local.LeaveInstance(instance, started_ms)) {
      return local.EndpointId(report.address_);
    }
    // A later start of the instance stays. If it is a false one, the address
    // is still the sender's, who must not be told that it gets no requests.
    if (local.Ready(report.address_)) {
      check = AnnouncementCheck::kAddressHeld;
    }
    return std::string();
  });
  if (check != AnnouncementCheck::kAccepted) {
    return IgnoreReport("deregister", report, holder, check);
  }
  return AwaitDepartureStored(instance, arrived);
}

void ProxyRole::Impl::Remove(
    const std::function<std::string(registry::LocalEndpoints&,
                                    const base::Now&)>& leave) {
  const std::lock_guard<std::mutex> lock(upstreams_mutex_);
  std::string id;
  node_loop_.RunAndWait(
      [&](const base::Now& now) { id = leave(node_->Local(), now); });
  if (id.empty()) {
    return;
  }
  loop_.RunAndWait([this, &id] { destination_.RemoveUpstream(id); });
  base::LogEvent(base::EventId::kEndpointDraining,
                 {{"endpoint", id}, {"leaves", "true"}});
}

}  // namespace buckthorngate::daemon::serving
