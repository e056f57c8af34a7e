// Hops between daemons as messages, and calls below a request.
#define BOOST_TEST_MODULE hop
#include <boost/test/unit_test.hpp>

#include <string>

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

}  // namespace
}  // namespace buckthorngate::tests
