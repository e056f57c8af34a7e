// Lookup of client accounts by key and by name.
#include "request/account_table.h"

#include <cstring>

#include "base/sha256.h"

namespace buckthorngate::request {
namespace {

// Digests are uniformly distributed, so any part of one serves as its hash.
uint64_t HashOfDigest(std::string_view digest) {
  uint64_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

}  // namespace

std::shared_ptr<const AccountTable> AccountTable::Build(
    const Accounts& accounts,
    bool in_use) {
  std::shared_ptr<AccountTable> table = std::make_shared<AccountTable>();
  table->accounts_ = accounts;
  table->in_use_ = in_use;
  for (const auto& [name, account] : table->accounts_) {
    for (const std::string& digest : account->key_digests()) {
      if (digest.size() == base::kSha256Bytes) {
        table->by_digest_.emplace(HashOfDigest(digest),
                                  KeyEntry{digest, account.get()});
      }
    }
  }
  return table;
}

const rpc::ClientAccount* AccountTable::FindByKey(std::string_view key) const {
  return FindByDigest(base::Sha256(key));
}

const rpc::ClientAccount* AccountTable::FindByDigest(
    std::string_view digest) const {
  if (digest.size() != base::kSha256Bytes) {
    return nullptr;
  }
  const auto [first, last] = by_digest_.equal_range(HashOfDigest(digest));
  for (auto entry = first; entry != last; ++entry) {
    if (base::EqualsInConstantTime(entry->second.digest_, digest)) {
      return entry->second.account_;
    }
  }
  return nullptr;
}

const rpc::ClientAccount* AccountTable::FindByName(
    const std::string& name) const {
  const auto found = accounts_.find(name);
  return found == accounts_.end() ? nullptr : found->second.get();
}

}  // namespace buckthorngate::request
