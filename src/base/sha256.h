// SHA-256 by OpenSSL.
#ifndef SRC_BASE_SHA256_H_
#define SRC_BASE_SHA256_H_

#include <string>
#include <string_view>

namespace buckthorngate::base {

inline constexpr size_t kSha256Bytes = 32;

// The 32 bytes of the digest.
std::string Sha256(std::string_view bytes);

// Compares in a time that depends on the lengths only.
bool EqualsInConstantTime(std::string_view a, std::string_view b);

}  // namespace buckthorngate::base

#endif  // SRC_BASE_SHA256_H_
