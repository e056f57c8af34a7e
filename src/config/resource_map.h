// Named resources of a configuration, with a digest that is kept incrementally.
//
// The digest is a sum of one hash for each resource, so that a change costs
// work for the changed resources only. Unchanged resources are the same object
// in older and newer revisions, which makes differences cheap to find.
#ifndef SRC_CONFIG_RESOURCE_MAP_H_
#define SRC_CONFIG_RESOURCE_MAP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/hash.h"

namespace buckthorngate::config {

template <typename Message>
class ResourceMap {
 public:
  using Ptr = std::shared_ptr<const Message>;

  const std::map<std::string, Ptr>& Items() const { return items_; }

  // Null if there is no such resource.
  Ptr Find(const std::string& name) const {
    const auto found = items_.find(name);
    return found == items_.end() ? nullptr : found->second;
  }

  // A resource that is equal to the held one leaves that one in place.
  void Put(const std::string& name, Message message) {
    const uint64_t hash = base::DigestOf(message);
    const auto [held, added] = hashes_.try_emplace(name, 0);
    if (!added && held->second == hash) {
      return;
    }
    digest_ += hash - held->second;
    held->second = hash;
    items_[name] = std::make_shared<const Message>(std::move(message));
  }

  void Remove(const std::string& name) {
    const auto held = hashes_.find(name);
    if (held == hashes_.end()) {
      return;
    }
    digest_ -= held->second;
    hashes_.erase(held);
    items_.erase(name);
  }

  uint64_t Digest() const { return digest_; }

 private:
  std::map<std::string, Ptr> items_;
  std::map<std::string, uint64_t> hashes_;
  // Invariant: the sum of hashes_.
  uint64_t digest_ = 0;
};

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_RESOURCE_MAP_H_
