// members add and remove.
#include <iostream>

#include "cli/commands.h"
#include "mesh.pb.h"

namespace buckthorngate::cli {
namespace {

int Change(const Options& options, rpc::MemberRequest::Action action) {
  rpc::MemberRequest request;
  request.set_action(action);
  request.set_author(options.author_);
  request.mutable_member()->set_id(options.member_id_);
  request.mutable_member()->set_address(options.member_address_);
  const tl::expected<rpc::PublishReply, ResultCode> reply =
      options.Connect()->ChangeMember(request);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  const ResultCode code = ResultCodeFromNumber(reply->result_code());
  if (code != ResultCode::kOk) {
    ReportFailure(code);
    return kExitRefused;
  }
  std::cout << (action == rpc::MemberRequest::ADD
                    ? "Added as a learner; it votes once it has caught up.\n"
                    : "Removed.\n");
  return kExitOk;
}

}  // namespace

int MembersAdd(const Options& options) {
  return Change(options, rpc::MemberRequest::ADD);
}

int MembersRemove(const Options& options) {
  return Change(options, rpc::MemberRequest::REMOVE);
}

}  // namespace buckthorngate::cli
