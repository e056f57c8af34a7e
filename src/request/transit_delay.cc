// Estimates how long requests between daemons were delayed on their way.
#include "request/transit_delay.h"

#include <algorithm>

namespace buckthorngate::request {

void TransitDelay::DropIdle(base::Duration now) {
  if (now < next_drop_) {
    return;
  }
  next_drop_ = now + kTransitWindow;
  std::erase_if(senders_, [now](const auto& item) {
    return now >= item.second.window_end_ + kTransitWindow;
  });
}

base::Duration TransitDelay::Record(const std::string& sender,
                                    base::Duration sent,
                                    base::Duration received) {
  DropIdle(received);
  Shortest& shortest = senders_[sender];
  if (received >= shortest.window_end_) {
    const bool adjacent = received < shortest.window_end_ + kTransitWindow;
    shortest.previous_ = adjacent ? shortest.present_ : std::nullopt;
    shortest.present_.reset();
    shortest.window_end_ = received + kTransitWindow;
  }
  const base::Duration transit = received - sent;
  shortest.present_ = std::min(shortest.present_.value_or(transit), transit);
  const base::Duration fastest =
      std::min(*shortest.present_, shortest.previous_.value_or(transit));
  return transit - fastest;
}

}  // namespace buckthorngate::request
