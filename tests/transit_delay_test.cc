// How long requests between daemons were delayed, by clocks that differ.
#define BOOST_TEST_MODULE transit_delay
#include <boost/test/unit_test.hpp>

#include "request/transit_delay.h"

namespace buckthorngate::tests {
namespace {

using request::TransitDelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The sender's clock is this far ahead of the receiver's.
constexpr base::Duration kAhead = std::chrono::hours(7);
constexpr base::Duration kTransit = milliseconds(2);

// Records a request that took `transit` and arrived at `received`.
base::Duration Delay(TransitDelay& delays,
                     base::Duration received,
                     base::Duration transit) {
  return delays.Record("sender", received - transit + kAhead, received);
}

// A link that fills for seconds: requests wait in its queue, and the queue
// empties again.
BOOST_AUTO_TEST_CASE(TheDelayBehindAFullLinkIsKnown) {
  TransitDelay delays;
  base::Duration now = seconds(1000);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    BOOST_TEST((Delay(delays, now, kTransit) == base::Duration(0)));
  }
  for (int i = 1; i <= 50; ++i) {
    now += milliseconds(100);
    const base::Duration waited = milliseconds(40 * i);
    BOOST_TEST((Delay(delays, now, kTransit + waited) == waited));
  }
  now += milliseconds(100);
  BOOST_TEST((Delay(delays, now, kTransit) == base::Duration(0)));
}

// Guards against requests that are refused for ever after a path or a clock
// has changed: the shortest transit time is forgotten after two windows.
BOOST_AUTO_TEST_CASE(ALongerPathIsNoDelayAfterTwoWindows) {
  TransitDelay delays;
  base::Duration now = seconds(1000);
  Delay(delays, now, kTransit);
  const base::Duration longer = milliseconds(900);
  const base::Duration changed = now;
  while (now < changed + 2 * request::kTransitWindow) {
    now += milliseconds(500);
    Delay(delays, now, longer);
  }
  now += milliseconds(500);
  BOOST_TEST((Delay(delays, now, longer) == base::Duration(0)));
}

// A sender that was silent for long, or that started again with another clock,
// is measured anew.
BOOST_AUTO_TEST_CASE(ASenderThatWasSilentIsMeasuredAnew) {
  TransitDelay delays;
  Delay(delays, seconds(1000), kTransit);
  BOOST_TEST((Delay(delays, seconds(1000) + 3 * request::kTransitWindow,
                    milliseconds(700)) == base::Duration(0)));
  BOOST_TEST(
      (delays.Record("other", seconds(5), seconds(2000)) == base::Duration(0)));
}

}  // namespace
}  // namespace buckthorngate::tests
