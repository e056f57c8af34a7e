// A control host loses its disk right after an acknowledgement while all other
// hosts lose power, those without a disk of their own among them.
#define BOOST_TEST_MODULE lost_disk_fleet
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "config/publication.h"
#include "fleet_mesh.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 3;
constexpr int kDaemons = 9;
constexpr base::Duration kRecoveryTime = seconds(15);

class Fleet {
 public:
  explicit Fleet(uint64_t seed) : fleet_(Options(seed)) {
    fleet_.Run(seconds(8));
  }

  // Publishes the next change; returns whether it was acknowledged in time.
  bool Publish() {
    distribution::SourceNode* const leader = fleet_.Leader();
    if (leader == nullptr) {
      return false;
    }
    ++number_;
    const uint64_t ticket = leader->Publish(
        MakePublication(number_, {MakeService("a", std::to_string(number_))}),
        fleet_.Net().Now());
    for (int step = 0; step < 300; ++step) {
      fleet_.Run(milliseconds(10));
      for (const distribution::PublishResult& result :
           leader->TakePublishResults()) {
        if (result.ticket_ == ticket && result.reply_.result_code() == 0) {
          acked_ = result.reply_.revision();
          return true;
        }
      }
    }
    return false;
  }

  // All hosts lose power at this moment, and `lost` its disk as well.
  void LosePower(int lost) {
    for (int host = 1; host <= kZones; ++host) {
      fleet_.StopControlHost(host);
    }
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      fleet_.StopDaemon(daemon);
    }
    fleet_.Run(milliseconds(900));
    for (int host = 1; host <= kZones; ++host) {
      fleet_.StartControlHost(host, /*lose_disk=*/host == lost);
    }
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      fleet_.StartDaemon(daemon);
    }
  }

  // The first daemon that serves something older than was acknowledged; 0:
  // none.
  int ServesOlder() {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      const distribution::ProxyNode& node = fleet_.Daemon(daemon);
      if (node.MayServe() && node.Config().Revision() < acked_) {
        return daemon;
      }
    }
    return 0;
  }
  bool AllServe() {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      if (!fleet_.Daemon(daemon).MayServe()) {
        return false;
      }
    }
    return true;
  }
  bool LeaderHasAll() {
    distribution::SourceNode* const leader = fleet_.Leader();
    return leader != nullptr && leader->State().Config().Revision() >= acked_;
  }
  FleetMesh& Mesh() { return fleet_; }

 private:
  static FleetOptions Options(uint64_t seed) {
    FleetOptions options;
    options.zones_ = kZones;
    options.control_hosts_per_zone_ = 1;
    options.daemons_ = kDaemons;
    options.tolerated_losses_ = 1;
    options.seed_ = seed;
    return options;
  }

  FleetMesh fleet_;
  uint64_t number_ = 0;
  uint64_t acked_ = 0;
};

// Guards against an acknowledged change that only the lost disk had, and
// against a daemon that starts again with an older configuration than its zone
// had.
BOOST_AUTO_TEST_CASE(NothingAcknowledgedIsLostAndNothingOlderIsServed) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Fleet fleet(seed);
    for (uint64_t change = 0; change < 1 + seed % 3; ++change) {
      BOOST_REQUIRE_MESSAGE(fleet.Publish(), "seed " << seed);
    }
    const int lost = static_cast<int>(seed % kZones) + 1;
    fleet.LosePower(lost);
    base::Duration waited{0};
    while (waited < kRecoveryTime &&
           !(fleet.AllServe() && fleet.LeaderHasAll())) {
      fleet.Mesh().Run(milliseconds(20));
      waited += milliseconds(20);
      BOOST_REQUIRE_MESSAGE(
          fleet.ServesOlder() == 0,
          "seed " << seed << ", daemon " << fleet.ServesOlder());
    }
    BOOST_TEST(fleet.AllServe(), "seed " << seed);
    BOOST_TEST(fleet.LeaderHasAll(), "seed " << seed);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
