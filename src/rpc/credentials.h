// gRPC credentials and channels from TLS settings.
#ifndef SRC_RPC_CREDENTIALS_H_
#define SRC_RPC_CREDENTIALS_H_

#include <memory>
#include <string>

#include "rpc/mesh_transport.h"

namespace grpc {
class Channel;
class ServerCredentials;
}  // namespace grpc

namespace buckthorngate::rpc {

// Returns null if TLS is enabled and one of its files cannot be read.
std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsOptions& tls);
// Returns a channel that connects on first use. A file that cannot be read
// counts as empty.
std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address,
                                           const TlsOptions& tls);

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_CREDENTIALS_H_
