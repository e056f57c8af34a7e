// The proxy role of a daemon.
#include "daemon/proxy_role.h"

#include <httplib.h>

#include <charconv>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "blackboard/blackboard.h"
#include "daemon/claim_client.h"
#include "daemon/destination.h"
#include "daemon/entry.h"
#include "daemon/http_answer.h"
#include "daemon/http_server.h"
#include "daemon/node_loop.h"
#include "daemon/worker_pool.h"
#include "distribution/proxy_node.h"
#include "storage/file_journal.h"
#include "storage/memory_journal.h"

namespace buckthorngate::daemon {
namespace {

constexpr size_t kAdminThreads = 8;
constexpr base::Duration kEvidenceInterval = std::chrono::milliseconds(250);
// Others learn of a drain well within this time.
constexpr std::chrono::milliseconds kDrainNotice{2000};
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::seconds kDrainMost{60};
constexpr uint32_t kDefaultSlots = 20;
constexpr uint32_t kMaxSlots = 100'000;

uint32_t SlotsOf(const std::string& text) {
  uint32_t slots = 0;
  std::from_chars(text.data(), text.data() + text.size(), slots);
  return slots == 0 ? kDefaultSlots : std::min(slots, kMaxSlots);
}

}  // namespace

class ProxyRole::Impl {
 public:
  Impl(const Settings& settings,
       uint64_t incarnation,
       const base::Clock& clock,
       rpc::MeshTransport& transport,
       std::unique_ptr<storage::Journal> journal,
       std::unique_ptr<distribution::ProxyNode> node);
  ~Impl() { Stop(); }

  ResultCode Start();
  void Drain();
  void Stop();
  rpc::QueryReply Query(const rpc::QueryRequest& request);

 private:
  void AfterFlush(const base::Now& now);
  void PublishView(const base::Now& now);
  void ConfigureAdmin();
  void OnAnnounce(const httplib::Request& request, httplib::Response& response);
  void OnLeaving(const httplib::Request& request,
                 httplib::Response& response,
                 bool gone);
  ResultCode Listen(httplib::Server& server, const std::string& address);

