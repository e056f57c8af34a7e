// The entry's treatment of client accounts: which keys are accepted, what goes
// on to other daemons, and the lease on the authority to accept keys.
#define BOOST_TEST_MODULE account_entry
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/sha256.h"
#include "entry_harness.h"
#include "request/hop_headers.h"

namespace buckthorngate::tests {
namespace {

constexpr char kKey[] = "key-7f3c1e";
constexpr char kKeyHeader[] = "Api-Key";
constexpr char kNameHeader[] = "Account-Name";

rpc::ClientAccount MakeAccount(const std::string& name,
                               const std::string& key) {
  rpc::ClientAccount account;
  account.set_name(name);
  account.add_key_digests(base::Sha256(key));
  account.set_priority(3);
  return account;
}

// Answers each request and keeps the last one.
class RecordingHop : public daemon::serving::Hop {
 public:
  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest& request) override {
    ++runs_;
    last_ = request;
    daemon::serving::HopAnswer answer;
    answer.reached_ = true;
    answer.head_.status_ = 200;
    co_return answer;
  }

  int runs_ = 0;
  daemon::serving::HopRequest last_;
};

EntryHarnessOptions MakeOptions() {
  EntryHarnessOptions options;
  options.peer_addresses_ = {"unused"};
  options.accounts_ = {MakeAccount("one", kKey), MakeAccount("two", "k2")};
  options.requires_account_ = true;
  options.route_priority_ = 1;
  return options;
}

class AccountEntry {
 public:
  explicit AccountEntry(const EntryHarnessOptions& options = MakeOptions())
      : harness_(options, [this](const base::Clock&, http::EventLoop&) {
          std::unique_ptr<RecordingHop> hop = std::make_unique<RecordingHop>();
          hop_ = hop.get();
          return hop;
        }) {}

  // Status of the answer to a request with these headers.
  int Call(const std::vector<std::pair<std::string, std::string>>& headers) {
    WaitingCaller caller;
    for (const auto& [name, value] : headers) {
      caller.AddHeader(name, value);
    }
    harness_.Send(caller);
    caller.ended_.get_future().wait();
    answer_ = caller.answer_;
    return caller.status_;
  }

