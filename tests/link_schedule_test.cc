// Bodies on slow links: the decisions of the schedule one by one, and the load
// of a service that takes large uploads and is called by another one.
#define BOOST_TEST_MODULE link_schedule
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

#include "overload_model.h"
#include "request/endpoint_picker.h"
#include "request/link_schedule.h"

namespace buckthorngate::tests {
namespace {

using benchmark::KindReport;
using benchmark::ModelKind;
using benchmark::ModelOptions;
using benchmark::ModelService;
using benchmark::OverloadModel;
using request::BodyRequest;
using request::LinkSchedule;
using request::LinkVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

// 5.5 Mbit/s.
constexpr double kLinkRate = 687'500.0;
constexpr uint64_t kBodyBytes = 60'000;
// Share of the requests of each class that is to be answered in time: the
// users' target for the worth of this load.
constexpr double kInTime = 0.78;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::hours(1) + milliseconds(ms));
}

BodyRequest Body(uint64_t ticket, int64_t deadline_ms) {
  return {ticket, kBodyBytes, AtMs(deadline_ms * 2 / 3), AtMs(deadline_ms)};
}

// Guards against bodies that arrive side by side: all of them are late, and
// calls wait behind all of them.
BOOST_AUTO_TEST_CASE(BodiesAreGrantedWhileTheLinkHasRoom) {
  LinkSchedule link(kLinkRate);
  BOOST_TEST((link.Enter(Body(1, 3000), AtMs(0)) == LinkVerdict::kGranted));
  BOOST_TEST((link.Enter(Body(2, 3000), AtMs(0)) == LinkVerdict::kQueued));
  BOOST_TEST(link.TakeDecisions(AtMs(10)).empty());
  // The next one is granted before the last byte of this one has arrived.
  link.Received(1, kBodyBytes * 2 / 3);
  const std::vector<LinkSchedule::Decision> decisions =
      link.TakeDecisions(AtMs(60));
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST(decisions[0].ticket_ == 2u);
  BOOST_TEST(decisions[0].granted_);
  BOOST_TEST((link.TimeInTransit() < milliseconds(120)));
}

// The body whose sender has the least time left goes first.
BOOST_AUTO_TEST_CASE(TheEarliestDeadlineIsGrantedFirst) {
  LinkSchedule link(kLinkRate);
  (void)link.Enter(Body(1, 3000), AtMs(0));
  BOOST_TEST((link.Enter(Body(2, 3000), AtMs(0)) == LinkVerdict::kQueued));
  BOOST_TEST((link.Enter(Body(3, 2500), AtMs(0)) == LinkVerdict::kQueued));
  link.Release(1);
  const std::vector<LinkSchedule::Decision> decisions =
      link.TakeDecisions(AtMs(100));
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST(decisions[0].ticket_ == 3u);
}

// Guards against bodies that are sent although they will come too late, and
// against senders that wait for long before they may try another host.
BOOST_AUTO_TEST_CASE(ABodyThatWouldComeTooLateIsRefusedAtOnce) {
  LinkSchedule link(kLinkRate);
  BOOST_TEST((link.Enter(Body(1, 50), AtMs(0)) == LinkVerdict::kRefused));
  uint64_t ticket = 2;
  while (link.Enter(Body(ticket, 3000), AtMs(0)) != LinkVerdict::kRefused) {
    BOOST_REQUIRE(++ticket < 100);
  }
  BOOST_TEST((link.TimeDue() < milliseconds(1000)));
  BOOST_TEST(link.Waiting() > 2u);
}

// Guards against a link that stays occupied by a sender that has stopped.
BOOST_AUTO_TEST_CASE(ASenderThatStopsDoesNotOccupyTheLink) {
  LinkSchedule link(kLinkRate);
  (void)link.Enter(Body(1, 3000), AtMs(0));
  BOOST_TEST((link.Enter(Body(2, 3000), AtMs(0)) == LinkVerdict::kQueued));
  BOOST_TEST(link.TakeDecisions(AtMs(400)).empty());
  BOOST_TEST(link.TakeDecisions(AtMs(700)).size() == 1u);
  // Late bytes of a transfer that was given up change nothing.
  const base::Duration before = link.TimeInTransit();
  link.Received(1, kBodyBytes);
  link.Release(1);
  BOOST_TEST((link.TimeInTransit() == before));
}

