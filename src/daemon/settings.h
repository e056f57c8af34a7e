// The daemon's settings, checked as a whole before any port opens.
#ifndef SRC_DAEMON_SETTINGS_H_
#define SRC_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/events.h"
#include "config/problem.h"
#include "rpc/mesh_transport.h"

namespace buckthorngate::daemon {

struct RelayAddress {
  std::string address_;
  std::string zone_;
};

struct Settings {
  std::string host_ = "local";
  std::string zone_ = "local";
  bool source_ = true;
  bool relay_ = true;
  bool proxy_ = true;
  std::string data_folder_;
  // The service beside this daemon, which upstreams are told as the caller's.
  std::string service_;

  std::string control_address_ = "127.0.0.1:7400";
  std::string callers_address_ = "127.0.0.1:7401";
  std::string peers_address_ = "127.0.0.1:7402";
  std::string admin_address_ = "127.0.0.1:7403";
  // Whether the settings name the admin address. A daemon without a proxy has
  // admin pages only then: such daemons may share a host with one that has.
  bool admin_told_ = false;

  std::string source_id_;
  bool source_joins_ = false;
  std::string relay_id_;
  std::map<std::string, std::string> sources_;  // Identity to address.
  std::map<std::string, RelayAddress> relays_;

  // Control addresses of control hosts, instead of the two lists: hosts then
  // find each other and repair their membership by themselves.
  std::vector<std::string> seeds_;
  // The whole system starts for the first time: the seeds are the first voters.
  bool first_start_ = false;

  // Settings of an adapter to a platform; the daemon does not read them.
  std::map<std::string, std::string> adapter_;

  rpc::TlsOptions tls_;
  base::LogFormat log_format_ = base::LogFormat::kText;

  // How long an upstream's announcement holds.
  std::chrono::milliseconds announce_lease_{3000};
  // A daemon that stops finishes its requests within this time.
  std::chrono::milliseconds drain_time_{60'000};
};

// Limits of settings.
inline constexpr int64_t kMinAnnounceLeaseMs = 500;
inline constexpr int64_t kMaxAnnounceLeaseMs = 600'000;
inline constexpr int64_t kMinDrainTimeMs = 1000;
inline constexpr int64_t kMaxDrainTimeMs = 3'600'000;
// Of http_threads and exchange_threads, which are read and have no effect: one
// loop serves all connections.
inline constexpr int64_t kMinThreads = 4;
inline constexpr int64_t kMaxThreads = 4096;

// Parses and checks settings; whatever does not fit is added to `problems`.
Settings ParseSettings(std::string_view text,
                       const std::string& file,
                       config::Problems& problems);

// Fills in what the embedded default derives: a daemon without any listed
// source or relay is its own.
void CompleteSettings(Settings& settings);

// "IP:port" with a numeric IPv4 address.
bool IsIpAddress(const std::string& address);
bool IsLoopback(const std::string& address);
std::string HostOf(const std::string& address);
int PortOf(const std::string& address);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_SETTINGS_H_
