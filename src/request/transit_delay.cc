// Estimates how long requests between daemons were delayed on their way.
#include "request/transit_delay.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace buckthorngate::request {

base::Duration TimeSinceBoot() {
  return base::BootClock::now().time_since_epoch();
}

std::optional<base::Duration> ParseSentTime(std::string_view text) {
  // A century, so that differences of such times cannot overflow.
  constexpr int64_t kMostUs = int64_t{100} * 366 * 24 * 3600 * 1'000'000;
  int64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = !text.empty() && parsed.ec == std::errc() &&
                     parsed.ptr == text.data() + text.size() && value >= 0 &&
                     value <= kMostUs;
  return valid ? std::optional<base::Duration>(std::chrono::microseconds(value))
               : std::nullopt;
}

void TransitDelay::DropIdle(base::Duration now) {
  if (now < next_drop_) {
    return;
  }
  next_drop_ = now + kTransitWindow;
  std::erase_if(senders_, [now](const auto& item) {
    return now >= item.second.window_end_ + kTransitWindow;
  });
}

void TransitDelay::Roll(Shortest& shortest, base::Duration now) {
  if (now < shortest.window_end_) {
    return;
  }
  const bool adjacent = now < shortest.window_end_ + kTransitWindow;
  shortest.previous_ = adjacent ? shortest.present_ : std::nullopt;
  shortest.present_.reset();
  shortest.window_end_ = now + kTransitWindow;
}

base::Duration TransitDelay::Record(const std::string& sender,
                                    base::Duration sent,
                                    base::Duration received) {
  DropIdle(received);
  Shortest& shortest = senders_[sender];
  Roll(shortest, received);
  const base::Duration transit = received - sent;
  const base::Duration fastest =
      std::min({transit, shortest.present_.value_or(transit),
                shortest.previous_.value_or(transit)});
  if (transit - fastest > kMostTransitDelay) {
    shortest.present_ = transit;
    shortest.previous_.reset();
    return base::Duration(0);
  }
  shortest.present_ = std::min(shortest.present_.value_or(transit), transit);
  return transit - fastest;
}

}  // namespace buckthorngate::request
