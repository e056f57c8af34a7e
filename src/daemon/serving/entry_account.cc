// The entry side: the client account of a request.
#include "daemon/serving/entry_call.h"

#include <algorithm>

namespace buckthorngate::daemon::serving {

ResultCode Entry::Call::IdentifyAccount() {
  account_ = nullptr;
  const bool required = match_.route_->requires_account();
  // Read in this order: the lease covers the accounts that are published when
  // it is checked, not those of an earlier view.
  const bool authority =
      entry_.board_.Authority().IsValid(entry_.clock_.Read().boot_);
  accounts_ = entry_.board_.View().Read()->accounts_;
  const std::vector<http::Header>& headers = call_.Head().headers_.Items();
  const auto is_key = [this](const http::Header& header) {
    return http::EqualsIgnoringCase(header.name_, dialect_.account_key_);
  };
  const auto key = std::find_if(headers.begin(), headers.end(), is_key);
  const bool has_key = key != headers.end() && !key->value_.empty();
  const bool key_must_hold =
      required ||
      (has_key && accounts_->InUse() && match_.route_->refuses_unknown_keys());
  if (!authority) {
    return key_must_hold ? ResultCode::kAuthorityExpired : ResultCode::kOk;
  }
  if (!has_key) {
    return required ? ResultCode::kAccountKeyMissing : ResultCode::kOk;
  }
  // A repeated header does not say which of its values is meant. A list in one
  // header is a key as a whole, which no account holds.
  const bool repeated = std::any_of(key + 1, headers.end(), is_key);
  if (!repeated) {
    account_ = accounts_->FindByKey(key->value_);
  }
  return account_ == nullptr && key_must_hold ? ResultCode::kAccountKeyUnknown
                                              : ResultCode::kOk;
}

ResultCode Entry::Call::ConfirmAccount() {
  if (!match_.route_->requires_account()) {
    return ResultCode::kOk;
  }
  const std::string name = account_ == nullptr ? "" : account_->name();
  const ResultCode code = IdentifyAccount();
  const bool same = account_ != nullptr && account_->name() == name;
  return code == ResultCode::kOk && !same ? ResultCode::kAccountKeyUnknown
                                          : code;
}

void Entry::Call::EraseAccountHeaders(http::Headers& headers) const {
  if (!accounts_->InUse() && !entry_.board_.Authority().IsEnforced()) {
    return;
  }
  headers.Erase(dialect_.account_key_);
  if (!dialect_.account_name_.empty()) {
    headers.Erase(dialect_.account_name_);
  }
}

std::string Entry::Call::ClaimScope() const {
  const std::string scope = service_name_ + "/" + RouteName();
  if (account_ == nullptr) {
    return scope + "/";
  }
  // The separator keeps a request without an account, and the length a name
  // with slashes, from making up the key of another account's operation.
  constexpr char kAccountSeparator = '\x1f';
  const std::string& name = account_->name();
  return scope + kAccountSeparator + std::to_string(name.size()) + ":" + name +
         "/";
}

uint32_t Entry::Call::Priority() const {
  return account_ != nullptr && account_->has_priority()
             ? account_->priority()
             : match_.route_->priority();
}

}  // namespace buckthorngate::daemon::serving
