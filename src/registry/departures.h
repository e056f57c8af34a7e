// Departures of upstreams: which of them have reported that they leave.
//
// A departure belongs to one start of an upstream and outlives the start of the
// daemon that received the report: relays sync it to their journals and return
// it to a daemon that has restarted. Otherwise a heartbeat that was sent before
// the departure and arrives after the restart would bring the upstream back.
#ifndef SRC_REGISTRY_DEPARTURES_H_
#define SRC_REGISTRY_DEPARTURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// How long a departure is kept. Heartbeats arrive seconds late at most.
inline constexpr std::chrono::minutes kDepartureLifetime{10};
// Bound of the list; the entry that expires first makes room.
inline constexpr size_t kMaxDepartures = 4096;

class Departures {
 public:
  // Adds a departure. Returns false if the list has the same or a later one of
  // the instance: of a later start, or a deregistration instead of a drain. One
  // of only one start is compared with those of the same start only.
  bool Record(const rpc::Departure& departure);

  // The departure that applies to this start of the instance, or null: one of
  // this start, or of a later one unless it is of only that start. A report
  // without a start time applies to starts without one.
  const rpc::Departure* Find(const std::string& host,
                             const std::string& instance,
                             int64_t started_ms) const;

  std::vector<rpc::Departure> All() const;
  std::vector<rpc::Departure> OfHost(const std::string& host) const;

  // Removes expired entries.
  void Expire(base::WallTime now);

 private:
  // Host, instance, and the start of a departure of only one start, else 0.
  using Key = std::tuple<std::string, std::string, int64_t>;

  static Key KeyOf(const rpc::Departure& departure);
  const rpc::Departure* Lookup(const Key& key) const;
  void DropFirstToExpire();

  // Invariant: one entry per key, the latest that was recorded.
  std::map<Key, rpc::Departure> entries_;
};

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_DEPARTURES_H_
