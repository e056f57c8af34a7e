// Delivery of the departures of this host's upstreams to relays.
//
// A proxy has no disk, so a departure that only it knows ends with its process.
// Relays sync departures to their journals. The processes of all relays may be
// killed at once, and one relay may be lost, so a departure counts as stored
// only once a majority of the relays that the proxy follows has synced it: a
// proxy that starts waits for a majority of them, too, and at least one relay
// is in both.
#ifndef SRC_DISTRIBUTION_DEPARTURE_DELIVERY_H_
#define SRC_DISTRIBUTION_DEPARTURE_DELIVERY_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "base/node.h"
#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// How many of so many relays are a majority.
constexpr size_t MajorityOf(size_t relays) {
  return relays / 2 + 1;
}

// How many relays hold a departure, of those that the proxy follows.
struct DepartureHolders {
  size_t stored_by_ = 0;
  size_t relays_ = 0;
};

class DepartureDelivery {
 public:
  void Add(rpc::Departure departure, const base::Now& now);
  // Sends each departure to those of the relays that have not stored it yet,
  // some time after the last try.
  void Send(const std::string& self,
            const std::vector<std::string>& relays,
            const base::Now& now,
            base::Outbox& outbox);
  void OnStored(const std::string& relay, const rpc::Departure& stored);
  // A relay has told of a departure that an earlier start of this daemon was
  // told of. Others may lack it.
  void OnReported(const std::string& relay,
                  const rpc::Departure& reported,
                  const base::Now& now);

  // Whether a majority of the relays has stored all departures of the instance
  // that were added. Never while the list is full: one may be missing.
  bool Stored(const std::string& instance,
              const std::vector<std::string>& relays) const;
  // How many of the relays have stored the departure of the instance that the
  // fewest of them have; all of them if there is none.
  size_t StoredBy(const std::string& instance,
                  const std::vector<std::string>& relays) const;

 private:
  struct Entry {
    rpc::Departure departure_;
    std::set<std::string> stored_by_;
    base::MonoTime next_send_;

    size_t StoredBy(const std::vector<std::string>& relays) const;
    bool HasMajority(const std::vector<std::string>& relays) const;
  };

  Entry* Find(const rpc::Departure& departure);
  // Ends entries that all relays have stored, or a majority for their lifetime.
  void DropDelivered(const std::vector<std::string>& relays,
                     const base::Now& now);

  // Invariant: kMaxDepartures at most.
  std::vector<Entry> entries_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_DEPARTURE_DELIVERY_H_
