// init: writes commented example files.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "cli/commands.h"

namespace buckthorngate::cli {
namespace {

constexpr char kServiceFile[] =
    R"(# A service: its routes, the versions of its upstream, and a wanted move.
service = "catalogue"
# Versions that may run, and the one that serves now.
versions = ["v1", "v2"]
version = "v1"
# Retries are at most this share of the first tries, in percent (0 to 18).
retry_percent = 18

[[route]]
name = "pages"
host = "*"            # or one host name
path = "/catalogue"   # longest prefix of whole segments wins
methods = ["GET", "HEAD"]
timeout_ms = 2000
repeatable = true     # may be sent again
hedge = true          # a late read is sent to a second endpoint
max_concurrency = 100 # at once through one daemon; 0: only slots bound it

[[route]]
name = "order"
path = "/catalogue/order"
methods = ["POST"]
timeout_ms = 5000
at_most_once = true                # never runs twice
key = "header:Idempotency-Key"     # or "digest"

[[route]]
name = "scan"
path = "/catalogue/scan"
methods = ["POST"]
timeout_ms = 10000
large_body = true     # large request bodies; sent to one endpoint only

# Uncomment to move traffic to v2 by the deadline.
# [move]
# to = "v2"
# deadline = 2030-01-31T12:00:00Z
# unproven_share = 5.0   # percent, until the first proof
# policy = "balanced"    # cautious, balanced or fast
)";

constexpr char kSettingsFile[] =
    R"(# Settings of one daemon.
host = "host-1"
zone = "zone-a"
roles = ["source", "relay", "proxy"]
data_folder = "/var/lib/buckthorngate"
log_format = "text"   # or "json"
source_id = "source-1"
relay_id = "relay-a"

[listen]
control = "127.0.0.1:7400"   # between daemons, and for the tool
callers = "127.0.0.1:7401"   # HTTP of callers
peers = "127.0.0.1:7402"     # HTTP of other daemons
admin = "127.0.0.1:7403"     # announcements, /metrics, /healthz, /readyz

[sources]
source-1 = "127.0.0.1:7400"

[relays]
relay-a = { address = "127.0.0.1:7400", zone = "zone-a" }

# [tls]
# ca = "ca.pem"
# cert = "host-1.pem"
# key = "host-1.key"

[limits]
http_threads = 256
exchange_threads = 256
)";

bool WriteNew(const std::filesystem::path& path, const char* text) {
  if (std::filesystem::exists(path)) {
    std::cerr << path.string() << " exists and is left as it is.\n";
    return false;
  }
  std::ofstream stream(path);
  stream << text;
  std::cout << "wrote " << path.string() << "\n";
  return stream.good();
}

}  // namespace

int Init(const Options& options) {
  const std::filesystem::path folder(options.folder_);
  std::error_code error;
  std::filesystem::create_directories(folder / "services", error);
  if (error) {
    std::cerr << folder.string() << ": " << error.message() << "\n";
    return kExitBadInput;
  }
  const bool service =
      WriteNew(folder / "services" / "catalogue.toml", kServiceFile);
  const bool settings = WriteNew(folder / "buckthorngated.toml", kSettingsFile);
  return service && settings ? kExitOk : kExitRefused;
}

}  // namespace buckthorngate::cli
