// SHA-256 by OpenSSL.
#include "base/sha256.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace buckthorngate::base {

static_assert(kSha256Bytes == SHA256_DIGEST_LENGTH);

std::string Sha256(std::string_view bytes) {
  std::string digest(kSha256Bytes, '\0');
  // OpenSSL's type of bytes is unsigned char.
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

bool EqualsInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace buckthorngate::base
