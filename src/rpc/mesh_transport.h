// Carries envelopes between processes: one ordered gRPC stream per pair.
//
// Messages may be lost (a full queue, a broken stream); the nodes' protocols
// allow for it. Within a stream the order holds.
#ifndef SRC_RPC_MESH_TRANSPORT_H_
#define SRC_RPC_MESH_TRANSPORT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace grpc {
class Service;
}

namespace buckthorngate::rpc {

// Files for mutual TLS; all empty: TLS is off.
struct TlsOptions {
  std::string ca_file_;
  std::string cert_file_;
  std::string key_file_;
  // Name that certificates are checked against.
  std::string server_name_;

  bool Enabled() const { return !ca_file_.empty(); }
};

struct TransportOptions {
  std::string listen_;  // IP:port; empty: does not listen.
  std::vector<std::string> local_nodes_;
  TlsOptions tls_;
  // Address of a node that SetAddress was not told of, or empty. May be null.
  std::function<std::string(const std::string& node)> address_of_;
};

// Delivers an envelope to a node of this process.
using Deliver = std::function<void(Envelope envelope)>;

class MeshTransport {
 public:
  explicit MeshTransport(TransportOptions options);
  ~MeshTransport();
  MeshTransport(const MeshTransport&) = delete;
  MeshTransport& operator=(const MeshTransport&) = delete;

  // Before Start. Further gRPC services must outlive the transport.
  void AddNode(const std::string& id, Deliver deliver);
  void AddService(grpc::Service* service);

  // Errors: kBadSettings for an address or certificate that does not work.
  ResultCode Start();
  void Stop();

  // Safe for concurrent use. Local nodes are delivered to directly; others
  // over a stream that is open, or dialled if the address is known.
  void Send(Envelope envelope);
  void SetAddress(const std::string& node, const std::string& address);

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_MESH_TRANSPORT_H_
