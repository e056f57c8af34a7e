// The client accounts of a configuration, for the request path: finds the
// account that holds a key.
//
// Keys are not stored. An account lists the SHA-256 digests of its keys, which
// are high-entropy random strings, so the digests need no salt.
#ifndef SRC_REQUEST_ACCOUNT_TABLE_H_
#define SRC_REQUEST_ACCOUNT_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

// Immutable after Build; safe for concurrent use. The accounts that it returns
// are valid for its lifetime.
class AccountTable {
 public:
  using Accounts = std::map<std::string, config::AccountPtr>;

  // `in_use`: see config::ConfigState::UsesAccounts.
  static std::shared_ptr<const AccountTable> Build(const Accounts& accounts,
                                                   bool in_use);

  // Null if no account holds the key.
  const rpc::ClientAccount* FindByKey(std::string_view key) const;
  const rpc::ClientAccount* FindByDigest(std::string_view digest) const;
  const rpc::ClientAccount* FindByName(const std::string& name) const;

  // Whether keys have a meaning in the mesh; the table may be empty all the
  // same.
  bool InUse() const { return in_use_; }
  const Accounts& Items() const { return accounts_; }

 private:
  struct KeyEntry {
    std::string_view digest_;  // Points into the account.
    const rpc::ClientAccount* account_ = nullptr;
  };

  Accounts accounts_;
  bool in_use_ = false;
  // By the first bytes of the digest. The rest is compared in constant time, so
  // that response times don't tell how much of a digest matches.
  std::unordered_multimap<uint64_t, KeyEntry> by_digest_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ACCOUNT_TABLE_H_
