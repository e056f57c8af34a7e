// Transports envelopes between the nodes of different processes over
// bidirectional gRPC streams, one for each dialled address.
//
// Delivery is at most once: messages are lost if a queue is full or a stream
// breaks, and the nodes' protocols tolerate that. Messages of one stream stay
// in order.
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
  // Name that server certificates are verified against.
  std::string server_name_;

  bool Enabled() const { return !ca_file_.empty(); }
};

struct TransportOptions {
  std::string listen_;  // IP:port; empty: does not listen.
  // Identities of this process's nodes; AddNode appends to them.
  std::vector<std::string> local_nodes_;
  TlsOptions tls_;
  // Resolves the address of a node without a SetAddress entry; returns an empty
  // string if it is unknown. May be null.
  std::function<std::string(const std::string& node)> address_of_;
};

// Delivers an envelope to a node of this process.
using EnvelopeHandler = std::function<void(Envelope envelope)>;

class MeshTransport {
 public:
  explicit MeshTransport(TransportOptions options);
  ~MeshTransport();
  MeshTransport(const MeshTransport&) = delete;
  MeshTransport& operator=(const MeshTransport&) = delete;

  // Each must be called before Start. Added gRPC services must outlive the
  // transport.
  void AddNode(const std::string& id, EnvelopeHandler deliver);
  void AddService(grpc::Service* service);

  // Starts listening. Errors: kBadSettings if the address cannot be bound or a
  // certificate file cannot be read.
  ResultCode Start();
  void Stop();

  // Safe for concurrent use. Delivers to a local node directly. To another node
  // it sends over a stream dialled to its address, or, if no address is known,
  // over the stream that the node's process has opened.
  void Send(Envelope envelope);
  // Sets the address of a node in another process. Safe for concurrent use.
  void SetAddress(const std::string& node, const std::string& address);

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_MESH_TRANSPORT_H_
