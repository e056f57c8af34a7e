// gRPC streams between processes, by the callback API: no thread blocks on a
// stream.
#include "rpc/mesh_transport.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <mutex>
#include <set>
#include <utility>

#include "mesh.grpc.pb.h"
#include "rpc/credentials.h"
#include "rpc/mesh_stream.h"

namespace buckthorngate::rpc {
namespace {

// Metadata key: identities of the dialling process's nodes, comma-separated.
constexpr char kNodesKey[] = "buckthorngate-nodes";
// Minimum time between dials of one address.
constexpr std::chrono::milliseconds kRedialInterval{100};
constexpr int kMinPingIntervalMs = 2000;
constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
constexpr std::chrono::seconds kStopGrace{1};

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += joined.empty() ? part : "," + part;
  }
  return joined;
}

std::vector<std::string> Split(const std::string& joined) {
  std::vector<std::string> parts;
  size_t begin = 0;
  while (begin < joined.size()) {
    const size_t end = std::min(joined.find(',', begin), joined.size());
    parts.push_back(joined.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

}  // namespace

class MeshTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(TransportOptions options);

  ResultCode Start();
  void Stop();
  void Send(Envelope envelope);
  void Receive(Envelope envelope);

  void Register(const std::vector<std::string>& nodes, MeshStream* stream);
  void Unregister(MeshStream* stream);

  TransportOptions options_;
  std::map<std::string, EnvelopeHandler> local_;
  std::vector<grpc::Service*> services_;
  std::mutex mutex_;
  std::map<std::string, std::string> addresses_;

 private:
  class Acceptor;
  class Accepted;
  class Dialled;

  struct Link {
    std::shared_ptr<grpc::Channel> channel_;
    MeshStream* stream_ = nullptr;
    std::chrono::steady_clock::time_point dialled_;
  };

  MeshStream* StreamToLocked(const std::string& node);
  MeshStream* DialLocked(const std::string& address);

  // Accepted streams, by the identities of the remote process's nodes.
  std::map<std::string, MeshStream*> accepted_;
  std::map<std::string, Link> links_;  // By address.
  std::set<Dialled*> dialled_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unique_ptr<grpc::Server> server_;
  bool stopping_ = false;
};

class MeshTransport::Impl::Accepted
    : public grpc::ServerBidiReactor<Envelope, Envelope>,
      public MeshStream {
 public:
  Accepted(std::shared_ptr<Impl> impl, const std::vector<std::string>& nodes)
      : impl_(std::move(impl)) {
    impl_->Register(nodes, this);
    StartRead(&incoming_);
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      impl_->Unregister(this);
      CloseStream();
      return;
    }
    impl_->Receive(std::move(incoming_));
    incoming_.Clear();
    StartRead(&incoming_);
  }
  void OnWriteDone(bool ok) override { OnWritten(ok); }
  void OnDone() override {
    impl_->Unregister(this);
    delete this;
  }

 private:
  void StartWriteOf(const Envelope& envelope, bool more) override {
    grpc::WriteOptions options;
    if (more) {
      options.set_buffer_hint();
    }
    StartWrite(&envelope, options);
  }
  void EndStream() override { Finish(grpc::Status::OK); }

  const std::shared_ptr<Impl> impl_;
  Envelope incoming_;
};

class MeshTransport::Impl::Acceptor : public Mesh::CallbackService {
 public:
  explicit Acceptor(Impl* impl) : impl_(impl) {}

  grpc::ServerBidiReactor<Envelope, Envelope>* Connect(
      grpc::CallbackServerContext* context) override {
    std::vector<std::string> nodes;
    const auto& metadata = context->client_metadata();
    const auto found = metadata.find(kNodesKey);
    if (found != metadata.end()) {
      nodes = Split(std::string(found->second.data(), found->second.size()));
    }
    return new Accepted(impl_->shared_from_this(), nodes);
  }

 private:
  Impl* const impl_;
};

class MeshTransport::Impl::Dialled
    : public grpc::ClientBidiReactor<Envelope, Envelope>,
      public MeshStream {
 public:
  Dialled(std::shared_ptr<Impl> impl,
          const std::shared_ptr<grpc::Channel>& channel)
      : impl_(std::move(impl)), stub_(Mesh::NewStub(channel)) {
    context_.AddMetadata(kNodesKey, Join(impl_->options_.local_nodes_));
  }

  void Begin() {
    stub_->async()->Connect(&context_, this);
    StartRead(&incoming_);
    // Writes are started outside of reactor callbacks, which requires a hold on
    // the call until EndStream.
    AddHold();
    StartCall();
  }
  void Cancel() { context_.TryCancel(); }

  void OnReadDone(bool ok) override {
    if (!ok) {
      impl_->Unregister(this);
      CloseStream();
      return;
    }
    impl_->Receive(std::move(incoming_));
    incoming_.Clear();
    StartRead(&incoming_);
  }
  void OnWriteDone(bool ok) override { OnWritten(ok); }
  void OnDone(const grpc::Status&) override {
    {
      const std::lock_guard<std::mutex> lock(impl_->mutex_);
      impl_->dialled_.erase(this);
    }
    impl_->Unregister(this);
    delete this;
  }

 private:
  void StartWriteOf(const Envelope& envelope, bool more) override {
    grpc::WriteOptions options;
    if (more) {
      options.set_buffer_hint();
    }
    StartWrite(&envelope, options);
  }
  void EndStream() override { RemoveHold(); }

  const std::shared_ptr<Impl> impl_;
  std::unique_ptr<Mesh::Stub> stub_;
  grpc::ClientContext context_;
  Envelope incoming_;
};

