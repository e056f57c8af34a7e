// Settings of optional features: the bounds that a deployment sets on client
// accounts, cold upstreams, links and overload.
//
// Private to the parsing of settings.
#ifndef SRC_DAEMON_STARTUP_SETTINGS_BOUNDS_H_
#define SRC_DAEMON_STARTUP_SETTINGS_BOUNDS_H_

#include <string>

#include "config/problem.h"
#include "config/toml_reader.h"
#include "daemon/startup/settings.h"

namespace buckthorngate::daemon::startup {

// Parses the tables [revocation], [quotas], [cold_start], [link] and
// [overload], each of which may be missing. Errors are added to `problems`.
void ParseBounds(config::TomlReader& reader,
                 const std::string& file,
                 config::Problems& problems,
                 Settings& settings);

}  // namespace buckthorngate::daemon::startup

#endif  // SRC_DAEMON_STARTUP_SETTINGS_BOUNDS_H_
