// The daemon's settings, checked as a whole before any port opens.
#ifndef SRC_DAEMON_SETTINGS_H_
#define SRC_DAEMON_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

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

  std::string control_address_ = "127.0.0.1:7400";
  std::string callers_address_ = "127.0.0.1:7401";
  std::string peers_address_ = "127.0.0.1:7402";
  std::string admin_address_ = "127.0.0.1:7403";

  std::string source_id_;
  bool source_joins_ = false;
  std::string relay_id_;
  std::map<std::string, std::string> sources_;  // Identity to address.
  std::map<std::string, RelayAddress> relays_;

  rpc::TlsOptions tls_;
  base::LogFormat log_format_ = base::LogFormat::kText;

  // Bounds of shared costs.
  uint32_t http_threads_ = 256;
  uint32_t exchange_threads_ = 256;
};

// Limits of settings.
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
std::string HostOf(const std::string& address);
int PortOf(const std::string& address);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_SETTINGS_H_