  RecordingHop* hop_ = nullptr;
  http::AnswerHead answer_;
  EntryHarness harness_;
};

// Guards against keys and forged names that reach upstreams or other daemons.
BOOST_AUTO_TEST_CASE(TheKeyStaysAtTheEntryAndTheNameIsTheSystems) {
  AccountEntry entry;
  BOOST_TEST(entry.Call({{"aPI-kEY", kKey},
                         {kNameHeader, "two"},
                         {"account-NAME", "two"},
                         {"Bg-Account", "two"},
                         {"bg-priority", "0"},
                         {"Accept", "text/plain"}}) == 200);
  const daemon::serving::HopRequest& sent = entry.hop_->last_;
  BOOST_TEST(sent.account_ == "one");
  BOOST_TEST(sent.priority_ == 3u);
  BOOST_TEST(sent.head_.headers_.Find("Accept") == "text/plain");
  for (const http::Header& header : sent.head_.headers_.Items()) {
    BOOST_TEST(header.value_.find(kKey) == std::string::npos, header.name_);
    BOOST_TEST(header.value_ != "two", header.name_);
  }
}

// Guards against a request that runs although its key is missing, wrong or
// ambiguous, and against a 401 that invites to try again.
BOOST_AUTO_TEST_CASE(KeysThatSayNoAccountAreRefused) {
  const std::vector<std::pair<std::string, std::string>> cases[] = {
      {},
      {{kKeyHeader, ""}},
      {{kKeyHeader, "other"}},
      {{kKeyHeader, kKey}, {kKeyHeader, kKey}},
      {{kKeyHeader, kKey}, {"api-key", "k2"}},
      {{kKeyHeader, std::string(kKey) + ", k2"}},
      {{kKeyHeader, std::string(kKey) + "," + kKey}},
      {{kNameHeader, "one"}},
      {{"Bg-Account", "one"}},
  };
  AccountEntry entry;
  for (const auto& headers : cases) {
    BOOST_TEST(entry.Call(headers) == 401);
    BOOST_TEST(!entry.answer_.headers_.Has("Retry-After"));
    BOOST_TEST(entry.answer_.headers_.Find(request::kNotRunHeader) == "true");
  }
  BOOST_TEST(entry.hop_->runs_ == 0);
}

// Guards against anonymous requests that are refused, or told as an account's.
BOOST_AUTO_TEST_CASE(RoutesForAnonymousCallersTakeUnknownKeysAsNone) {
  EntryHarnessOptions options = MakeOptions();
  options.requires_account_ = false;
  AccountEntry entry(options);
  BOOST_TEST(entry.Call({{kKeyHeader, "other"}, {kNameHeader, "one"}}) == 200);
  BOOST_TEST(entry.hop_->last_.account_ == "");
  BOOST_TEST(entry.hop_->last_.priority_ == 1u);
  BOOST_TEST(!entry.hop_->last_.head_.headers_.Has(kKeyHeader));
  BOOST_TEST(!entry.hop_->last_.head_.headers_.Has(kNameHeader));
  BOOST_TEST(entry.Call({{kKeyHeader, "k2"}}) == 200);
  BOOST_TEST(entry.hop_->last_.account_ == "two");
}

// Guards against a change for meshes without accounts, whose applications may
// use the headers themselves.
BOOST_AUTO_TEST_CASE(WithoutAccountsHeadersPassUnchanged) {
  EntryHarnessOptions options = MakeOptions();
  options.accounts_.clear();
  options.requires_account_ = false;
  AccountEntry entry(options);
  BOOST_TEST(entry.Call({{kKeyHeader, "own"}, {kNameHeader, "own"}}) == 200);
  BOOST_TEST(entry.hop_->last_.head_.headers_.Find(kKeyHeader) == "own");
  BOOST_TEST(entry.hop_->last_.head_.headers_.Find(kNameHeader) == "own");
}

// Guards against keys that are served, or handed to upstreams, once no account
// is left.
BOOST_AUTO_TEST_CASE(NoKeyIsServedOrPassedOnOnceAccountsAreGone) {
  EntryHarnessOptions options = MakeOptions();
  options.accounts_.clear();
  options.uses_accounts_ = true;
  options.refuses_unknown_keys_ = true;
  AccountEntry required(options);
  BOOST_TEST(required.Call({{kKeyHeader, kKey}}) == 401);
  BOOST_TEST(required.Call({}) == 401);
  BOOST_TEST(required.hop_->runs_ == 0);
  // A configuration that says nothing of accounts any more.
  options.requires_account_ = false;
  AccountEntry ended(options);
  BOOST_TEST(ended.Call({{kKeyHeader, kKey}}) == 401);
  BOOST_TEST(ended.hop_->runs_ == 0);
  BOOST_TEST(ended.Call({{kNameHeader, "one"}}) == 200);
  BOOST_TEST(!ended.hop_->last_.head_.headers_.Has(kNameHeader));
  // A host that is cut off can't tell what keys hold by now.
  options.revocation_bound_ = std::chrono::seconds(5);
  AccountEntry cut_off(options);
  BOOST_TEST(cut_off.Call({{kKeyHeader, kKey}}) == 503);
  BOOST_TEST(cut_off.Call({}) == 200);
  // A route for anonymous callers.
  options.refuses_unknown_keys_ = false;
  AccountEntry anonymous(options);
  BOOST_TEST(anonymous.Call({{kKeyHeader, kKey}, {kNameHeader, "one"}}) == 200);
  BOOST_TEST(!anonymous.hop_->last_.head_.headers_.Has(kKeyHeader));
  BOOST_TEST(!anonymous.hop_->last_.head_.headers_.Has(kNameHeader));
}

// Guards against an entry that accepts keys without knowing that they are
// current: before its first lease, after the lease, and after a revocation.
BOOST_AUTO_TEST_CASE(KeysAreAcceptedOnlyUnderAValidLease) {
  EntryHarnessOptions options = MakeOptions();
  options.revocation_bound_ = std::chrono::seconds(5);
  AccountEntry entry(options);
  BOOST_TEST(entry.Call({{kKeyHeader, kKey}}) == 503);
  BOOST_TEST(entry.answer_.headers_.Has("Retry-After"));
  BOOST_TEST(entry.answer_.headers_.Find(request::kNotRunHeader) == "true");
  const base::BootTime now = base::BootClock::now();
  entry.harness_.ConfirmAuthority(now);
  BOOST_TEST(entry.Call({{kKeyHeader, kKey}}) == 200);
  entry.harness_.SetAccounts({MakeAccount("one", "new")});
  BOOST_TEST(entry.Call({{kKeyHeader, kKey}}) == 401);
  entry.harness_.ConfirmAuthority(now - std::chrono::milliseconds(4751));
  BOOST_TEST(entry.Call({{kKeyHeader, "new"}}) == 503);
  BOOST_TEST(entry.hop_->runs_ == 1);
}

// Guards against an entry that refuses callers who need no account because it
// is cut off, or tells upstreams an account that may have lost its key.
BOOST_AUTO_TEST_CASE(AnonymousRoutesAreServedWithoutALease) {
  EntryHarnessOptions options = MakeOptions();
  options.requires_account_ = false;
  options.revocation_bound_ = std::chrono::seconds(5);
  AccountEntry entry(options);
  BOOST_TEST(entry.Call({{kKeyHeader, kKey}}) == 200);
  BOOST_TEST(entry.hop_->last_.account_ == "");
}

// A caller whose body arrives after its lease has run out and its key has been
// revoked.
class SlowCaller : public WaitingCaller {
 public:
  explicit SlowCaller(std::function<void()> meanwhile)
      : WaitingCaller("POST", {"a", "b"}), meanwhile_(std::move(meanwhile)) {}

  http::Task<http::BodyState> Read(std::string& piece, size_t most) override {
    meanwhile_();
    const http::BodyState state = co_await WaitingCaller::Read(piece, most);
    co_return state;
  }

 private:
  const std::function<void()> meanwhile_;
};

// Guards against a request that waits at the entry and leaves it after the
// bound.
BOOST_AUTO_TEST_CASE(TheLeaseIsCheckedAgainBeforeTheFirstAttempt) {
  EntryHarnessOptions options = MakeOptions();
  options.revocation_bound_ = std::chrono::seconds(5);
  AccountEntry entry(options);
  const base::BootTime now = base::BootClock::now();
  entry.harness_.ConfirmAuthority(now);
  SlowCaller expired([&entry, now] {
    entry.harness_.ConfirmAuthority(now - std::chrono::seconds(5));
  });
  expired.AddHeader(kKeyHeader, kKey);
  entry.harness_.Send(expired);
  expired.ended_.get_future().wait();
  BOOST_TEST(expired.status_ == 503);
  entry.harness_.ConfirmAuthority(base::BootClock::now());
  SlowCaller revoked(
      [&entry] { entry.harness_.SetAccounts({MakeAccount("one", "new")}); });
  revoked.AddHeader(kKeyHeader, kKey);
  entry.harness_.Send(revoked);
  revoked.ended_.get_future().wait();
  BOOST_TEST(revoked.status_ == 401);
  BOOST_TEST(entry.hop_->runs_ == 0);
}

}  // namespace
}  // namespace buckthorngate::tests
