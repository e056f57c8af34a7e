// Since when a node has known of a newer revision than the one it holds.
#ifndef SRC_DISTRIBUTION_REVISION_LAG_H_
#define SRC_DISTRIBUTION_REVISION_LAG_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace buckthorngate::distribution {

// Times are of the clock that also counts suspended time.
class RevisionLag {
 public:
  // Another node has said that it holds `revision`.
  void Heard(uint64_t revision, base::BootTime now);
  // This node holds `revision` now.
  void Held(uint64_t revision);

  // When the node heard of the first revision above the one it holds; nothing
  // while it knows of none.
  std::optional<base::BootTime> Since() const;

 private:
  struct Announced {
    uint64_t revision_ = 0;
    base::BootTime heard_;
  };

  uint64_t held_ = 0;
  // Invariant: all are above held_, and both members increase.
  std::deque<Announced> newer_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_REVISION_LAG_H_
