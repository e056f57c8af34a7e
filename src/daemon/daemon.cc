// Composition of a daemon.
#include "daemon/daemon.h"

#include <condition_variable>
#include <filesystem>
#include <future>
#include <map>
#include <mutex>
#include <utility>

#include <grpcpp/impl/codegen/service_type.h>

#include "base/events.h"
#include "base/hash.h"
#include "daemon/node_loop.h"
#include "daemon/proxy_role.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "rpc/control_service.h"
#include "storage/file_journal.h"

namespace buckthorngate::daemon {
namespace {

using base::EventId;
using base::LogEvent;

constexpr std::chrono::seconds kPublishTimeout{5};

// Both a source and its loop; a relay likewise.
template <typename NodeType>
struct Role {
  std::unique_ptr<storage::FileJournal> journal_;
  std::unique_ptr<NodeType> node_;
  std::unique_ptr<NodeLoop> loop_;
};

bool IsLoopback(const std::string& address) {
  return address.starts_with("127.");
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(Settings settings) : settings_(std::move(settings)) {}

  ResultCode Start();
  void Stop();

 private:
  ResultCode CreateSource(const base::Now& now);
  ResultCode CreateRelay();
  void AddAddresses();
  void WarnIfOpen();
  rpc::PublishReply Publish(const rpc::PublishRequest& request);
  rpc::QueryReply Query(const rpc::QueryRequest& request);
  rpc::PublishReply ChangeMember(const rpc::MemberRequest& request);
  void CompletePublications();
  template <typename NodeType>
  void StartLoop(Role<NodeType>& role, const std::string& id);

  const Settings settings_;
  base::SystemClock clock_;
  uint64_t incarnation_ = 0;
  std::unique_ptr<rpc::MeshTransport> transport_;
  std::unique_ptr<grpc::Service> control_;
  Role<distribution::SourceNode> source_;
  Role<distribution::RelayNode> relay_;
  std::unique_ptr<ProxyRole> proxy_;
  // Publications by ticket; used on the source's loop only.
  std::map<uint64_t, std::shared_ptr<std::promise<rpc::PublishReply>>> waiting_;
};

template <typename NodeType>
void Daemon::Impl::StartLoop(Role<NodeType>& role, const std::string& id) {
  role.loop_ = std::make_unique<NodeLoop>(
      *role.node_, clock_, [this](rpc::Envelope envelope) {
        transport_->Send(std::move(envelope));
      });
  NodeLoop* const loop = role.loop_.get();
  transport_->AddNode(
      id, [loop](rpc::Envelope envelope) { loop->Post(std::move(envelope)); });
}

ResultCode Daemon::Impl::CreateSource(const base::Now& now) {
  source_.journal_ = std::make_unique<storage::FileJournal>(
      settings_.data_folder_ + "/source.journal");
  distribution::SourceOptions options;
  options.id_ = settings_.source_id_;
  options.seed_ = incarnation_ ^ base::Hash(settings_.source_id_);
  for (const auto& [id, address] : settings_.sources_) {
    rpc::Member& member = *options.members_.add_members();
    member.set_id(id);
    member.set_address(address);
    member.set_learner(id == settings_.source_id_ && settings_.source_joins_);
  }
  tl::expected<std::unique_ptr<distribution::SourceNode>, ResultCode> node =
      distribution::SourceNode::Create(std::move(options), *source_.journal_,
                                       now);
  if (!node) {
    return node.error();
  }
  source_.node_ = std::move(*node);
  StartLoop(source_, settings_.source_id_);
  source_.loop_->SetAfterFlush(
      [this](const base::Now&) { CompletePublications(); });
  return ResultCode::kOk;
}

ResultCode Daemon::Impl::CreateRelay() {
  relay_.journal_ = std::make_unique<storage::FileJournal>(
      settings_.data_folder_ + "/relay.journal");
  distribution::RelayOptions options;
  options.id_ = settings_.relay_id_;
  options.zone_ = settings_.zone_;
  options.incarnation_ = incarnation_;
  options.seed_ = incarnation_ ^ base::Hash(settings_.relay_id_);
  for (const auto& [id, address] : settings_.sources_) {
    options.sources_.push_back(id);
  }
  for (const auto& [id, relay] : settings_.relays_) {
    if (id != settings_.relay_id_) {
      options.relays_.push_back(id);
    }
  }
  tl::expected<std::unique_ptr<distribution::RelayNode>, ResultCode> node =
      distribution::RelayNode::Create(std::move(options), *relay_.journal_);
  if (!node) {
    return node.error();
  }
  relay_.node_ = std::move(*node);
  StartLoop(relay_, settings_.relay_id_);
  return ResultCode::kOk;
}

void Daemon::Impl::AddAddresses() {
  for (const auto& [id, address] : settings_.sources_) {
    transport_->SetAddress(id, address);
  }
  for (const auto& [id, relay] : settings_.relays_) {
    transport_->SetAddress(id, relay.address_);
  }
}

void Daemon::Impl::WarnIfOpen() {
  if (!settings_.tls_.Enabled() && !IsLoopback(settings_.control_address_)) {
    LogEvent(EventId::kTlsOff, {{"address", settings_.control_address_}});
  }
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
  rpc::TransportOptions options;
  options.listen_ = settings_.control_address_;
  options.tls_ = settings_.tls_;
  transport_ = std::make_unique<rpc::MeshTransport>(std::move(options));
  AddAddresses();
  WarnIfOpen();
  ResultCode code = ResultCode::kOk;
  if (settings_.source_) {
    code = CreateSource(now);
  }
  if (code == ResultCode::kOk && settings_.relay_) {
    code = CreateRelay();
  }
  if (code != ResultCode::kOk) {
    return code;
  }
  if (settings_.proxy_) {
    tl::expected<std::unique_ptr<ProxyRole>, ResultCode> proxy =
        ProxyRole::Create(settings_, incarnation_, clock_, *transport_);
    if (!proxy) {
      return proxy.error();
    }
    proxy_ = std::move(*proxy);
  }
  control_ = rpc::MakeControlService(
      {[this](const rpc::PublishRequest& request) { return Publish(request); },
       [this](const rpc::QueryRequest& request) { return Query(request); },
       [this](const rpc::MemberRequest& request) {
         return ChangeMember(request);
       }});
  transport_->AddService(control_.get());
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
  if (proxy_ != nullptr) {
    code = proxy_->Start();
  }
  if (code == ResultCode::kOk) {
    LogEvent(EventId::kStarted, {{"host", settings_.host_},
                                 {"zone", settings_.zone_},
                                 {"control", settings_.control_address_}});
  }
  return code;
}

void Daemon::Impl::CompletePublications() {
  for (distribution::PublishResult& result :
       source_.node_->TakePublishResults()) {
    const auto found = waiting_.find(result.ticket_);
    if (found != waiting_.end()) {
      found->second->set_value(std::move(result.reply_));
      waiting_.erase(found);
    }
  }
}

rpc::PublishReply Daemon::Impl::Publish(const rpc::PublishRequest& request) {
  rpc::PublishReply failure;
  const auto fail = [&failure](ResultCode code) {
    failure.set_result_code(static_cast<uint32_t>(code));
    failure.set_message(std::string(Describe(code).message_));
    return failure;
  };
  if (source_.loop_ == nullptr) {
    return fail(ResultCode::kNotLeader);
  }
  std::shared_ptr<std::promise<rpc::PublishReply>> promise =
      std::make_shared<std::promise<rpc::PublishReply>>();
  std::future<rpc::PublishReply> reply = promise->get_future();
  source_.loop_->Run([this, request, promise](const base::Now& now) {
    waiting_[source_.node_->Publish(request.publication(), now)] = promise;
  });
  if (reply.wait_for(kPublishTimeout) != std::future_status::ready) {
    return fail(ResultCode::kOutcomeUnknown);
  }
  return reply.get();
}

rpc::QueryReply Daemon::Impl::Query(const rpc::QueryRequest& request) {
  rpc::QueryReply reply;
  const bool of_zone = request.kind() == rpc::QueryRequest::QUARANTINE ||
                       request.kind() == rpc::QueryRequest::ENDPOINTS;
  if (source_.loop_ != nullptr && !of_zone) {
    source_.loop_->RunAndWait([&](const base::Now& now) {
      reply = source_.node_->Query(request, now);
    });
  } else if (relay_.loop_ != nullptr) {
    relay_.loop_->RunAndWait([&](const base::Now& now) {
      reply = relay_.node_->Query(request, now);
    });
  } else if (proxy_ != nullptr) {
    reply = proxy_->Query(request);
  } else {
    source_.loop_->RunAndWait([&](const base::Now& now) {
      reply = source_.node_->Query(request, now);
    });
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

void Daemon::Impl::Stop() {
  LogEvent(EventId::kStopping, {{"host", settings_.host_}});
  if (proxy_ != nullptr) {
    proxy_->Drain();
    proxy_->Stop();
  }
  transport_->Stop();
  if (relay_.loop_ != nullptr) {
    relay_.loop_->Stop();
  }
  if (source_.loop_ != nullptr) {
    source_.loop_->Stop();
  }
  LogEvent(EventId::kStopped, {{"host", settings_.host_}});
}

Daemon::Daemon(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
Daemon::~Daemon() = default;

ResultCode Daemon::Start() {
  return impl_->Start();
}
void Daemon::Stop() {
  impl_->Stop();
}

}  // namespace buckthorngate::daemon
