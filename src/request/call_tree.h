// Counts the calls below a request on the host that it runs on.
//
// An upstream passes the request's id on with its own calls, as it is or
// extended behind a dot (hierarchical ids), and they go through the same host's
// daemon. The daemon adds up what they caused and reports the
// sum with the answer, so that each daemon knows the usual size of the trees
// below it: the price of a retry.
#ifndef SRC_REQUEST_CALL_TREE_H_
#define SRC_REQUEST_CALL_TREE_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/hash.h"

namespace buckthorngate::request {

// How a request came about.
enum class Nesting : uint8_t {
  kNone,
  // A call of a request that runs on this host.
  kCall,
  // A call of a request that runs here as a retry, or below one.
  kCallBelowRetry,
};

// Safe for concurrent use.
class CallTree {
 public:
  // The request begins to run on this host.
  void Open(const std::string& id, bool below_retry) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    shard.requests_[id].below_retry_ = below_retry;
  }

  // Whether a request with this id, or the one that it extends, runs here.
  Nesting NestingOf(const std::string& id) {
    const Nesting own = Find(id);
    return own == Nesting::kNone ? Find(ParentOf(id)) : own;
  }

  // Adds calls that were made with this id, if its request runs on this host.
  void Add(const std::string& id, uint32_t calls) {
    if (!AddTo(id, calls)) {
      AddTo(ParentOf(id), calls);
    }
  }

  // Returns and forgets the sum, when the request has ended.
  uint32_t Close(const std::string& id) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.requests_.find(id);
    if (found == shard.requests_.end()) {
      return 0;
    }
    const uint32_t calls = found->second.calls_;
    shard.requests_.erase(found);
    return calls;
  }

 private:
  static constexpr size_t kShards = 16;
  struct Running {
    uint32_t calls_ = 0;
    bool below_retry_ = false;
  };
  struct Shard {
    std::mutex mutex_;
    std::unordered_map<std::string, Running> requests_;
  };

  static std::string ParentOf(const std::string& id) {
    return id.substr(0, id.rfind('.'));
  }

  Nesting Find(const std::string& id) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.requests_.find(id);
    if (found == shard.requests_.end()) {
      return Nesting::kNone;
    }
    return found->second.below_retry_ ? Nesting::kCallBelowRetry
                                      : Nesting::kCall;
  }

  // False if no request with this id runs here.
  bool AddTo(const std::string& id, uint32_t calls) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.requests_.find(id);
    if (found == shard.requests_.end()) {
      return false;
    }
    found->second.calls_ += calls;
    return true;
  }

  Shard& ShardOf(const std::string& id) {
    return shards_[base::Hash(id) % kShards];
  }

  std::array<Shard, kShards> shards_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_CALL_TREE_H_
