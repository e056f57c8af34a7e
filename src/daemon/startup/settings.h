// The daemon's settings. They are validated completely before any port is
// opened.
#ifndef SRC_DAEMON_STARTUP_SETTINGS_H_
#define SRC_DAEMON_STARTUP_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/events.h"
#include "config/problem.h"
#include "rpc/mesh_transport.h"

namespace buckthorngate::daemon::startup {

struct RelayAddress {
  std::string address_;
  std::string zone_;
};

// Bounds that a deployment sets on the quotas of client accounts, over all
// daemons: in any window, an account's requests may exceed its rate times the
// window plus its burst by the share `overage_` and by `slack_` requests.
struct QuotaBounds {
  std::chrono::milliseconds window_{5000};
  double overage_ = 0.0;
  double slack_ = 0.0;
};

// Bound that a deployment sets on requests to a cold upstream: in any second at
// most the tolerated rate times `over_` plus `slack_`.
struct ColdStartBounds {
  double over_ = 1.0;
  double slack_ = 0.0;
};

// How requests are ordered and refused under overload: by precedence class, or
// by the value of their answers for each unit of work.
enum class OverloadMode : uint8_t { kPrecedence, kValue };

struct Settings {
  std::string host_ = "local";
  std::string zone_ = "local";
  bool source_ = true;
  bool relay_ = true;
  bool proxy_ = true;
  std::string data_folder_;
  // The service that runs on this daemon's host; sent to upstreams as the
  // caller's service.
  std::string service_;
  // The address at which that upstream serves. Announcements of other addresses
  // are refused; empty: those of any address of this host are accepted.
  std::string upstream_address_;

  std::string control_address_ = "127.0.0.1:7400";
  std::string callers_address_ = "127.0.0.1:7401";
  std::string peers_address_ = "127.0.0.1:7402";
  std::string admin_address_ = "127.0.0.1:7403";
  // Whether the settings contain the admin address. A daemon without a proxy
  // starts its admin server only then, because it may share a host with a
  // daemon that has a proxy and uses the default address.
  bool admin_configured_ = false;

  std::string source_id_;
  // The source joins an existing consensus group as a learner.
  bool source_joins_ = false;
  std::string relay_id_;
  std::map<std::string, std::string> sources_;  // Identity to address.
  std::map<std::string, RelayAddress> relays_;

  // Control addresses of control hosts, as an alternative to sources_ and
  // relays_: the hosts then discover each other and repair their membership
  // automatically.
  std::vector<std::string> seeds_;
  // The whole system starts for the first time: the seeds become the initial
  // voters.
  bool first_start_ = false;
  // With seeds: sources that may be lost at the same time. There are 2n + 1
  // voters for n of them, three at least.
  size_t tolerated_losses_ = 1;

  // All availability zones; orders that name another one are refused. Empty:
  // the zones are not known.
  std::vector<std::string> zones_;
  // A key of a client account is refused everywhere within this time after its
  // removal was acknowledged, also on hosts that are cut off. 0: no such bound.
  std::chrono::milliseconds revocation_bound_{0};
  // An accepted configuration is in force on each host in contact with the
  // control hosts within this time. 0: no such bound.
  std::chrono::milliseconds apply_bound_{0};
  QuotaBounds quotas_;
  ColdStartBounds cold_start_;
  // Bandwidth of this host's link in Mbit/s; 0: not known.
  double link_mbps_ = 0.0;
  OverloadMode overload_mode_ = OverloadMode::kPrecedence;

  // Settings of an adapter to a platform; the daemon itself ignores them.
  std::map<std::string, std::string> adapter_;

  rpc::TlsOptions tls_;
  base::LogFormat log_format_ = base::LogFormat::kText;

  // An upstream's announcement expires after this time.
  std::chrono::milliseconds announce_lease_{3000};
  // Time limit for completing requests in flight when the daemon stops.
  std::chrono::milliseconds drain_time_{60'000};
};

// Ranges of settings.
inline constexpr int64_t kMinAnnounceLeaseMs = 500;
inline constexpr int64_t kMaxAnnounceLeaseMs = 600'000;
inline constexpr int64_t kMinDrainTimeMs = 1000;
inline constexpr int64_t kMaxDrainTimeMs = 3'600'000;
inline constexpr int64_t kMaxToleratedLosses = 3;
inline constexpr double kMaxBoundSeconds = 3600.0;
inline constexpr double kMaxBoundRequests = 1e9;
inline constexpr double kMaxLinkMbps = 1e6;
// Range of http_threads and exchange_threads, which are validated but have no
// effect: one event loop serves all connections.
inline constexpr int64_t kMinThreads = 4;
inline constexpr int64_t kMaxThreads = 4096;

// Parses and validates settings; errors are added to `problems`.
Settings ParseSettings(std::string_view text,
                       const std::string& file,
                       config::Problems& problems);

// Fills in derived defaults: a daemon with the source or relay role and no
// listed sources or relays uses its own.
void CompleteSettings(Settings& settings);

// Whether the address is "IP:port" with a numeric IPv4 address.
bool IsIpAddress(const std::string& address);
bool IsLoopback(const std::string& address);
// The two parts of "IP:port".
std::string HostOf(const std::string& address);
int PortOf(const std::string& address);

}  // namespace buckthorngate::daemon::startup

#endif  // SRC_DAEMON_STARTUP_SETTINGS_H_