  const Settings& settings_;
  const base::Clock& clock_;
  rpc::MeshTransport& transport_;
  const std::unique_ptr<storage::Journal> journal_;
  const std::unique_ptr<distribution::ProxyNode> node_;
  NodeLoop loop_;
  blackboard::Blackboard board_;
  WorkerPool workers_;
  ExchangeWatchdog watchdog_;
  ClaimClient claims_;
  Destination destination_;
  Entry entry_;
  request::MeshViewBuilder views_;
  uint64_t published_version_ = 0;
  bool published_may_serve_ = false;
  uint64_t addresses_version_ = 0;
  base::MonoTime next_evidence_;
  httplib::Server callers_;
  httplib::Server peers_;
  httplib::Server admin_;
  std::vector<std::thread> threads_;
  bool stopped_ = false;
};

ProxyRole::Impl::Impl(const Settings& settings,
                      uint64_t incarnation,
                      const base::Clock& clock,
                      rpc::MeshTransport& transport,
                      std::unique_ptr<storage::Journal> journal,
                      std::unique_ptr<distribution::ProxyNode> node)
    : settings_(settings),
      clock_(clock),
      transport_(transport),
      journal_(std::move(journal)),
      node_(std::move(node)),
      loop_(*node_,
            clock,
            [&transport](rpc::Envelope envelope) {
              transport.Send(std::move(envelope));
            }),
      // Each exchange of either side holds one worker.
      workers_(settings.exchange_threads_),
      watchdog_(clock),
      claims_(loop_, *node_),
      destination_(
          settings.host_,
          clock,
          workers_,
          watchdog_,
          board_,
          [this](const std::string& address, const rpc::CrashReport& report) {
            loop_.Run([this, address, report](const base::Now&) {
              node_->Local().Crash(address);
              node_->SendCrash(report);
            });
          }),
      entry_(settings.host_,
             incarnation,
             clock,
             workers_,
             watchdog_,
             board_,
             claims_,
             [this](const rpc::BrakeNotice& notice) {
               loop_.Run([this, notice](const base::Now&) {
                 node_->SendBrake(notice);
               });
             }),
      views_(settings.zone_) {
  loop_.SetAfterFlush([this](const base::Now& now) { AfterFlush(now); });
  transport_.AddNode(settings.host_, [this](rpc::Envelope envelope) {
    loop_.Post(std::move(envelope));
  });
  ConfigureServer(callers_, settings.http_threads_);
  ConfigureServer(peers_, settings.http_threads_);
  ConfigureServer(admin_, kAdminThreads);
  HandleAll(callers_, [this](const httplib::Request& request,
                             const httplib::ContentReader* reader,
                             httplib::Response& response) {
    entry_.Handle(request, reader, response);
  });
  HandleAll(peers_, [this](const httplib::Request& request,
                           const httplib::ContentReader* reader,
                           httplib::Response& response) {
    destination_.Handle(request, reader, response);
  });
  ConfigureAdmin();
}

void ProxyRole::Impl::AfterFlush(const base::Now& now) {
  board_.Stalls().Tick(now.mono_);
  claims_.Complete(node_->TakeClaimOutcomes());
  if (now.mono_ >= next_evidence_) {
    next_evidence_ = now.mono_ + kEvidenceInterval;
    node_->SendEvidence(board_.Evidence().Take());
    board_.Numbers().SetControlBytes(node_->BytesIn(), node_->BytesOut());
  }
  const bool changed = node_->ViewVersion() != published_version_ ||
                       node_->MayServe() != published_may_serve_;
  if (changed) {
    PublishView(now);
  }
}

void ProxyRole::Impl::PublishView(const base::Now& now) {
  published_version_ = node_->ViewVersion();
  published_may_serve_ = node_->MayServe();
  board_.View().Publish(views_.Build(published_may_serve_, node_->Config(),
                                     node_->MutableEndpoints(),
                                     node_->Quarantine(), now.mono_));
  board_.Numbers().SetRevision(node_->Config().Revision());
  if (node_->Endpoints().Version() == addresses_version_) {
    return;
  }
  addresses_version_ = node_->Endpoints().Version();
  for (const rpc::Endpoint& endpoint :
       node_->Endpoints().Live(settings_.zone_)) {
    if (endpoint.host() != settings_.host_) {
      transport_.SetAddress(endpoint.host(), endpoint.control_address());
    }
  }
}

void ProxyRole::Impl::OnAnnounce(const httplib::Request& request,
                                 httplib::Response& response) {
  registry::Announcement announcement;
  announcement.service_ = request.get_param_value("service");
  announcement.version_ = request.get_param_value("version");
  announcement.address_ = request.get_param_value("address");
  announcement.slots_ = SlotsOf(request.get_param_value("slots"));
  announcement.instance_ = request.get_param_value("instance");
  const bool valid = !announcement.service_.empty() &&
                     !announcement.version_.empty() &&
                     IsIpAddress(announcement.address_);
  if (!valid) {
    AnswerRefusal(ResultCode::kMissingKey, true, "", response);
    response.status = 400;
    return;
  }
  bool changed = false;
  std::string id;
  loop_.RunAndWait([&](const base::Now& now) {
    changed = node_->Local().Announce(announcement, now.mono_);
    id = node_->Local().EndpointId(announcement.address_);
  });
  if (changed) {
    destination_.SetUpstream(id, announcement.address_, announcement.service_,
                             announcement.slots_);
  }
  if (board_.Draining()) {
    destination_.DrainAll();
  }
  response.set_content("ok\n", "text/plain");
}

void ProxyRole::Impl::OnLeaving(const httplib::Request& request,
                                httplib::Response& response,
                                bool gone) {
  const std::string address = request.get_param_value("address");
  std::string id;
  loop_.RunAndWait([&](const base::Now&) {
    id = node_->Local().EndpointId(address);
    if (gone) {
      node_->Local().Leave(address);
    } else {
      node_->Local().Drain(address);
    }
  });
  if (gone) {
    destination_.RemoveUpstream(id);
  } else {
    destination_.DrainUpstream(id);
  }
  response.set_content("ok\n", "text/plain");
}

void ProxyRole::Impl::ConfigureAdmin() {
  admin_.Post("/announce", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    OnAnnounce(request, response);
  });
  admin_.Post("/drain", [this](const httplib::Request& request,
                               httplib::Response& response) {
    OnLeaving(request, response, /*gone=*/false);
  });
  admin_.Post("/leave", [this](const httplib::Request& request,
                               httplib::Response& response) {
    OnLeaving(request, response, /*gone=*/true);
  });
  admin_.Get("/metrics",
             [this](const httplib::Request&, httplib::Response& response) {
               response.set_content(board_.Numbers().Render(),
                                    "text/plain; version=0.0.4");
             });
  admin_.Get("/healthz",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("ok\n", "text/plain");
             });
  admin_.Get("/readyz", [this](const httplib::Request&,
                               httplib::Response& response) {
    const bool ready = board_.View().Read()->may_serve_ && !board_.Draining();
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
}

ResultCode ProxyRole::Impl::Listen(httplib::Server& server,
                                   const std::string& address) {
  if (!server.bind_to_port(HostOf(address), PortOf(address))) {
    return ResultCode::kBadSettings;
  }
  threads_.emplace_back([&server] { server.listen_after_bind(); });
  return ResultCode::kOk;
}

ResultCode ProxyRole::Impl::Start() {
  loop_.Start();
  for (const auto& [server, address] :
       {std::pair<httplib::Server*, std::string>{&peers_,
                                                 settings_.peers_address_},
        {&callers_, settings_.callers_address_},
        {&admin_, settings_.admin_address_}}) {
    const ResultCode code = Listen(*server, address);
    if (code != ResultCode::kOk) {
      return code;
    }
  }
  return ResultCode::kOk;
}

void ProxyRole::Impl::Drain() {
  board_.Draining() = true;
  destination_.DrainAll();
  loop_.RunAndWait([this](const base::Now&) { node_->Local().DrainAll(); });
  // Requests that were picked for this host just before are refused as not
  // run; callers' requests go to other hosts.
  std::this_thread::sleep_for(kDrainNotice);
  const std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + kDrainMost;
  while (board_.InFlight() + destination_.InFlight() > 0 &&
         std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  loop_.RunAndWait([this](const base::Now&) { node_->Local().LeaveAll(); });
}

void ProxyRole::Impl::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  callers_.stop();
  peers_.stop();
  admin_.stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  loop_.Stop();
}

rpc::QueryReply ProxyRole::Impl::Query(const rpc::QueryRequest& request) {
  rpc::QueryReply reply;
  loop_.RunAndWait([&](const base::Now&) {
    reply.set_node(settings_.host_);
    reply.set_revision(node_->Config().Revision());
    if (request.kind() == rpc::QueryRequest::CONFIG) {
      *reply.mutable_config() = node_->Config().ToSnapshot();
    }
    for (rpc::Endpoint& endpoint : node_->Endpoints().Live()) {
      *reply.add_endpoints() = std::move(endpoint);
    }
    for (const auto& [fingerprint, entry] : node_->Quarantine()) {
      *reply.add_quarantine() = entry;
    }
  });
  return reply;
}

ProxyRole::ProxyRole(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
ProxyRole::~ProxyRole() = default;

tl::expected<std::unique_ptr<ProxyRole>, ResultCode> ProxyRole::Create(
    const Settings& settings,
    uint64_t incarnation,
    const base::Clock& clock,
    rpc::MeshTransport& transport) {
  std::unique_ptr<storage::Journal> journal;
  if (settings.data_folder_.empty()) {
    journal = std::make_unique<storage::MemoryJournal>();
  } else {
    journal = std::make_unique<storage::FileJournal>(settings.data_folder_ +
                                                     "/proxy.journal");
  }
  distribution::ProxyOptions options;
  options.identity_.host_ = settings.host_;
  options.identity_.zone_ = settings.zone_;
  options.identity_.peer_address_ = settings.peers_address_;
  options.identity_.control_address_ = settings.control_address_;
  options.identity_.incarnation_ = incarnation;
  options.seed_ = incarnation ^ base::Hash(settings.host_);
  for (const auto& [id, relay] : settings.relays_) {
    if (relay.zone_ == settings.zone_) {
      options.relays_.push_back(id);
    }
  }
  tl::expected<std::unique_ptr<distribution::ProxyNode>, ResultCode> node =
      distribution::ProxyNode::Create(std::move(options), *journal);
  if (!node) {
    return tl::unexpected(node.error());
  }
  return std::unique_ptr<ProxyRole>(new ProxyRole(
      std::make_unique<Impl>(settings, incarnation, clock, transport,
                             std::move(journal), std::move(*node))));
}

ResultCode ProxyRole::Start() {
  return impl_->Start();
}
void ProxyRole::Drain() {
  impl_->Drain();
}
void ProxyRole::Stop() {
  impl_->Stop();
}
rpc::QueryReply ProxyRole::Query(const rpc::QueryRequest& request) {
  return impl_->Query(request);
}

}  // namespace buckthorngate::daemon
