// gRPC credentials and channels, with keepalive and reconnect intervals.
#include "rpc/credentials.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <fstream>
#include <iterator>

namespace buckthorngate::rpc {
namespace {

constexpr int kKeepaliveMs = 5000;
constexpr int kKeepaliveTimeoutMs = 3000;
constexpr int kFirstReconnectMs = 50;
// Short, so that backoff does not delay recovery after a restart of all hosts;
// a refused attempt costs one packet.
constexpr int kMaxReconnectMs = 300;
// Time limit of a connection attempt including its handshake. gRPC takes it
// from the minimum reconnect backoff.
constexpr int kConnectTimeoutMs = 1000;
constexpr int kMaxMessageBytes = 64 * 1024 * 1024;

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsOptions& tls) {
  if (!tls.Enabled()) {
    return grpc::InsecureServerCredentials();
  }
  const std::string ca = ReadAll(tls.ca_file_);
  const std::string cert = ReadAll(tls.cert_file_);
  const std::string key = ReadAll(tls.key_file_);
  if (ca.empty() || cert.empty() || key.empty()) {
    return nullptr;
  }
  grpc::SslServerCredentialsOptions options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = ca;
  options.pem_key_cert_pairs.push_back({key, cert});
  return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address,
                                           const TlsOptions& tls) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kFirstReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectTimeoutMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  std::shared_ptr<grpc::ChannelCredentials> credentials =
      grpc::InsecureChannelCredentials();
  if (tls.Enabled()) {
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = ReadAll(tls.ca_file_);
    options.pem_cert_chain = ReadAll(tls.cert_file_);
    options.pem_private_key = ReadAll(tls.key_file_);
    credentials = grpc::SslCredentials(options);
    if (!tls.server_name_.empty()) {
      arguments.SetSslTargetNameOverride(tls.server_name_);
    }
  }
  return grpc::CreateCustomChannel(address, credentials, arguments);
}

}  // namespace buckthorngate::rpc
