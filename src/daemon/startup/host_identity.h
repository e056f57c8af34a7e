// The persistent identity of a control host that discovers the others by seeds.
#ifndef SRC_DAEMON_STARTUP_HOST_IDENTITY_H_
#define SRC_DAEMON_STARTUP_HOST_IDENTITY_H_

#include <string>

#include <tl/expected.hpp>

#include "buckthorngate/result_code.h"
#include "daemon/startup/settings.h"
#include "mesh.pb.h"

namespace buckthorngate::daemon::startup {

struct HostIdentity {
  std::string host_id_;
  // The initial voters of the consensus group, if this host is one of them;
  // else empty.
  rpc::Membership first_members_;
};

// Reads the identity from the data folder, or creates one and syncs it to disk
// before anything else is written. A host without stored state becomes an
// initial voter only on the first start of the whole system. Otherwise it gets
// a new identity, so that it is not mistaken for the member that it was before
// it lost its disk. Errors: kStorageFailed, kStorageCorrupt.
tl::expected<HostIdentity, ResultCode> LoadHostIdentity(
    const Settings& settings);

}  // namespace buckthorngate::daemon::startup

#endif  // SRC_DAEMON_STARTUP_HOST_IDENTITY_H_