MeshTransport::Impl::Impl(TransportOptions options)
    : options_(std::move(options)) {}

ResultCode MeshTransport::Impl::Start() {
  if (options_.listen_.empty()) {
    return ResultCode::kOk;
  }
  const std::shared_ptr<grpc::ServerCredentials> credentials =
      MakeServerCredentials(options_.tls_);
  if (credentials == nullptr) {
    return ResultCode::kBadSettings;
  }
  acceptor_ = std::make_unique<Acceptor>(this);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(options_.listen_, credentials, &port);
  builder.RegisterService(acceptor_.get());
  for (grpc::Service* service : services_) {
    builder.RegisterService(service);
  }
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  server_ = builder.BuildAndStart();
  return server_ != nullptr && port != 0 ? ResultCode::kOk
                                         : ResultCode::kBadSettings;
}

void MeshTransport::Impl::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    for (Dialled* stream : dialled_) {
      stream->Cancel();
    }
  }
  if (server_ != nullptr) {
    server_->Shutdown(std::chrono::system_clock::now() + kStopGrace);
    server_->Wait();
  }
}

void MeshTransport::Impl::Register(const std::vector<std::string>& nodes,
                                   MeshStream* stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::string& node : nodes) {
    accepted_[node] = stream;
  }
}

void MeshTransport::Impl::Unregister(MeshStream* stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(accepted_,
                [stream](const auto& item) { return item.second == stream; });
  for (auto& [address, link] : links_) {
    if (link.stream_ == stream) {
      link.stream_ = nullptr;
    }
  }
}

void MeshTransport::Impl::Receive(Envelope envelope) {
  const auto found = local_.find(envelope.to());
  if (found != local_.end()) {
    found->second(std::move(envelope));
  }
}

MeshStream* MeshTransport::Impl::DialLocked(const std::string& address) {
  Link& link = links_[address];
  if (link.stream_ != nullptr) {
    return link.stream_;
  }
  const std::chrono::steady_clock::time_point now =
      std::chrono::steady_clock::now();
  if (stopping_ || now - link.dialled_ < kRedialInterval) {
    return nullptr;
  }
  link.dialled_ = now;
  if (link.channel_ == nullptr) {
    link.channel_ = MakeChannel(address, options_.tls_);
  }
  Dialled* const stream = new Dialled(shared_from_this(), link.channel_);
  link.stream_ = stream;
  dialled_.insert(stream);
  stream->Begin();
  return stream;
}

MeshStream* MeshTransport::Impl::StreamToLocked(const std::string& node) {
  // Prefers a stream dialled to the configured address, which this process
  // controls, over an accepted one.
  const auto address = addresses_.find(node);
  if (address != addresses_.end()) {
    return DialLocked(address->second);
  }
  const std::string derived =
      options_.address_of_ ? options_.address_of_(node) : std::string();
  if (!derived.empty()) {
    return DialLocked(derived);
  }
  const auto accepted = accepted_.find(node);
  return accepted == accepted_.end() ? nullptr : accepted->second;
}

void MeshTransport::Impl::Send(Envelope envelope) {
  const auto local = local_.find(envelope.to());
  if (local != local_.end()) {
    local->second(std::move(envelope));
    return;
  }
  // Holding the lock while sending keeps the stream registered and thus alive.
  // MeshStream::Send only queues and does not block.
  const std::lock_guard<std::mutex> lock(mutex_);
  MeshStream* const stream = StreamToLocked(envelope.to());
  if (stream != nullptr) {
    stream->Send(std::move(envelope));
  }
}

MeshTransport::MeshTransport(TransportOptions options)
    : impl_(std::make_shared<Impl>(std::move(options))) {}

MeshTransport::~MeshTransport() = default;

void MeshTransport::AddNode(const std::string& id, EnvelopeHandler deliver) {
  impl_->options_.local_nodes_.push_back(id);
  impl_->local_[id] = std::move(deliver);
}

void MeshTransport::AddService(grpc::Service* service) {
  impl_->services_.push_back(service);
}

ResultCode MeshTransport::Start() {
  return impl_->Start();
}

void MeshTransport::Stop() {
  impl_->Stop();
}

void MeshTransport::Send(Envelope envelope) {
  impl_->Send(std::move(envelope));
}

void MeshTransport::SetAddress(const std::string& node,
                               const std::string& address) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->addresses_[node] = address;
}

}  // namespace buckthorngate::rpc
