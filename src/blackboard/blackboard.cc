// The daemon's blackboard.
#include "blackboard/blackboard.h"

namespace buckthorngate::blackboard {

Blackboard::Blackboard()
    : view_(std::make_shared<const request::MeshView>()),
      services_(std::make_shared<const ServiceMap>()) {}

ServiceState& Blackboard::Service(const std::string& name) {
  const std::shared_ptr<const ServiceMap> services = services_.Read();
  const auto found = services->find(name);
  if (found != services->end()) {
    return *found->second;
  }
  const std::lock_guard<std::mutex> lock(services_writer_);
  std::shared_ptr<ServiceMap> next =
      std::make_shared<ServiceMap>(*services_.Read());
  std::shared_ptr<ServiceState>& state = (*next)[name];
  if (state == nullptr) {
    state = std::make_shared<ServiceState>();
  }
  ServiceState& result = *state;
  services_.Publish(std::move(next));
  return result;
}

}  // namespace buckthorngate::blackboard
