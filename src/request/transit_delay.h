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

#include "base/time.h"

namespace buckthorngate::request {

// Transit times of one window and the one before are compared, so that clocks
// that drift apart by 100 ppm add 2 ms at most.
inline constexpr base::Duration kTransitWindow = std::chrono::seconds(10);

// Not safe for concurrent use.
class TransitDelay {
 public:
  // Returns the delay of a request that `sender` sent at `sent` by its clock
  // and that arrived at `received` by the own one. Both clocks must go on while
  // their host is suspended.
  base::Duration Record(const std::string& sender,
                        base::Duration sent,
                        base::Duration received);

 private:
  // Shortest differences of the two clocks, in the present window and in the
  // one before.
  struct Shortest {
    std::optional<base::Duration> present_;
    std::optional<base::Duration> previous_;
    base::Duration window_end_{0};
  };

  // Forgets senders that have sent nothing for two windows.
  void DropIdle(base::Duration now);

  std::map<std::string, Shortest> senders_;
  base::Duration next_drop_{0};
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_TRANSIT_DELAY_H_
