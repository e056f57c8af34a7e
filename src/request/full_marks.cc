// Marks of endpoints without room.
#include "request/full_marks.h"

#include <algorithm>

namespace buckthorngate::request {
namespace {

// Range of the time of a mark. At full load a slot becomes free every few
// milliseconds; a longer mark than the second one would leave slots idle when a
// burst ends.
constexpr base::Duration kMinMark = std::chrono::milliseconds(25);
constexpr base::Duration kMaxMark = std::chrono::milliseconds(60);

}  // namespace

void FullMarks::Mark(const std::string& kind,
                     const std::string& endpoint,
                     base::Duration room,
                     base::MonoTime now) {
  marks_[{kind, endpoint}] = {now + std::clamp(room, kMinMark, kMaxMark),
                              now + room};
}

bool FullMarks::Exclude(const std::string& kind,
                        base::MonoTime now,
                        std::vector<std::string>& excluded) {
  bool any = false;
  auto mark = marks_.lower_bound({kind, ""});
  while (mark != marks_.end() && mark->first.first == kind) {
    if (mark->second.until_ <= now) {
      mark = marks_.erase(mark);
      continue;
    }
    excluded.push_back(mark->first.second);
    any = true;
    ++mark;
  }
  return any;
}

base::Duration FullMarks::Room(const std::string& kind,
                               base::MonoTime now) const {
  base::Duration least{0};
  for (auto mark = marks_.lower_bound({kind, ""});
       mark != marks_.end() && mark->first.first == kind; ++mark) {
    const base::Duration room = mark->second.room_ - now;
    if (mark->second.until_ > now && room.count() > 0) {
      least = least.count() == 0 ? room : std::min(least, room);
    }
  }
  return least;
}

}  // namespace buckthorngate::request
