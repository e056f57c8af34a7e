// Requests with large bodies that may run once: when they are sent, to how many
// endpoints, and what is held meanwhile.
#define BOOST_TEST_MODULE upload
#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/http_status.h"
#include "config/config_state.h"
#include "entry_harness.h"
#include "request/buffer_budget.h"
#include "request/retry.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

constexpr size_t kPieceBytes = size_t{32} * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusOverloaded = 429;
constexpr int kStatusUnavailable = 503;

// Records the requests and answers each with the next scripted outcome; with
// 200 when there is none left.
class ScriptedHop : public daemon::serving::Hop {
 public:
  struct Sent {
    std::string endpoint_;
    std::string body_;
    bool streamed_ = false;
  };

  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest& request) override {
    sent_.push_back(
        {request.endpoint_id_, request.body_, request.rest_ != nullptr});
    if (outcomes_.empty()) {
      daemon::serving::HopAnswer answer;
      answer.reached_ = true;
      answer.head_.status_ = kStatusOk;
      co_return answer;
    }
    daemon::serving::HopAnswer answer = std::move(outcomes_.front());
    outcomes_.pop_front();
    co_return answer;
  }

  std::vector<Sent> sent_;
  std::deque<daemon::serving::HopAnswer> outcomes_;
};

// An entry with a route for uploads to two endpoints, and a scripted hop.
class UploadEntry {
 public:
  explicit UploadEntry(std::vector<std::string> endpoints = {"10.0.0.1:1",
                                                             "10.0.0.2:1"})
      : harness_({.repeatable_route_ = false,
                  .large_body_route_ = true,
                  .peer_addresses_ = std::move(endpoints)},
                 [this](const base::Clock&, http::EventLoop&) {
                   std::unique_ptr<ScriptedHop> hop =
                       std::make_unique<ScriptedHop>();
                   hop_ = hop.get();
                   return hop;
                 }) {}

  // Sends an upload of so many pieces and returns the caller with its answer.
  std::unique_ptr<WaitingCaller> Upload(size_t pieces) {
    std::unique_ptr<WaitingCaller> caller = std::make_unique<WaitingCaller>(
        "POST",
        std::vector<std::string>(pieces, std::string(kPieceBytes, 'u')));
    harness_.Send(*caller);
    caller->ended_.get_future().wait();
    return caller;
  }
  ScriptedHop& Sent() { return *hop_; }

 private:
  ScriptedHop* hop_ = nullptr;
  EntryHarness harness_;
};

// Guards against uploads that hold a slot of an upstream while their callers
// still send them.
BOOST_AUTO_TEST_CASE(AnUploadIsSentOnceItHasArrived) {
  UploadEntry entry;
  const std::unique_ptr<WaitingCaller> caller = entry.Upload(6);
  BOOST_TEST(caller->status_ == kStatusOk);
  BOOST_REQUIRE(entry.Sent().sent_.size() == 1u);
  BOOST_TEST(!entry.Sent().sent_[0].streamed_);
  BOOST_TEST(
      (entry.Sent().sent_[0].body_ == std::string(6 * kPieceBytes, 'u')));
}

// Guards against uploads that are refused to the caller although another
// endpoint has room: the body was gone after the first attempt.
BOOST_AUTO_TEST_CASE(AnUploadThatAnEndpointRefusedIsSentToAnother) {
  UploadEntry entry;
  entry.Sent().outcomes_.push_back(daemon::serving::FailedHop(
      ResultCode::kEndpointOverloaded, /*not_run=*/true));
  const std::unique_ptr<WaitingCaller> caller = entry.Upload(6);
  BOOST_TEST(caller->status_ == kStatusOk);
  BOOST_REQUIRE(entry.Sent().sent_.size() == 2u);
  BOOST_TEST(entry.Sent().sent_[0].endpoint_ !=
             entry.Sent().sent_[1].endpoint_);
  BOOST_TEST((entry.Sent().sent_[1].body_ == entry.Sent().sent_[0].body_));
}

