// Construction, view publication and shutdown of the proxy role.
#include "daemon/serving/proxy_role.h"

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "base/events.h"
#include "base/hash.h"
#include "daemon/serving/cut_log.h"
#include "daemon/serving/proxy_role_impl.h"
#include "daemon/serving/refusal.h"
#include "request/transit_delay.h"
#include "storage/file_journal.h"
#include "storage/memory_journal.h"

namespace buckthorngate::daemon::serving {
namespace {

constexpr base::Duration kEvidenceInterval = std::chrono::milliseconds(250);

// Heads from other daemons may be larger than those of callers by this much:
// the daemon of the caller has enforced the configured limit, and added headers
// of its own.
constexpr size_t kDaemonHeaderBytes = size_t{64} * 1024;

bool HasSlowLink(const startup::Settings& settings) {
  return settings.link_mbps_ > 0 &&
         settings.link_mbps_ < request::kSlowLinkMbps;
}

// Bytes a second of a slow link; 0 if the link is not slow.
double SlowLinkRate(const startup::Settings& settings) {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return HasSlowLink(settings) ? settings.link_mbps_ * kBytesPerMegabit : 0.0;
}

http::ServerLimits PeerLimits(const http::ServerLimits& callers) {
  http::ServerLimits limits;
  limits.header_bytes_ = callers.header_bytes_ + kDaemonHeaderBytes;
  return limits;
}

http::ServerLimits ToServerLimits(const rpc::CallerLimits& limits) {
  http::ServerLimits server;
  server.pipelined_calls_ = http::kMaxPipelinedCalls;
  if (limits.header_bytes() != 0) {
    server.header_bytes_ = limits.header_bytes();
  }
  if (limits.body_bytes() != 0) {
    server.body_bytes_ = limits.body_bytes();
  }
  if (limits.header_timeout_ms() != 0) {
    server.header_timeout_ =
        std::chrono::milliseconds(limits.header_timeout_ms());
  }
  if (limits.idle_timeout_ms() != 0) {
    server.idle_timeout_ = std::chrono::milliseconds(limits.idle_timeout_ms());
  }
  return server;
}

}  // namespace

ProxyRole::Impl::Impl(const startup::Settings& settings,
                      const request::Dialect& dialect,
                      uint64_t incarnation,
                      const base::Clock& clock,
                      rpc::MeshTransport& transport,
                      std::unique_ptr<storage::Journal> journal,
                      std::unique_ptr<distribution::ProxyNode> node)
    : settings_(settings),
      dialect_(dialect),
      clock_(clock),
      transport_(transport),
      journal_(std::move(journal)),
      node_(std::move(node)),
      node_loop_(*node_,
                 clock,
                 [&transport](rpc::Envelope envelope) {
                   transport.Send(std::move(envelope));
                 }),
      board_(base::Hash(settings.host_), clock.Read().mono_),
      claims_(clock, loop_, node_loop_, *node_),
      quota_(clock,
             loop_,
             node_->Quota(),
             [this] { node_loop_.PostTask([](const base::Now&) {}); }),
      destination_(
          settings.host_,
          dialect_,
          clock,
          loop_,
          board_,
          [this](const std::string& address, const rpc::CrashReport& report) {
            OnCrash(address, report);
          }),
      peer_client_(clock, loop_, HasSlowLink(settings)),
      entry_({settings.host_, incarnation, dialect_, settings.service_,
              settings.overload_mode_ == startup::OverloadMode::kValue,
              HasSlowLink(settings), HasSlowLink(settings)},
             clock,
             loop_,
             board_,
             claims_,
             destination_,
             peer_client_,
             [this](const rpc::BrakeNotice& notice) {
               node_loop_.PostTask([this, notice](const base::Now&) {
                 node_->SendBrake(notice);
               });
             }),
      callers_(loop_, entry_),
      peers_(loop_, destination_),
      admin_(MakeAdminHandlers()),
      views_(settings.zone_),
      evacuation_watch_(settings.zone_) {
  if (settings.cold_start_.slack_ > 0.0) {
    // A request that arrives before the limits of cold upstreams are known
    // would not be counted.
    destination_.AwaitConfiguration();
  }
  entry_.SetQuota(quota_);
  if (HasSlowLink(settings)) {
    destination_.SetSlowLink(SlowLinkRate(settings));
  }
  board_.Authority().Enforce(node_->Authority().Validity());
  destination_.OnAnswered([this](const rpc::AnsweredReport& report) {
    node_loop_.PostTask(
        [this, report](const base::Now&) { node_->SendAnswered(report); });
  });
  if (settings.overload_mode_ == startup::OverloadMode::kValue) {
    destination_.SetOverloadPolicy(request::OverloadPolicyKind::kValue);
  }
  destination_.OnReplaced(
      [this](const UpstreamInfo& announced) { OnReplaced(announced); });
  peers_.SetLimits(PeerLimits(http::ServerLimits()));
  callers_.OnMalformed(
      [](int status, std::string_view what, std::string_view id) {
        base::LogEvent(base::EventId::kCallerMalformed,
                       {{"request", std::string(id)},
                        {"status", std::to_string(status)},
                        {"what", std::string(what)}});
      });
  callers_.OnCut([this](const http::CutCall& call) {
    RecordCutCall(blackboard::CallSide::kEntry, call);
  });
  callers_.OnBrokenOff([this](const http::CutCall& call) {
    const Refusal refusal{ResultCode::kUpstreamFailed, /*not_run=*/false,
                          call.id_};
    board_.DaemonMetrics().CountResult(refusal.code_);
    return http::BrokenOffAnswer{RefusalHead(refusal, dialect_),
                                 RefusalBody(refusal.code_)};
  });
  callers_.OnPipelined(
      [this] { board_.DaemonMetrics().CountPipelinedRequest(); });
  callers_.OnPipelineCancelled([this](std::string_view id) {
    board_.DaemonMetrics().CountPipelineCancelled();
    base::LogEvent(base::EventId::kPipelineCancelled,
                   {{"request", std::string(id)}});
  });
  peers_.OnCut([this](const http::CutCall& call) {
    RecordCutCall(blackboard::CallSide::kDestination, call);
  });
  node_loop_.SetAfterFlush([this](const base::Now& now) { AfterFlush(now); });
  transport_.AddNode(settings.host_, [this](rpc::Envelope envelope) {
    node_loop_.Post(std::move(envelope));
  });
}

void ProxyRole::Impl::RecordCutCall(blackboard::CallSide side,
                                    const http::CutCall& call) {
  board_.DaemonMetrics().CountAbortedRequest(side, NameOf(call.cause_));
  LogCutCall(std::string(NameOf(side)), call);
}

control::AdminHandlers ProxyRole::Impl::MakeAdminHandlers() {
  control::AdminHandlers handlers;
  handlers.announce_ = [this](const registry::Announcement& announcement) {
    return Announce(announcement);
  };
  handlers.drain_ = [this](const std::string& address) {
    return DrainUpstream(address);
  };
  handlers.leave_ = [this](const std::string& address) {
    return RemoveUpstream(address);
  };
  handlers.metrics_ = [this] {
    board_.DaemonMetrics().SetFailedHandlers(loop_.FailedHandlers());
    return board_.DaemonMetrics().Render() + board_.RenderRetries() +
           board_.RenderMoves() + board_.RenderBehind() + quota_.Render() +
           board_.Authority().Render(clock_.Read().boot_);
  };
  handlers.ready_ = [this] { return Ready(); };
  return handlers;
}

void ProxyRole::Impl::AfterFlush(const base::Now& now) {
  board_.Stalls().Tick(now.mono_);
  claims_.DeliverOutcomes(node_->TakeClaimOutcomes());
  quota_.DeliverDecisions();
  DrainDepartedUpstreams();
  if (now.mono_ >= next_evidence_time_) {
    next_evidence_time_ = now.mono_ + kEvidenceInterval;
    node_->SendEvidence(board_.Evidence().TakeSums(now.mono_));
    board_.DaemonMetrics().SetControlBytes(node_->BytesIn(), node_->BytesOut());
  }
  const bool changed = node_->ViewVersion() != published_view_version_ ||
                       node_->MayServe() != published_may_serve_;
  if (changed) {
    PublishView(now);
  }
  board_.SetBehindFor(node_->BehindFor(now));
  // After the view: the lease covers the accounts in it.
  board_.Authority().Confirm(node_->Authority().ConfirmedAt());
}

void ProxyRole::Impl::PublishView(const base::Now& now) {
  published_view_version_ = node_->ViewVersion();
  published_may_serve_ = node_->MayServe();
  ApplyEvacuations();
  ApplyColdLimits();
  board_.View().Publish(views_.Build(published_may_serve_, node_->Config(),
                                     node_->MutableEndpoints(),
                                     node_->Quarantine(), now.mono_));
  board_.DaemonMetrics().SetRevision(node_->Config().Revision());
  const http::ServerLimits limits =
      ToServerLimits(node_->Config().Routing().limits());
  loop_.Post([this, limits] {
    callers_.SetLimits(limits);
    peers_.SetLimits(PeerLimits(limits));
  });
  if (!node_->Quarantine().empty()) {
    loop_.Post([this] { destination_.ReportListedAnswered(); });
  }
  if (node_->Endpoints().Version() == addresses_version_) {
    return;
  }
  addresses_version_ = node_->Endpoints().Version();
  for (const rpc::Endpoint& endpoint :
       node_->Endpoints().Live(settings_.zone_)) {
    if (endpoint.host() != settings_.host_) {
      transport_.SetAddress(endpoint.host(), endpoint.control_address());
    }
  }
}

ResultCode ProxyRole::Impl::Start() {
  started_ = true;
  node_loop_.Start();
  ResultCode code = peers_.Listen(settings_.peers_address_);
  if (code == ResultCode::kOk) {
    code = callers_.Listen(settings_.callers_address_);
  }
  if (code == ResultCode::kOk) {
    code = admin_.Start(settings_.admin_address_);
  }
  loop_.Start();
  return code;
}

rpc::QueryReply ProxyRole::Impl::Query(const rpc::QueryRequest& request) {
  rpc::QueryReply reply;
  node_loop_.RunAndWait([&](const base::Now&) {
    reply.set_node(settings_.host_);
    reply.set_revision(node_->Config().Revision());
    if (request.kind() == rpc::QueryRequest::CONFIG) {
      *reply.mutable_config() = node_->Config().ToSnapshot();
    }
    if (request.kind() == rpc::QueryRequest::EVACUATIONS) {
      for (const auto& [zone, evacuation] : node_->Config().Evacuations()) {
        *reply.add_evacuations() = *evacuation;
      }
    }
    for (rpc::Endpoint& endpoint : node_->Endpoints().Live()) {
      *reply.add_endpoints() = std::move(endpoint);
    }
    for (const auto& [fingerprint, entry] : node_->Quarantine()) {
      *reply.add_quarantine() = entry;
    }
  });
  return reply;
}

ProxyRole::ProxyRole(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
ProxyRole::~ProxyRole() = default;

tl::expected<std::unique_ptr<ProxyRole>, ResultCode> ProxyRole::Create(
    const startup::Settings& settings,
    const request::Dialect& dialect,
    uint64_t incarnation,
    const base::Clock& clock,
    rpc::MeshTransport& transport) {
  std::unique_ptr<storage::Journal> journal;
  if (settings.data_folder_.empty()) {
    journal = std::make_unique<storage::MemoryJournal>();
  } else {
    journal = std::make_unique<storage::FileJournal>(settings.data_folder_ +
                                                     "/proxy.journal");
  }
  distribution::ProxyOptions options;
  options.identity_.host_ = settings.host_;
  options.identity_.zone_ = settings.zone_;
  options.identity_.service_ = settings.service_;
  options.identity_.upstream_address_ = settings.upstream_address_;
  options.identity_.peer_address_ = settings.peers_address_;
  options.identity_.control_address_ = settings.control_address_;
  options.identity_.incarnation_ = incarnation;
  options.seed_ = incarnation ^ base::Hash(settings.host_);
  options.seeds_ = settings.seeds_;
  options.announce_lease_ = settings.announce_lease_;
  options.revocation_bound_ = settings.revocation_bound_;
  options.apply_bound_ = settings.apply_bound_;
  for (const auto& [id, relay] : settings.relays_) {
    if (relay.zone_ == settings.zone_) {
      options.relays_.push_back(id);
    }
  }
  tl::expected<std::unique_ptr<distribution::ProxyNode>, ResultCode> node =
      distribution::ProxyNode::Create(std::move(options), *journal);
  if (!node) {
    return tl::unexpected(node.error());
  }
  return std::unique_ptr<ProxyRole>(new ProxyRole(
      std::make_unique<Impl>(settings, dialect, incarnation, clock, transport,
                             std::move(journal), std::move(*node))));
}

ResultCode ProxyRole::Start() {
  return impl_->Start();
}
void ProxyRole::Drain() {
  impl_->Drain();
}
void ProxyRole::Stop() {
  impl_->Stop();
}
rpc::QueryReply ProxyRole::Query(const rpc::QueryRequest& request) {
  return impl_->Query(request);
}
ResultCode ProxyRole::Announce(const registry::Announcement& announcement) {
  return impl_->Announce(announcement);
}
ResultCode ProxyRole::DrainUpstream(const std::string& address) {
  return impl_->DrainUpstream(address);
}
ResultCode ProxyRole::RemoveUpstream(const std::string& address) {
  return impl_->RemoveUpstream(address);
}
ResultCode ProxyRole::RemoveInstance(const std::string& instance,
                                     int64_t started_ms) {
  return impl_->RemoveInstance(instance, started_ms);
}
bool ProxyRole::Ready() {
  return impl_->Ready();
}

}  // namespace buckthorngate::daemon::serving
