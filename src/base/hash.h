// Hashing with xxHash, and digests of protobuf messages.
#ifndef SRC_BASE_HASH_H_
#define SRC_BASE_HASH_H_

#include <google/protobuf/message_lite.h>
#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngate::base {

inline uint64_t Hash(std::string_view bytes, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// Serializes with sorted map keys, so that equal messages have equal bytes.
std::string SerializeDeterministic(
    const google::protobuf::MessageLite& message);

inline uint64_t DigestOf(const google::protobuf::MessageLite& message) {
  return Hash(SerializeDeterministic(message));
}

// Highest-random-weight (rendezvous) score of `node` for `key`.
inline uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  return Hash(node, Hash(key));
}

}  // namespace buckthorngate::base

#endif  // SRC_BASE_HASH_H_
