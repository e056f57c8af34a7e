// Client of the control API: retries commands until a source accepts or refuses
// them.
#include "buckthorngate/control_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

#include "mesh.grpc.pb.h"
#include "rpc/credentials.h"
#include "rpc/mesh_transport.h"

namespace buckthorngate {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{100};
constexpr std::chrono::milliseconds kConnectTimeout{1500};
constexpr std::chrono::milliseconds kCallTimeout{6000};

using SteadyTime = std::chrono::steady_clock::time_point;

// Whether the same command may succeed at another server or a little later.
bool IsRetryable(ResultCode code) {
  return code == ResultCode::kNotLeader ||
         code == ResultCode::kOutcomeUnknown ||
         code == ResultCode::kOverloaded ||
         code == ResultCode::kStorageFailed ||
         code == ResultCode::kMembershipBusy ||
         code == ResultCode::kOrderAmbiguous;
}

}  // namespace

class ControlClient::Impl {
 public:
  Impl(std::vector<std::string> servers,
       ClientTls tls,
       std::chrono::milliseconds timeout)
      : servers_(std::move(servers)), timeout_(timeout) {
    tls_.ca_file_ = std::move(tls.ca_file_);
    tls_.cert_file_ = std::move(tls.cert_file_);
    tls_.key_file_ = std::move(tls.key_file_);
    tls_.server_name_ = std::move(tls.server_name_);
  }

  // Returns null if no connection is made within kConnectTimeout. A blocking
  // gRPC client progresses with a handshake only while a thread waits, so this
  // waits here rather than in calls that would fail at once.
  rpc::Control::Stub* StubFor(const std::string& address) {
    Server& server = connections_[address];
    if (server.channel_ == nullptr) {
      server.channel_ = rpc::MakeChannel(address, tls_);
      server.stub_ = rpc::Control::NewStub(server.channel_);
    }
    const bool connected = server.channel_->WaitForConnected(
        std::chrono::system_clock::now() + kConnectTimeout);
    return connected ? server.stub_.get() : nullptr;
  }

  // Calls servers in turn, the indicated leader first, until one gives a final
  // answer or the timeout passes.
  template <typename Request, typename Method>
  tl::expected<rpc::PublishReply, ResultCode> Write(const Request& request,
                                                    Method method) {
    const SteadyTime deadline = std::chrono::steady_clock::now() + timeout_;
    ResultCode last_error = ResultCode::kConnectionLost;
    std::string leader_address;
    size_t next = 0;
    while (std::chrono::steady_clock::now() < deadline) {
      const std::string address = leader_address.empty()
                                      ? servers_[next++ % servers_.size()]
                                      : leader_address;
      leader_address.clear();
      grpc::ClientContext context;
      context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
      rpc::PublishReply reply;
      rpc::Control::Stub* const stub = StubFor(address);
      const grpc::Status status =
          stub == nullptr ? grpc::Status(grpc::StatusCode::UNAVAILABLE, "")
                          : (stub->*method)(&context, request, &reply);
      const ResultCode code = ResultCodeFromNumber(reply.result_code());
      if (status.ok() && !IsRetryable(code)) {
        return reply;
      }
      last_error = status.ok() ? code : ResultCode::kConnectionLost;
      leader_address = status.ok() ? reply.leader() : std::string();
      if (leader_address.empty()) {
        std::this_thread::sleep_for(kRetryDelay);
      }
    }
    return tl::unexpected(last_error == ResultCode::kNotLeader
                              ? ResultCode::kNoQuorum
                              : last_error);
  }

  tl::expected<rpc::QueryReply, ResultCode> QueryAt(
      const std::string& address,
      const rpc::QueryRequest& request) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    rpc::QueryReply reply;
    rpc::Control::Stub* const stub = StubFor(address);
    if (stub == nullptr || !stub->Query(&context, request, &reply).ok()) {
      return tl::unexpected(ResultCode::kConnectionLost);
    }
    const ResultCode code = ResultCodeFromNumber(reply.result_code());
    if (code != ResultCode::kOk) {
      return tl::unexpected(code);
    }
    return reply;
  }

  tl::expected<rpc::QueryReply, ResultCode> Query(
      const rpc::QueryRequest& request) {
    ResultCode last_error = ResultCode::kConnectionLost;
    for (const std::string& address : servers_) {
      tl::expected<rpc::QueryReply, ResultCode> reply =
          QueryAt(address, request);
      if (reply) {
        return reply;
      }
      last_error = reply.error();
    }
    return tl::unexpected(last_error);
  }

  std::vector<std::string> servers_;
  rpc::TlsOptions tls_;
  const std::chrono::milliseconds timeout_;
  struct Server {
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<rpc::Control::Stub> stub_;
  };

  std::map<std::string, Server> connections_;
};

ControlClient::ControlClient(std::vector<std::string> servers,
                             ClientTls tls,
                             std::chrono::milliseconds timeout)
    : impl_(
          std::make_unique<Impl>(std::move(servers), std::move(tls), timeout)) {
}
ControlClient::~ControlClient() = default;

tl::expected<rpc::PublishReply, ResultCode> ControlClient::Publish(
    const rpc::Publication& publication) {
  rpc::PublishRequest request;
  *request.mutable_publication() = publication;
  using Method = grpc::Status (rpc::Control::Stub::*)(
      grpc::ClientContext*, const rpc::PublishRequest&, rpc::PublishReply*);
  return impl_->Write(request,
                      static_cast<Method>(&rpc::Control::Stub::Publish));
}

tl::expected<rpc::PublishReply, ResultCode> ControlClient::ChangeMember(
    const rpc::MemberRequest& request) {
  using Method = grpc::Status (rpc::Control::Stub::*)(
      grpc::ClientContext*, const rpc::MemberRequest&, rpc::PublishReply*);
  return impl_->Write(request,
                      static_cast<Method>(&rpc::Control::Stub::ChangeMember));
}

tl::expected<rpc::PublishReply, ResultCode> ControlClient::OrderEvacuation(
    const rpc::EvacuationOrder& order) {
  using Method = grpc::Status (rpc::Control::Stub::*)(
      grpc::ClientContext*, const rpc::EvacuationOrder&, rpc::PublishReply*);
  return impl_->Write(
      order, static_cast<Method>(&rpc::Control::Stub::OrderEvacuation));
}

tl::expected<rpc::QueryReply, ResultCode> ControlClient::Query(
    const rpc::QueryRequest& request) {
  return impl_->Query(request);
}

tl::expected<rpc::QueryReply, ResultCode> ControlClient::QueryLeader(
    const rpc::QueryRequest& request) {
  tl::expected<rpc::QueryReply, ResultCode> first = impl_->Query(request);
  if (!first || first->leader().empty() || first->leader() == first->node()) {
    return first;
  }
  for (const rpc::Member& member : first->membership().members()) {
    if (member.id() == first->leader()) {
      tl::expected<rpc::QueryReply, ResultCode> leader_reply =
          impl_->QueryAt(member.address(), request);
      return leader_reply ? leader_reply : first;
    }
  }
  return first;
}

}  // namespace buckthorngate
