// Hops between daemons as messages, and calls below a request.
#define BOOST_TEST_MODULE hop
#include <boost/test/unit_test.hpp>

#include <string>

#include "blackboard/metrics.h"
#include "daemon/hop_codec.h"
#include "request/call_tree.h"
#include "request/hop_headers.h"

namespace buckthorngate::tests {
namespace {

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

daemon::HopRequest MakeRequest() {
  daemon::HopRequest request;
  request.head_.method_ = "GET";
  request.head_.target_ = "/a";
  request.head_.headers_.Add("Accept", "text/plain");
  request.endpoint_id_ = "host/1.2.3.4:5";
  request.request_id_ = "id";
  request.attempt_id_ = "id/1";
  request.caller_host_ = "entry";
  request.fingerprint_ = "a:1";
  request.route_ = "main";
  request.nested_ = true;
  request.priority_ = 2;
  request.deadline_ = AtMs(900);
  request.objective_ = AtMs(400);
  return request;
}

BOOST_AUTO_TEST_CASE(WhatTheDestinationDecidesByArrivesThere) {
  const http::RequestHead head =
      daemon::EncodeHopRequest(MakeRequest(), AtMs(100));
  const auto decoded = daemon::DecodeHopRequest(head, AtMs(5000));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->route_ == "main");
  BOOST_TEST(decoded->nested_);
  BOOST_TEST(decoded->priority_ == 2u);
  BOOST_TEST((decoded->deadline_ == AtMs(5800)));
  BOOST_TEST((decoded->objective_ == AtMs(5300)));
  // Nothing of it reaches the upstream.
  BOOST_TEST(decoded->head_.headers_.Find("Accept") == "text/plain");
  BOOST_TEST(!decoded->head_.headers_.Has(request::kRouteHeader));
  BOOST_TEST(!decoded->head_.headers_.Has(request::kNestedHeader));
}

BOOST_AUTO_TEST_CASE(AFirstRequestIsNotNested) {
  daemon::HopRequest request = MakeRequest();
  request.nested_ = false;
  const auto decoded = daemon::DecodeHopRequest(
      daemon::EncodeHopRequest(request, AtMs(100)), AtMs(100));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(!decoded->nested_);
}

BOOST_AUTO_TEST_CASE(AMessageWithoutItsAttemptIsRefused) {
  http::RequestHead head = daemon::EncodeHopRequest(MakeRequest(), AtMs(0));
  head.headers_.Erase(request::kAttemptHeader);
  BOOST_TEST((daemon::DecodeHopRequest(head, AtMs(0)).error() ==
              ResultCode::kMalformed));
}

// Pattern: calls of a request were refused like first requests, because their
// ids extend the request's id instead of repeating it.
BOOST_AUTO_TEST_CASE(CallsAreKnownByTheIdThatTheyRepeatOrExtend) {
  request::CallTree tree;
  tree.Open("p");
  tree.Open("q.r");
  BOOST_TEST(tree.IsBelow("p"));
  BOOST_TEST(tree.IsBelow("p.1"));
  BOOST_TEST(tree.IsBelow("q.r"));
  BOOST_TEST(tree.IsBelow("q.r.1"));
  BOOST_TEST(!tree.IsBelow("p.1.2"));
  BOOST_TEST(!tree.IsBelow("q"));
  BOOST_TEST(!tree.IsBelow("pp"));
  tree.Add("p.1", 2);
  tree.Add("q.r", 3);
  tree.Add("unknown", 4);
  BOOST_TEST(tree.Take("p") == 2u);
  BOOST_TEST(tree.Take("q.r") == 3u);
  BOOST_TEST(!tree.IsBelow("p.1"));
}

// Pattern: quantiles of several daemons do not add up, so a slow host could not
// be seen on the whole mesh's page; a time on a bound belongs below it.
BOOST_AUTO_TEST_CASE(TimesAreCountedInCumulativeBuckets) {
  blackboard::Metrics metrics;
  metrics.NoteRequest(blackboard::CallSide::kEntry,
                      std::chrono::milliseconds(1));
  metrics.NoteRequest(blackboard::CallSide::kEntry,
                      std::chrono::milliseconds(30));
  metrics.NoteRequest(blackboard::CallSide::kEntry, std::chrono::minutes(2));
  metrics.NoteCall(std::chrono::milliseconds(30));
  const std::string page = metrics.Render();
  const auto has = [&page](const std::string& line) {
    return page.find(line + "\n") != std::string::npos;
  };
  const std::string entry =
      "buckthorngate_request_seconds_bucket{side=\"entry\",";
  BOOST_TEST(has(entry + "le=\"0.001000\"} 1"), page);
  BOOST_TEST(has(entry + "le=\"0.025000\"} 1"), page);
  BOOST_TEST(has(entry + "le=\"0.050000\"} 2"), page);
  BOOST_TEST(has(entry + "le=\"30.000000\"} 2"), page);
  BOOST_TEST(has(entry + "le=\"+Inf\"} 3"), page);
  BOOST_TEST(has("buckthorngate_request_seconds_count{side=\"entry\"} 3"),
             page);
  BOOST_TEST(has("buckthorngate_request_seconds_count{side=\"destination\"} 0"),
             page);
  BOOST_TEST(has("buckthorngate_call_seconds_bucket{le=\"0.050000\"} 1"), page);
  BOOST_TEST(has("buckthorngate_call_seconds_max 0.030000"), page);
}

// Pattern: requests that ended without an answer were counted nowhere.
BOOST_AUTO_TEST_CASE(CutRequestsAreCountedBySideAndCause) {
  blackboard::Metrics metrics;
  metrics.CountCut(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountCut(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountCut(blackboard::CallSide::kDestination, "caller-left");
  const std::string page = metrics.Render();
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"entry\","
                       "cause=\"write-timed-out\"} 2.") != std::string::npos,
             page);
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"destination\","
                       "cause=\"caller-left\"} 1.") != std::string::npos,
             page);
}

}  // namespace
}  // namespace buckthorngate::tests