BOOST_AUTO_TEST_CASE(TheUseOfALinkIsAnAverage) {
  LinkSchedule link(kLinkRate);
  int64_t ms = 0;
  for (uint64_t ticket = 1; ticket <= 100; ++ticket) {
    ms += 125;  // 87 ms of the link.
    link.AddUnasked(ticket, kBodyBytes, AtMs(ms));
    link.Release(ticket);
  }
  BOOST_TEST(link.Use(AtMs(ms)) > 0.62);
  BOOST_TEST(link.Use(AtMs(ms)) < 0.78);
  BOOST_TEST(link.Use(AtMs(ms + 10'000)) < 0.01);
}

ModelKind Kind(const std::string& name,
               size_t service,
               double per_second_in_zone,
               milliseconds work,
               milliseconds objective,
               milliseconds deadline,
               uint32_t priority) {
  ModelKind kind;
  kind.name_ = name;
  kind.service_ = service;
  if (per_second_in_zone > 0.0) {
    kind.per_second_ = {per_second_in_zone, per_second_in_zone,
                        per_second_in_zone};
  }
  kind.work_ = work;
  kind.objective_ = objective;
  kind.deadline_ = deadline;
  kind.priority_ = priority;
  return kind;
}

enum KindIndex : size_t { kUpload, kOrder, kFetch, kOrderCall, kUploadCall };

// Three zones. Eight hosts take uploads that need 69 % of their links, if they
// are spread evenly, and are called by the runs of orders at other hosts. The
// zones have three, three and two of them.
ModelOptions UploadsBesideCalls() {
  ModelOptions options;
  options.zones_ = 3;
  options.entries_per_zone_ = 12;
  options.learns_speeds_ = true;
  options.link_bytes_per_second_ = kLinkRate;
  options.length_ = seconds(20);
  const ModelService intake = {{{0, 0.7},
                                {0, 0.7},
                                {0, 1.6},
                                {1, 0.7},
                                {1, 0.7},
                                {1, 1.6},
                                {2, 0.7},
                                {2, 1.6}},
                               6};
  ModelService orders;
  orders.slots_ = 6;
  for (int i = 0; i < 27; ++i) {
    orders.endpoints_.push_back({i % 3, i % 2 == 0 ? 0.8 : 1.2});
  }
  const ModelService images = {{{0, 1.0}, {0, 1.0}, {1, 1.0}, {2, 1.5}}, 6};
  options.services_ = {intake, orders, images};
  ModelKind upload = Kind("upload", 0, 21.0, milliseconds(260),
                          milliseconds(2000), milliseconds(3000), 2);
  upload.large_ = true;
  upload.body_bytes_ = static_cast<double>(kBodyBytes);
  upload.calls_kind_ = kUploadCall;
  upload.calls_share_ = 0.7;
  ModelKind order = Kind("order", 1, 78.0, milliseconds(290),
                         milliseconds(1000), milliseconds(1500), 1);
  order.calls_kind_ = kOrderCall;
  order.calls_share_ = 0.7;
  order.calls_ = 2;
  options.kinds_ = {upload, order,
                    Kind("fetch", 2, 54.0, milliseconds(88), milliseconds(400),
                         milliseconds(1200), 0),
                    Kind("order-call", 0, 0.0, milliseconds(55),
                         milliseconds(200), milliseconds(600), 0),
                    Kind("upload-call", 2, 0.0, milliseconds(55),
                         milliseconds(200), milliseconds(600), 0)};
  return options;
}

void Print(const std::string& name, const std::vector<KindReport>& reports) {
  for (const KindReport& report : reports) {
    BOOST_TEST_MESSAGE(name << ": asked " << report.asked_ << ", in time "
                            << report.InTimeShare() << ", late " << report.late_
                            << ", refused " << report.refused_ << ", failed "
                            << report.failed_);
  }
}

// Guards against links that fill with uploads: calls and answers wait behind
// the bodies until the runs that wait for them have failed.
BOOST_AUTO_TEST_CASE(UploadsLeaveRoomForCalls) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ModelOptions options = UploadsBesideCalls();
    Print("not asked", OverloadModel(options, seed).Run());
    options.asks_for_bodies_ = true;
    const std::vector<KindReport> reports = OverloadModel(options, seed).Run();
    Print("asked", reports);
    for (const size_t kind : {kUpload, kOrder, kFetch}) {
      BOOST_TEST(reports[kind].InTimeShare() >= kInTime,
                 "seed " << seed << ", kind " << kind << ": "
                         << reports[kind].InTimeShare());
    }
  }
}

// Guards against a class that starves while the uploads of a burst are carried.
BOOST_AUTO_TEST_CASE(ABurstOfUploadsStarvesNoClass) {
  constexpr double kQuarter = 0.25;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ModelOptions options = UploadsBesideCalls();
    options.asks_for_bodies_ = true;
    ModelKind& upload = options.kinds_[kUpload];
    upload.max_load_ = 2.6;
    upload.wave_ = [](int, base::Duration time) {
      return time > seconds(6) && time < seconds(11) ? 2.6 : 1.0;
    };
    const std::vector<KindReport> reports = OverloadModel(options, seed).Run();
    Print("burst", reports);
    BOOST_TEST(reports[kOrder].InTimeShare() >= kInTime);
    BOOST_TEST(reports[kFetch].InTimeShare() >= kInTime);
    BOOST_TEST(reports[kUpload].InTimeShare() >= kQuarter);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
