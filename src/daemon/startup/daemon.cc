// Wiring of a daemon's roles, transport and control service.
#include "daemon/startup/daemon.h"

#include <filesystem>
#include <utility>

#include <grpcpp/impl/codegen/service_type.h>

#include "base/events.h"
#include "daemon/control/admin_server.h"
#include "daemon/control/control_metrics.h"
#include "daemon/control/node_loop.h"
#include "daemon/control/node_options.h"
#include "daemon/control/source_commands.h"
#include "daemon/serving/proxy_role.h"
#include "daemon/startup/host_identity.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "membership/node_id.h"
#include "rpc/control_service.h"
#include "storage/timed_journal.h"

namespace buckthorngate::daemon::startup {
namespace {

using base::EventId;
using base::LogEvent;

// A source or relay node with its journal and loop.
template <typename NodeType>
struct Role {
  std::unique_ptr<storage::TimedJournal> journal_;
  std::unique_ptr<NodeType> node_;
  std::unique_ptr<control::NodeLoop> loop_;
};

}  // namespace

class Daemon::Impl : public control::ControlApi {
 public:
  Impl(Settings settings, request::Dialect dialect)
      : settings_(std::move(settings)), dialect_(std::move(dialect)) {}

  ResultCode Start();
  void DrainHost();
  void Stop();

  rpc::PublishReply PublishRouting(rpc::RoutingCommand command) override;
  rpc::PublishReply OrderMove(rpc::MoveOrder order) override;
  rpc::PublishReply OrderEvacuation(rpc::EvacuationOrder order) override;
  control::RoutingReport ReadRouting() override;
  control::MoveReport ReadMove(const std::string& service) override;
  ResultCode Announce(const registry::Announcement& announcement) override;
  ResultCode Leave(const std::string& instance, int64_t started_ms) override;
  bool Ready() override;

 private:
  ResultCode LoadIdentity();
  ResultCode CreateNodes(const base::Now& now);
  ResultCode CreateSource(const base::Now& now);
  ResultCode CreateRelay();
  // Starts the admin server of a daemon without a proxy. A proxy has its own.
  ResultCode StartAdmin();
  void AddPeerAddresses();
  void WarnIfUnencrypted();
  rpc::PublishReply Publish(const rpc::PublishRequest& request);
  rpc::QueryReply Query(const rpc::QueryRequest& request);
  rpc::PublishReply ChangeMember(const rpc::MemberRequest& request);
  template <typename NodeType>
  void StartLoop(Role<NodeType>& role, const std::string& id);
  void AddAlias(const std::string& id, control::NodeLoop* loop);

