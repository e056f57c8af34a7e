// Checks of the client accounts of a publication.
#include "config/accounts.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>

#include "base/sha256.h"

namespace buckthorngate::config {
namespace {

// Digests with the name of the account that holds the key.
using KeyOwners = std::map<std::string, std::string>;

// Names are sent in headers, where these characters would end the value, or
// spaces at its ends be lost.
bool FitsInHeader(const std::string& name) {
  const auto is_control = [](unsigned char c) {
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    return c < kFirstPrintable || c == kDelete;
  };
  return !name.empty() && name.front() != ' ' && name.back() != ' ' &&
         std::none_of(name.begin(), name.end(), is_control);
}

bool IsLimit(double value) {
  return std::isfinite(value) && value >= 0;
}

Refusal CheckKeys(const rpc::ClientAccount& account,
                  const std::string& place,
                  KeyOwners& owners) {
  static const std::string digest_of_empty_key = base::Sha256("");
  for (int i = 0; i < account.key_digests_size(); ++i) {
    const std::string& digest = account.key_digests(i);
    const std::string key = place + " key " + std::to_string(i + 1);
    if (digest.size() != base::kSha256Bytes) {
      return {ResultCode::kInvalidValue, key + ": not a SHA-256 digest"};
    }
    if (digest == digest_of_empty_key) {
      return {ResultCode::kDuplicateAccountKey, key + ": the key is empty"};
    }
    const auto [owner, added] = owners.emplace(digest, account.name());
    if (!added && owner->second != account.name()) {
      return {ResultCode::kDuplicateAccountKey,
              key + ": account " + owner->second + " holds the same key"};
    }
  }
  return {};
}

}  // namespace

Refusal CheckAccounts(const rpc::Routing& routing) {
  std::set<std::string> names;
  KeyOwners owners;
  for (int i = 0; i < routing.accounts_size(); ++i) {
    const rpc::ClientAccount& account = routing.accounts(i);
    const std::string number = "account " + std::to_string(i + 1);
    if (!FitsInHeader(account.name())) {
      return {ResultCode::kInvalidValue,
              number + ": the name is empty or cannot be sent in a header"};
    }
    const std::string place = number + " " + account.name();
    if (!names.insert(account.name()).second) {
      return {ResultCode::kDuplicateAccount, place + ": already there"};
    }
    if (!IsLimit(account.requests_per_second()) || !IsLimit(account.burst())) {
      return {ResultCode::kInvalidValue,
              place + ": the rate or the burst is not a limit"};
    }
    Refusal refusal = CheckKeys(account, place, owners);
    if (refusal.code_ != ResultCode::kOk) {
      return refusal;
    }
  }
  return {};
}

}  // namespace buckthorngate::config
