// The entry side of a daemon in one process.
#include "entry_harness.h"

#include <utility>

#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

distribution::ProxyOptions MakeOptions() {
  distribution::ProxyOptions options;
  options.identity_.host_ = "entry";
  return options;
}

request::Dialect MakeDialect() {
  request::Dialect dialect;
  dialect.account_name_ = "Account-Name";
  return dialect;
}

// Stands for the hop to this host's own upstreams.
class UnusedHop : public daemon::serving::Hop {
 public:
  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest&) override {
    co_return daemon::serving::FailedHop(ResultCode::kNoEndpoint,
                                         /*not_run=*/true);
  }
};

rpc::Endpoint MakeEndpoint(const std::string& host,
                           const std::string& peer_address) {
  rpc::Endpoint endpoint;
  endpoint.set_id(host);
  endpoint.set_host(host);
  endpoint.set_peer_address(peer_address);
  endpoint.set_service("a");
  endpoint.set_version("v1");
  endpoint.set_slots(4);
  endpoint.set_sequence(1);
  endpoint.set_state(rpc::ENDPOINT_STATE_READY);
  return endpoint;
}

// Not a lambda, because the coroutine would outlive the lambda's closure.
http::Task<void> HandleCall(daemon::serving::Entry& entry,
                            WaitingCaller& caller) {
  co_await entry.Handle(caller);
  caller.ended_.set_value();
}

}  // namespace

WaitingCaller::WaitingCaller(const std::string& method) {
  head_.method_ = method;
  head_.target_ = "/a";
}

WaitingCaller::WaitingCaller(const std::string& method,
                             std::vector<std::string> pieces)
    : WaitingCaller(method) {
  pieces_ = std::move(pieces);
}

http::Task<http::BodyState> WaitingCaller::Read(std::string& piece, size_t) {
  if (pieces_read_ < pieces_.size()) {
    piece += pieces_[pieces_read_++];
  }
  co_return pieces_read_ < pieces_.size() ? http::BodyState::kMore
                                          : http::BodyState::kEnd;
}

http::Task<bool> WaitingCaller::Answer(const http::AnswerHead& head,
                                       std::string_view) {
  status_ = head.status_;
  answer_ = head;
  co_return true;
}

http::Task<bool> WaitingCaller::AnswerWithoutBody(const http::AnswerHead&,
                                                  std::optional<uint64_t>) {
  co_return false;
}

http::Task<bool> WaitingCaller::Begin(const http::AnswerHead&,
                                      std::optional<uint64_t>) {
  co_return false;
}

http::Task<bool> WaitingCaller::Write(std::string_view) {
  co_return false;
}

http::Task<bool> WaitingCaller::Finish() {
  co_return false;
}

EntryHarness::EntryHarness(const EntryHarnessOptions& options,
                           const MakeHop& make_hop)
    : options_(options),
      node_(std::move(
          distribution::ProxyNode::Create(MakeOptions(), journal_).value())),
      node_loop_(*node_, clock_, [](const rpc::Envelope&) {}),
      claims_(clock_, loop_, node_loop_, *node_),
      hop_(make_hop(clock_, loop_)),
      local_hop_(std::make_unique<UnusedHop>()),
      entry_({"entry", 1, MakeDialect()},
             clock_,
             loop_,
             board_,
             claims_,
             *local_hop_,
             *hop_,
             [](const rpc::BrakeNotice&) {}) {
  const request::AuthorityLease lease(options.revocation_bound_, 1);
  board_.Authority().Enforce(lease.Validity());
  PublishView(options);
  loop_.Start();
}

EntryHarness::~EntryHarness() {
  // Losing attempts outlive their call by a few turns of the loop.
  loop_.AwaitZero(
      [this] { return static_cast<int64_t>(entry_.ParallelAttempts()); },
      base::MonoNow() + std::chrono::seconds(5), std::chrono::milliseconds(5));
  loop_.Stop();
}

void EntryHarness::PublishView(const EntryHarnessOptions& options) {
  config::ConfigState config;
  rpc::ServiceState state;
  *state.mutable_service() = MakeService("a");
  rpc::Route& route = *state.mutable_service()->mutable_routes(0);
  route.set_hedge(options.hedge_);
  route.set_repeatable(options.repeatable_route_);
  route.set_large_body(options.large_body_route_);
  route.set_timeout_ms(static_cast<uint32_t>(options.route_timeout_.count()));
  route.set_requires_account(options.requires_account_);
  route.set_refuses_unknown_keys(options.refuses_unknown_keys_);
  route.set_priority(options.route_priority_);
  config.Put(state);
  rpc::RoutingHeader header;
  header.set_uses_accounts(options.uses_accounts_);
  config.SetRouting(header, {});
  config.SetAccounts({options.accounts_.begin(), options.accounts_.end()});
  config.SetRevision(1);
  registry::EndpointRegistry endpoints;
  const base::MonoTime now = clock_.Read().mono_;
  const std::vector<std::string> names = {"one", "two", "three"};
  for (size_t i = 0; i < options.peer_addresses_.size(); ++i) {
    endpoints.Merge(MakeEndpoint(names.at(i), options.peer_addresses_[i]), now);
  }
  board_.View().Publish(views_.Build(true, config, endpoints, {}, now));
}

void EntryHarness::SetAccounts(
    const std::vector<rpc::ClientAccount>& accounts) {
  EntryHarnessOptions changed = options_;
  changed.accounts_ = accounts;
  PublishView(changed);
}

void EntryHarness::Send(WaitingCaller& caller) {
  loop_.RunAndWait([&] { loop_.Spawn(HandleCall(entry_, caller)); });
}

int EntryHarness::Call() {
  WaitingCaller caller;
  Send(caller);
  caller.ended_.get_future().wait();
  return caller.status_;
}

}  // namespace buckthorngate::tests
