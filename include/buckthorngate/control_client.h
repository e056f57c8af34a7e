// Client of the control API: what operators' tools call.
//
// Each call tries the given servers in turn, follows a source's word on who
// leads, and gives up after its time-out. A publication whose outcome is
// unknown is sent again under the same number, which is safe.
#ifndef BUCKTHORNGATE_CONTROL_CLIENT_H_
#define BUCKTHORNGATE_CONTROL_CLIENT_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "buckthorngate/result_code.h"

namespace buckthorngate {

namespace rpc {
class EvacuationOrder;
class MemberRequest;
class Publication;
class PublishReply;
class QueryReply;
class QueryRequest;
}  // namespace rpc

// Files for mutual TLS; all empty: TLS is off.
struct ClientTls {
  std::string ca_file_;
  std::string cert_file_;
  std::string key_file_;
  std::string server_name_;
};

// Not safe for concurrent use.
class ControlClient {
 public:
  // `servers` are addresses, IP:port, of daemons.
  ControlClient(std::vector<std::string> servers,
                ClientTls tls,
                std::chrono::milliseconds timeout);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // Errors: kConnectionLost, kTimedOut, kNoQuorum (no source leads). A refusal
  // is a reply with its code, not an error.
  tl::expected<rpc::PublishReply, ResultCode> Publish(
      const rpc::Publication& publication);

  // Asks the first server that answers. Errors: kConnectionLost.
  tl::expected<rpc::QueryReply, ResultCode> Query(
      const rpc::QueryRequest& request);

  // Asks the leader, for what only it knows; falls back to any source.
  tl::expected<rpc::QueryReply, ResultCode> QueryLeader(
      const rpc::QueryRequest& request);

  tl::expected<rpc::PublishReply, ResultCode> ChangeMember(
      const rpc::MemberRequest& request);

  // Sends the order again while it is ambiguous or its outcome is unknown.
  tl::expected<rpc::PublishReply, ResultCode> OrderEvacuation(
      const rpc::EvacuationOrder& order);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate

#endif  // BUCKTHORNGATE_CONTROL_CLIENT_H_
