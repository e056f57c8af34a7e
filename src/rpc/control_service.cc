// gRPC service for operators' tools.
#include "rpc/control_service.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <string>
#include <utility>

#include "buckthorngate/result_code.h"
#include "mesh.grpc.pb.h"

namespace buckthorngate::rpc {
namespace {

// Common name in the client's certificate; empty without TLS.
std::string AuthenticatedName(const grpc::ServerContext& context) {
  const std::shared_ptr<const grpc::AuthContext> auth = context.auth_context();
  if (auth == nullptr) {
    return {};
  }
  const std::vector<grpc::string_ref> names =
      auth->FindPropertyValues("x509_common_name");
  return names.empty() ? std::string()
                       : std::string(names[0].data(), names[0].size());
}

class ControlService : public Control::Service {
 public:
  explicit ControlService(ControlHandlers handlers)
      : handlers_(std::move(handlers)) {}

  grpc::Status Publish(grpc::ServerContext* context,
                       const PublishRequest* request,
                       PublishReply* reply) override {
    PublishRequest authored = *request;
    const std::string operator_name = AuthenticatedName(*context);
    if (!operator_name.empty()) {
      authored.mutable_publication()->set_author(operator_name);
    }
    *reply = handlers_.publish_(authored);
    return grpc::Status::OK;
  }

  grpc::Status Query(grpc::ServerContext*,
                     const QueryRequest* request,
                     QueryReply* reply) override {
    if (queries_.fetch_add(1) >= kMaxConcurrentQueries) {
      const ResultCodeInfo& info = Describe(ResultCode::kOverloaded);
      reply->set_result_code(static_cast<uint32_t>(info.code_));
      reply->set_message(std::string(info.message_));
    } else {
      *reply = handlers_.query_(*request);
    }
    queries_.fetch_sub(1);
    return grpc::Status::OK;
  }

  grpc::Status ChangeMember(grpc::ServerContext* context,
                            const MemberRequest* request,
                            PublishReply* reply) override {
    MemberRequest authored = *request;
    const std::string operator_name = AuthenticatedName(*context);
    if (!operator_name.empty()) {
      authored.set_author(operator_name);
    }
    *reply = handlers_.change_member_(authored);
    return grpc::Status::OK;
  }

  grpc::Status OrderEvacuation(grpc::ServerContext* context,
                               const EvacuationOrder* request,
                               PublishReply* reply) override {
    EvacuationOrder authored = *request;
    const std::string operator_name = AuthenticatedName(*context);
    if (!operator_name.empty()) {
      authored.set_author(operator_name);
    }
    *reply = handlers_.order_evacuation_(authored);
    return grpc::Status::OK;
  }

 private:
  const ControlHandlers handlers_;
  std::atomic<int> queries_{0};
};

}  // namespace

std::unique_ptr<grpc::Service> MakeControlService(ControlHandlers handlers) {
  return std::make_unique<ControlService>(std::move(handlers));
}

}  // namespace buckthorngate::rpc