  Settings settings_;
  const request::Dialect dialect_;
  rpc::Membership first_members_;
  base::SystemClock clock_;
  uint64_t incarnation_ = 0;
  std::unique_ptr<rpc::MeshTransport> transport_;
  std::unique_ptr<grpc::Service> control_service_;
  control::ControlMetrics metrics_;
  Role<distribution::SourceNode> source_;
  Role<distribution::RelayNode> relay_;
  std::unique_ptr<control::SourceCommands> commands_;
  std::unique_ptr<serving::ProxyRole> proxy_;
  std::unique_ptr<control::AdminServer> admin_;
};

template <typename NodeType>
void Daemon::Impl::StartLoop(Role<NodeType>& role, const std::string& id) {
  role.loop_ = std::make_unique<control::NodeLoop>(
      *role.node_, clock_, [this](rpc::Envelope envelope) {
        transport_->Send(std::move(envelope));
      });
  control::NodeLoop* const loop = role.loop_.get();
  transport_->AddNode(
      id, [loop](rpc::Envelope envelope) { loop->Post(std::move(envelope)); });
  AddAlias(id, loop);
}

void Daemon::Impl::AddAlias(const std::string& id, control::NodeLoop* loop) {
  const std::string alias = membership::IdWithoutSuffix(id);
  if (alias.empty() || alias == id) {
    return;
  }
  // Consensus and claim messages to the alias are for the identity that this
  // host had before it lost its disk, so they are dropped.
  transport_->AddNode(alias, [loop](rpc::Envelope envelope) {
    const bool identity_bound = envelope.has_raft() || envelope.has_claim() ||
                                envelope.has_claim_transfer_request() ||
                                envelope.has_claim_transfer();
    if (!identity_bound) {
      loop->Post(std::move(envelope));
    }
  });
}

ResultCode Daemon::Impl::LoadIdentity() {
  if (settings_.seeds_.empty() || !(settings_.source_ || settings_.relay_)) {
    return ResultCode::kOk;
  }
  tl::expected<HostIdentity, ResultCode> identity = LoadHostIdentity(settings_);
  if (!identity) {
    return identity.error();
  }
  settings_.source_id_ =
      membership::NodeId(membership::kSourceRole, identity->host_id_);
  settings_.relay_id_ =
      membership::NodeId(membership::kRelayRole, identity->host_id_);
  first_members_ = std::move(identity->first_members_);
  return ResultCode::kOk;
}

ResultCode Daemon::Impl::CreateSource(const base::Now& now) {
  source_.journal_ = control::MakeJournal("source", settings_);
  metrics_.SetSourceJournal(source_.journal_.get());
  tl::expected<std::unique_ptr<distribution::SourceNode>, ResultCode> node =
      distribution::SourceNode::Create(
          control::MakeSourceOptions(settings_, first_members_, incarnation_),
          *source_.journal_, now);
  if (!node) {
    return node.error();
  }
  source_.node_ = std::move(*node);
  StartLoop(source_, settings_.source_id_);
  commands_ = std::make_unique<control::SourceCommands>(
      *source_.loop_, *source_.node_, metrics_);
  source_.loop_->SetAfterFlush([this](const base::Now& flushed) {
    commands_->DeliverResults();
    metrics_.RecordSource(*source_.node_, flushed);
  });
  return ResultCode::kOk;
}

ResultCode Daemon::Impl::CreateRelay() {
  relay_.journal_ = control::MakeJournal("relay", settings_);
  metrics_.SetRelayJournal(relay_.journal_.get());
  tl::expected<std::unique_ptr<distribution::RelayNode>, ResultCode> node =
      distribution::RelayNode::Create(
          control::MakeRelayOptions(settings_, incarnation_), *relay_.journal_);
  if (!node) {
    return node.error();
  }
  relay_.node_ = std::move(*node);
  StartLoop(relay_, settings_.relay_id_);
  relay_.loop_->SetAfterFlush([this](const base::Now& flushed) {
    metrics_.RecordRelay(*relay_.node_, flushed);
  });
  return ResultCode::kOk;
}

ResultCode Daemon::Impl::StartAdmin() {
  if (!settings_.admin_configured_) {
    return ResultCode::kOk;
  }
  control::AdminHandlers handlers;
  handlers.metrics_ = [this] { return metrics_.Render(clock_.Read().mono_); };
  handlers.ready_ = [this] { return Ready(); };
  admin_ = std::make_unique<control::AdminServer>(std::move(handlers));
  return admin_->Start(settings_.admin_address_);
}

void Daemon::Impl::AddPeerAddresses() {
  for (const auto& [id, address] : settings_.sources_) {
    transport_->SetAddress(id, address);
  }
  for (const auto& [id, relay] : settings_.relays_) {
    transport_->SetAddress(id, relay.address_);
  }
}

void Daemon::Impl::WarnIfUnencrypted() {
  if (!settings_.tls_.Enabled() && !IsLoopback(settings_.control_address_)) {
    LogEvent(EventId::kTlsOff, {{"address", settings_.control_address_}});
  }
}

ResultCode Daemon::Impl::CreateNodes(const base::Now& now) {
  ResultCode code = ResultCode::kOk;
  if (settings_.source_) {
    code = CreateSource(now);
  }
  if (code == ResultCode::kOk && settings_.relay_) {
    code = CreateRelay();
  }
  if (code != ResultCode::kOk || !settings_.proxy_) {
    return code;
  }
  tl::expected<std::unique_ptr<serving::ProxyRole>, ResultCode> proxy =
      serving::ProxyRole::Create(settings_, dialect_, incarnation_, clock_,
                                 *transport_);
  if (!proxy) {
    return proxy.error();
  }
  proxy_ = std::move(*proxy);
  return ResultCode::kOk;
}

ResultCode Daemon::Impl::Start() {
  const base::Now now = clock_.Read();
  incarnation_ = static_cast<uint64_t>(base::ToUnixMs(now.wall_));
  if (!settings_.data_folder_.empty()) {
    std::error_code error;
    std::filesystem::create_directories(settings_.data_folder_, error);
    if (error) {
      return ResultCode::kStorageFailed;
    }
  }
  ResultCode code = LoadIdentity();
  if (code != ResultCode::kOk) {
    return code;
  }
  rpc::TransportOptions options;
  options.listen_ = settings_.control_address_;
  options.tls_ = settings_.tls_;
  if (!settings_.seeds_.empty()) {
    options.address_of_ = [](const std::string& node) {
      return membership::AddressOfNode(node);
    };
  }
  transport_ = std::make_unique<rpc::MeshTransport>(std::move(options));
  AddPeerAddresses();
  WarnIfUnencrypted();
  code = CreateNodes(now);
  if (code != ResultCode::kOk) {
    return code;
  }
  control_service_ = rpc::MakeControlService(
      {[this](const rpc::PublishRequest& request) { return Publish(request); },
       [this](const rpc::QueryRequest& request) { return Query(request); },
       [this](const rpc::MemberRequest& request) {
         return ChangeMember(request);
       },
       [this](const rpc::EvacuationOrder& order) {
         return OrderEvacuation(order);
       }});
  transport_->AddService(control_service_.get());
  code = transport_->Start();
  if (code != ResultCode::kOk) {
    return code;
  }
  if (source_.loop_ != nullptr) {
    source_.loop_->Start();
  }
  if (relay_.loop_ != nullptr) {
    relay_.loop_->Start();
  }
  code = proxy_ != nullptr ? proxy_->Start() : StartAdmin();
  if (code == ResultCode::kOk) {
    LogEvent(EventId::kStarted, {{"host", settings_.host_},
                                 {"zone", settings_.zone_},
                                 {"service", settings_.service_},
                                 {"upstream", settings_.upstream_address_},
                                 {"control", settings_.control_address_}});
  }
  return code;
}

rpc::PublishReply Daemon::Impl::Publish(const rpc::PublishRequest& request) {
  return commands_ == nullptr ? control::MakeFailure(ResultCode::kNotLeader)
                              : commands_->Publish(request.publication());
}

rpc::PublishReply Daemon::Impl::PublishRouting(rpc::RoutingCommand command) {
  return commands_ == nullptr ? control::MakeFailure(ResultCode::kNotLeader)
                              : commands_->PublishRouting(command);
}

rpc::PublishReply Daemon::Impl::OrderMove(rpc::MoveOrder order) {
  return commands_ == nullptr ? control::MakeFailure(ResultCode::kNotLeader)
                              : commands_->OrderMove(order);
}

rpc::PublishReply Daemon::Impl::OrderEvacuation(rpc::EvacuationOrder order) {
  return commands_ == nullptr ? control::MakeFailure(ResultCode::kNotLeader)
                              : commands_->OrderEvacuation(order);
}

control::RoutingReport Daemon::Impl::ReadRouting() {
  return commands_ == nullptr ? control::RoutingReport{ResultCode::kNotLeader}
                              : commands_->ReadRouting();
}

control::MoveReport Daemon::Impl::ReadMove(const std::string& service) {
  return commands_ == nullptr ? control::MoveReport{ResultCode::kNotLeader}
                              : commands_->ReadMove(service);
}

ResultCode Daemon::Impl::Announce(const registry::Announcement& announcement) {
  return proxy_ == nullptr ? ResultCode::kNoEndpoint
                           : proxy_->Announce(announcement);
}

ResultCode Daemon::Impl::Leave(const std::string& instance,
                               int64_t started_ms) {
  return proxy_ == nullptr ? ResultCode::kNoEndpoint
                           : proxy_->RemoveInstance(instance, started_ms);
}

bool Daemon::Impl::Ready() {
  return proxy_ == nullptr || proxy_->Ready();
}

rpc::QueryReply Daemon::Impl::Query(const rpc::QueryRequest& request) {
  rpc::QueryReply reply;
  const bool zone_scoped = request.kind() == rpc::QueryRequest::QUARANTINE ||
                           request.kind() == rpc::QueryRequest::ENDPOINTS;
  const bool only_source = relay_.loop_ == nullptr && proxy_ == nullptr;
  if (source_.loop_ != nullptr && (!zone_scoped || only_source)) {
    source_.loop_->RunAndWait([&](const base::Now& now) {
      reply = source_.node_->Query(request, now);
    });
  } else if (relay_.loop_ != nullptr) {
    relay_.loop_->RunAndWait([&](const base::Now& now) {
      reply = relay_.node_->Query(request, now);
    });
  } else {
    reply = proxy_->Query(request);
  }
  return reply;
}

rpc::PublishReply Daemon::Impl::ChangeMember(
    const rpc::MemberRequest& request) {
  rpc::PublishReply reply;
  if (source_.loop_ == nullptr) {
    reply.set_result_code(static_cast<uint32_t>(ResultCode::kNotLeader));
    return reply;
  }
  source_.loop_->RunAndWait([&](const base::Now& now) {
    reply = source_.node_->ChangeMember(request, now);
    for (const rpc::Member& member :
         source_.node_->Raft().CurrentMembership().members()) {
      transport_->SetAddress(member.id(), member.address());
    }
  });
  return reply;
}

void Daemon::Impl::DrainHost() {
  LogEvent(EventId::kStopping, {{"host", settings_.host_}});
  if (proxy_ != nullptr) {
    proxy_->Drain();
  }
}

void Daemon::Impl::Stop() {
  if (proxy_ != nullptr) {
    proxy_->Stop();
  }
  if (admin_ != nullptr) {
    admin_->Stop();
  }
  transport_->Stop();
  if (relay_.loop_ != nullptr) {
    relay_.loop_->Stop();
  }
  if (source_.loop_ != nullptr) {
    source_.loop_->Stop();
  }
}

Daemon::Daemon(Settings settings, request::Dialect dialect)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(dialect))) {}
Daemon::~Daemon() = default;
ResultCode Daemon::Start() {
  return impl_->Start();
}
void Daemon::Drain() {
  impl_->DrainHost();
}
void Daemon::Stop() {
  impl_->Stop();
}
control::ControlApi& Daemon::Api() {
  return *impl_;
}

}  // namespace buckthorngate::daemon::startup
