// Counts the nested calls of each request that runs on this host.
//
// An upstream passes the request's id on with its own calls, either unchanged
// or extended after a dot (hierarchical ids), and these calls go through the
// daemon of the same host. The daemon adds up the calls in the tree below each
// request and reports the sum with the answer. Thus each daemon knows the usual
// size of the call trees below it, which is the cost of a retry.
#ifndef SRC_REQUEST_CALL_TREE_H_
#define SRC_REQUEST_CALL_TREE_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/hash.h"

namespace buckthorngate::request {

// Whether a request is a nested call of a request that runs on this host.
enum class Nesting : uint8_t {
  kNone,
  // Nested call of a request that runs on this host.
  kCall,
  // The same, where that request is a retry or part of a retry's call tree.
  kCallBelowRetry,
};

// Safe for concurrent use.
class CallTree {
 public:
  // Registers a request that begins to run on this host.
  void Open(const std::string& id, bool below_retry) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    shard.requests_[id].below_retry_ = below_retry;
  }

  // Looks up the id, then the id that it extends, among the requests that run
  // on this host.
  Nesting NestingOf(const std::string& id) {
    const Nesting own = FindNesting(id);
    return own == Nesting::kNone ? FindNesting(ParentOf(id)) : own;
  }

  // Adds calls that were made with this id to the sum of the request with the
  // same id or the one that it extends, if that runs on this host.
  void Add(const std::string& id, uint32_t calls) {
    if (!AddTo(id, calls)) {
      AddTo(ParentOf(id), calls);
    }
  }

  // Removes a request that has ended, and returns the number of calls below it.
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

  Nesting FindNesting(const std::string& id) {
    Shard& shard = ShardOf(id);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.requests_.find(id);
    if (found == shard.requests_.end()) {
      return Nesting::kNone;
    }
    return found->second.below_retry_ ? Nesting::kCallBelowRetry
                                      : Nesting::kCall;
  }

  // Returns false if no request with this id runs on this host.
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
