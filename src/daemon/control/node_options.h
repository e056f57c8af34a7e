// Builds options and journals of a control host's nodes from the daemon's
// settings.
#ifndef SRC_DAEMON_CONTROL_NODE_OPTIONS_H_
#define SRC_DAEMON_CONTROL_NODE_OPTIONS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "daemon/startup/settings.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "mesh.pb.h"
#include "storage/timed_journal.h"

namespace buckthorngate::daemon::control {

// `first_members` are the initial members from the host's identity.
distribution::SourceOptions MakeSourceOptions(
    const startup::Settings& settings,
    const rpc::Membership& first_members,
    uint64_t incarnation);

distribution::RelayOptions MakeRelayOptions(const startup::Settings& settings,
                                            uint64_t incarnation);

// The journal (write-ahead log) of a node in the daemon's data folder.
std::unique_ptr<storage::TimedJournal> MakeJournal(
    const std::string& name,
    const startup::Settings& settings);

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_NODE_OPTIONS_H_
