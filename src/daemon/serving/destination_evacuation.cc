// The destination's gate while the availability zone of this host is evacuated.
// An entry that has not learned of the evacuation yet is refused here.
#include "base/events.h"
#include "daemon/serving/destination_upstream.h"

namespace buckthorngate::daemon::serving {

void Destination::SetEvacuated(bool evacuated) {
  evacuated_ = evacuated;
  board_.DaemonMetrics().SetZoneEvacuated(evacuated);
  const base::MonoTime now = clock_.Read().mono_;
  if (!evacuated) {
    for (const auto& [id, limiter] : cold_limiters_) {
      limiter->NoteReturn(now);
    }
    for (const auto& [id, upstream] : upstreams_) {
      NoteTemperature(*upstream);
    }
    return;
  }
  for (const auto& [id, upstream] : upstreams_) {
    upstream->admission_.RefuseWaiting();
    upstream->NotifyDequeued(now);
    for (const auto& [ticket, waiter] : upstream->cold_waiters_) {
      waiter->dequeued_.Notify();
    }
  }
}

}  // namespace buckthorngate::daemon::serving
