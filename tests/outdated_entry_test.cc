// What an entry answers while it knows that there is a newer configuration.
#define BOOST_TEST_MODULE outdated_entry
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>

#include "base/http_status.h"
#include "entry_harness.h"
#include "request/hop_headers.h"

namespace buckthorngate::tests {
namespace {

constexpr int kStatusUnauthorized = 401;

// Answers each request.
class AnsweringHop : public daemon::serving::Hop {
 public:
  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest&) override {
    daemon::serving::HopAnswer answer;
    answer.reached_ = true;
    answer.head_.status_ = base::kStatusOk;
    co_return answer;
  }
};

class OutdatedEntry {
 public:
  OutdatedEntry()
      : harness_(Options(), [](const auto&, auto&) {
          return std::make_unique<AnsweringHop>();
        }) {}

  int Call(const std::string& target, const std::string& key) {
    WaitingCaller caller;
    caller.SetTarget(target);
    if (!key.empty()) {
      caller.AddHeader("Api-Key", key);
    }
    harness_.Send(caller);
    caller.ended_.get_future().wait();
    not_run_ = caller.answer_.headers_.Find(request::kNotRunHeader) == "true";
    may_return_ = caller.answer_.headers_.Has("Retry-After");
    return caller.status_;
  }
  EntryHarness& Harness() { return harness_; }

  bool not_run_ = false;
  bool may_return_ = false;

 private:
  static EntryHarnessOptions Options() {
    EntryHarnessOptions options;
    options.peer_addresses_ = {"unused"};
    options.uses_accounts_ = true;
    options.refuses_unknown_keys_ = true;
    return options;
  }

  EntryHarness harness_;
};

// Guards against a request that is refused for good because of an older
// configuration: the newer one may have added its route or its key.
BOOST_AUTO_TEST_CASE(WhatANewerConfigurationMayAllowIsRefusedForNow) {
  OutdatedEntry entry;
  BOOST_TEST(entry.Call("/unknown/", "") == base::kStatusNotFound);
  BOOST_TEST(entry.Call("/a", "unknown") == kStatusUnauthorized);
  entry.Harness().SetBehindFor(std::chrono::milliseconds(1));
  BOOST_TEST(entry.Call("/unknown/", "") == base::kStatusUnavailable);
  BOOST_TEST(entry.not_run_);
  BOOST_TEST(entry.may_return_);
  BOOST_TEST(entry.Call("/a", "unknown") == base::kStatusUnavailable);
  BOOST_TEST(entry.not_run_);
  // What both allow is served.
  BOOST_TEST(entry.Call("/a", "") == base::kStatusOk);
  entry.Harness().SetBehindFor(base::Duration(0));
  BOOST_TEST(entry.Call("/unknown/", "") == base::kStatusNotFound);
}

}  // namespace
}  // namespace buckthorngate::tests
