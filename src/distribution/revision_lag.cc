// Since when a node has known of a newer revision than the one it holds.
#include "distribution/revision_lag.h"

#include <cstddef>

namespace buckthorngate::distribution {
namespace {

// Bounds the memory. Beyond it, revisions count as heard with an earlier one.
constexpr size_t kMaxAnnounced = 256;

}  // namespace

void RevisionLag::Heard(uint64_t revision, base::BootTime now) {
  if (revision <= held_) {
    return;
  }
  if (!newer_.empty() && revision <= newer_.back().revision_) {
    return;
  }
  if (newer_.size() >= kMaxAnnounced) {
    newer_.back().revision_ = revision;
    return;
  }
  newer_.push_back({revision, now});
}

void RevisionLag::Held(uint64_t revision) {
  held_ = revision;
  while (!newer_.empty() && newer_.front().revision_ <= held_) {
    newer_.pop_front();
  }
}

std::optional<base::BootTime> RevisionLag::Since() const {
  if (newer_.empty()) {
    return std::nullopt;
  }
  return newer_.front().heard_;
}

}  // namespace buckthorngate::distribution
