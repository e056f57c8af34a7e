// Creates, crashes and restarts the nodes of a mesh on a FakeMesh.
#include "test_mesh.h"

#include <utility>

#include "config/check.h"

namespace buckthorngate::tests {

rpc::Service MakeService(const std::string& name, const std::string& detail) {
  rpc::Service service;
  service.set_name(name);
  service.add_versions("v1");
  service.add_versions("v2");
  service.set_version("v1");
  service.set_retry_percent(20);
  rpc::Route& route = *service.add_routes();
  route.set_name("main");
  route.set_host("*");
  route.set_path_prefix("/" + name + detail);
  route.set_timeout_ms(1000);
  return service;
}

rpc::Publication MakePublication(uint64_t number,
                                 const std::vector<rpc::Service>& services) {
  rpc::Publication publication;
  publication.set_author("tester");
  publication.set_number(number);
  publication.set_digest(config::PublicationDigest(services, {}));
  for (const rpc::Service& service : services) {
    *publication.add_services() = service;
  }
  return publication;
}

TestMesh::TestMesh(uint64_t seed) : net_(seed), next_seed_(seed * 1000 + 1) {}

void TestMesh::CreateSource(const std::string& id) {
  distribution::SourceOptions options;
  options.id_ = id;
  options.seed_ = next_seed_++;
  for (const std::string& member : source_ids_) {
    if (is_learner_[member] && member != id) {
      continue;
    }
    rpc::Member& entry = *options.members_.add_members();
    entry.set_id(member);
    entry.set_address(member);
    entry.set_learner(is_learner_[member]);
  }
  auto node = distribution::SourceNode::Create(
      std::move(options), *journals_.at(id), net_.NowFor(id));
  sources_[id] = std::move(node.value());
  net_.Add(id, sources_[id].get());
}

void TestMesh::CreateRelay(const std::string& id) {
  distribution::RelayOptions options;
  options.id_ = id;
  options.zone_ = zones_.at(id);
  options.sources_ = source_ids_;
  options.seed_ = next_seed_++;
  options.incarnation_ = ++incarnations_[id];
  for (const auto& [other, relay] : relays_) {
    if (other != id) {
      options.relays_.push_back(other);
    }
  }
  auto node =
      distribution::RelayNode::Create(std::move(options), *journals_.at(id));
  relays_[id] = std::move(node.value());
  net_.Add(id, relays_[id].get());
}

void TestMesh::CreateProxy(const std::string& id) {
  distribution::ProxyOptions options;
  options.identity_.host_ = id;
  options.identity_.zone_ = zones_.at(id);
  options.identity_.peer_address_ = id;
  options.identity_.incarnation_ = ++incarnations_[id];
  options.seed_ = next_seed_++;
  options.revocation_bound_ = revocation_bound_;
  options.apply_bound_ = apply_bound_;
  for (const auto& [relay, node] : relays_) {
    if (zones_.at(relay) == zones_.at(id)) {
      options.relays_.push_back(relay);
    }
  }
  auto node =
      distribution::ProxyNode::Create(std::move(options), *journals_.at(id));
  proxies_[id] = std::move(node.value());
  net_.Add(id, proxies_[id].get());
}

void TestMesh::AddSources(int count) {
  for (int i = 1; i <= count; ++i) {
    const std::string id = "source-" + std::to_string(i);
    source_ids_.push_back(id);
    journals_[id] = std::make_unique<storage::MemoryJournal>();
  }
  for (const std::string& id : source_ids_) {
    CreateSource(id);
  }
}

void TestMesh::AddJoiningSource(const std::string& id) {
  source_ids_.push_back(id);
  is_learner_[id] = true;
  journals_[id] = std::make_unique<storage::MemoryJournal>();
  CreateSource(id);
}

void TestMesh::AddRelay(const std::string& id, const std::string& zone) {
  zones_[id] = zone;
  journals_[id] = std::make_unique<storage::MemoryJournal>();
  relays_[id] = nullptr;
  // Each relay names all others in its settings.
  for (const auto& [relay, node] : relays_) {
    CreateRelay(relay);
  }
}

void TestMesh::AddProxy(const std::string& id, const std::string& zone) {
  zones_[id] = zone;
  proxy_ids_.push_back(id);
  journals_[id] = std::make_unique<storage::MemoryJournal>();
  CreateProxy(id);
}

bool TestMesh::Alive(const std::string& id) const {
  const auto source = sources_.find(id);
  const auto relay = relays_.find(id);
  const auto proxy = proxies_.find(id);
  return (source != sources_.end() && source->second != nullptr) ||
         (relay != relays_.end() && relay->second != nullptr) ||
         (proxy != proxies_.end() && proxy->second != nullptr);
}

void TestMesh::Crash(const std::string& id) {
  net_.Remove(id);
  journals_.at(id)->Crash();
  if (sources_.count(id) != 0) {
    sources_[id].reset();
  } else if (relays_.count(id) != 0) {
    relays_[id].reset();
  } else {
    proxies_[id].reset();
  }
}

void TestMesh::LoseDisk(const std::string& id) {
  journals_.at(id)->LoseDisk();
}

void TestMesh::Restart(const std::string& id) {
  if (sources_.count(id) != 0) {
    CreateSource(id);
  } else if (relays_.count(id) != 0) {
    CreateRelay(id);
  } else {
    CreateProxy(id);
  }
}

std::string TestMesh::Leader() const {
  for (const auto& [id, source] : sources_) {
    if (source != nullptr && source->Raft().CanServe() && !net_.Isolated(id)) {
      return id;
    }
  }
  return {};
}

rpc::PublishReply TestMesh::Publish(const rpc::Publication& publication,
                                    base::Duration timeout) {
  rpc::PublishReply reply;
  const std::string leader = Leader();
  if (leader.empty()) {
    reply.set_result_code(static_cast<uint32_t>(ResultCode::kNotLeader));
    return reply;
  }
  const uint64_t ticket =
      sources_[leader]->Publish(publication, net_.NowFor(leader));
  net_.Flush(leader);
  for (base::Duration waited{0}; waited < timeout;
       waited += std::chrono::milliseconds(10)) {
    for (distribution::PublishResult& result :
         sources_[leader]->TakePublishResults()) {
      if (result.ticket_ == ticket) {
        return std::move(result.reply_);
      }
    }
    net_.Run(std::chrono::milliseconds(10));
  }
  reply.set_result_code(static_cast<uint32_t>(ResultCode::kTimedOut));
  return reply;
}

bool TestMesh::AwaitLeader(base::Duration timeout) {
  for (base::Duration waited{0}; waited < timeout && Leader().empty();
       waited += std::chrono::milliseconds(10)) {
    net_.Run(std::chrono::milliseconds(10));
  }
  return !Leader().empty();
}

}  // namespace buckthorngate::tests
