// Estimates how long requests between daemons were delayed on their way.
//
// A request carries the time left until its deadline. Behind a full link it may
// arrive seconds later, when that time has passed and its caller has left. The
// clocks of two hosts differ by an unknown offset, so the receiver compares a
// request's transit time with the shortest recent one of the same sender: what
// is beyond it is delay.
#ifndef SRC_REQUEST_TRANSIT_DELAY_H_
#define SRC_REQUEST_TRANSIT_DELAY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace buckthorngate::request {

// Between daemons only: when the request was sent, by TimeSinceBoot of its
// sender, in microseconds.
inline constexpr char kSentHeader[] = "Bg-Sent-Us";

// Transit times of one window and the one before are compared, so that clocks
// that drift apart by 100 ppm add 6 ms at most.
inline constexpr base::Duration kTransitWindow = std::chrono::seconds(30);
// A longer delay is a sender that has started again, with another offset: a
// connection ends once nothing of it is taken for 12 s (ClientOptions).
inline constexpr base::Duration kMostTransitDelay = std::chrono::seconds(15);

// Requests tell when they were sent only on hosts with a link slower than this,
// on which a body of 60 KB occupies the link for 50 ms or more.
inline constexpr double kSlowLinkMbps = 10.0;

// Value of kSentHeader; nothing if it is no time.
std::optional<base::Duration> ParseSentTime(std::string_view text);

// Time since the host started, including the time that it was suspended.
// Nothing sets this clock, so it does not jump.
base::Duration TimeSinceBoot();

// Not safe for concurrent use.
class TransitDelay {
 public:
  // Returns the delay of a request that `sender` sent at `sent` by its clock
  // and that arrived at `received` by the own one. 0 for the first request of a
  // sender in two windows: nothing is known of its clock.
  base::Duration Record(const std::string& sender,
                        base::Duration sent,
                        base::Duration received);
  size_t Senders() const { return senders_.size(); }

 private:
  // Shortest differences of the two clocks, in the present window and in the
  // one before.
  struct Shortest {
    std::optional<base::Duration> present_;
    std::optional<base::Duration> previous_;
    base::Duration window_end_{0};
  };

  // Begins a new window if the present one has ended.
  static void Roll(Shortest& shortest, base::Duration now);
  // Forgets senders that have sent nothing for two windows.
  void DropIdle(base::Duration now);

  std::map<std::string, Shortest> senders_;
  base::Duration next_drop_{0};
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_TRANSIT_DELAY_H_