// Guards against an upload that runs twice, or whose caller is told that it
// did not run, after its answer was lost.
BOOST_AUTO_TEST_CASE(AnUploadThatMayHaveRunIsNotSentAgain) {
  for (const size_t pieces : {1u, 6u, 16u}) {
    UploadEntry entry;
    daemon::serving::HopAnswer lost = daemon::serving::FailedHop(
        ResultCode::kUpstreamFailed, /*not_run=*/false);
    lost.reached_ = true;
    entry.Sent().outcomes_.push_back(std::move(lost));
    const std::unique_ptr<WaitingCaller> caller = entry.Upload(pieces);
    BOOST_TEST(entry.Sent().sent_.size() == 1u);
    BOOST_TEST(caller->status_ != kStatusOverloaded, pieces);
    BOOST_TEST(caller->status_ != kStatusUnavailable, pieces);
    BOOST_TEST(caller->status_ >= base::kStatusServerError, pieces);
  }
}

// A body beyond the buffer is streamed. It is gone after the first attempt, so
// a refusal goes to the caller, who may send it again.
BOOST_AUTO_TEST_CASE(AnUploadBeyondTheBufferIsStreamedToOneEndpoint) {
  UploadEntry entry;
  entry.Sent().outcomes_.push_back(daemon::serving::FailedHop(
      ResultCode::kEndpointOverloaded, /*not_run=*/true));
  const std::unique_ptr<WaitingCaller> caller = entry.Upload(16);
  BOOST_TEST(caller->status_ == kStatusOverloaded);
  BOOST_REQUIRE(entry.Sent().sent_.size() == 1u);
  BOOST_TEST(entry.Sent().sent_[0].streamed_);
}

// Guards against uploads whose bodies are taken first and refused afterwards.
BOOST_AUTO_TEST_CASE(AnUploadThatCannotBeServedIsRefusedOnItsHead) {
  UploadEntry entry(std::vector<std::string>{});
  const std::unique_ptr<WaitingCaller> caller = entry.Upload(6);
  BOOST_TEST(caller->status_ == kStatusUnavailable);
  BOOST_TEST(caller->pieces_read_ == 0u);
  BOOST_TEST(entry.Sent().sent_.empty());
}

// The memory of buffered uploads is bounded, and each buffer is given back
// once.
BOOST_AUTO_TEST_CASE(BuffersOfUploadsAreBounded) {
  request::BufferBudget budget(2);
  {
    request::BufferBudget::Buffer first = budget.Reserve();
    request::BufferBudget::Buffer second = budget.Reserve();
    BOOST_TEST(static_cast<bool>(first));
    BOOST_TEST(static_cast<bool>(second));
    BOOST_TEST(!static_cast<bool>(budget.Reserve()));
    const request::BufferBudget::Buffer moved = std::move(first);
    BOOST_TEST(budget.Used() == 2u);
    second = request::BufferBudget::Buffer();
    BOOST_TEST(budget.Used() == 1u);
    BOOST_TEST(static_cast<bool>(budget.Reserve()));
  }
  BOOST_TEST(budget.Used() == 0u);
}

// Guards against a daemon that refuses or loses a snapshot of a newer release:
// fields that it doesn't know are kept, and a route whose kind it doesn't know
// is neither repeated nor claimed.
BOOST_AUTO_TEST_CASE(ASnapshotWithUnknownFieldsIsAppliedAndPassedOn) {
  constexpr int kUnknownField = 900;
  config::ConfigState state;
  rpc::ServiceState service;
  *service.mutable_service() = MakeService("a");
  rpc::Route& route = *service.mutable_service()->mutable_routes(0);
  route.GetReflection()->MutableUnknownFields(&route)->AddVarint(kUnknownField,
                                                                 1);
  state.Put(service);
  state.SetRevision(5);
  config::ConfigState received;
  BOOST_REQUIRE(
      (received.ApplySnapshot(state.ToSnapshot()) == ResultCode::kOk));
  BOOST_TEST(received.Digest() == state.Digest());
  const rpc::ConfigSnapshot passed_on = received.ToSnapshot();
  BOOST_TEST((passed_on.SerializeAsString() ==
              state.ToSnapshot().SerializeAsString()));
  const rpc::Route& kept = passed_on.services(0).service().routes(0);
  BOOST_TEST(kept.GetReflection()->GetUnknownFields(kept).field_count() == 1);
  BOOST_TEST(!kept.repeatable());
  config::ConfigState without;
  *service.mutable_service() = MakeService("a");
  without.Put(service);
  without.SetRevision(5);
  BOOST_TEST(without.Digest() != state.Digest());
}

}  // namespace
}  // namespace buckthorngate::tests
