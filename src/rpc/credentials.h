// gRPC credentials from TLS settings.
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

// Null if a file cannot be read.
std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsOptions& tls);
std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address,
                                           const TlsOptions& tls);

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_CREDENTIALS_H_
