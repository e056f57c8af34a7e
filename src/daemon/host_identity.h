// The identity of a control host that finds the others by seeds.
#ifndef SRC_DAEMON_HOST_IDENTITY_H_
#define SRC_DAEMON_HOST_IDENTITY_H_

#include <string>

#include <tl/expected.hpp>

#include "buckthorngate/result_code.h"
#include "daemon/settings.h"
#include "mesh.pb.h"

namespace buckthorngate::daemon {

struct HostIdentity {
  std::string host_id_;
  // The first voters, if this host is one of them; else empty.
  rpc::Membership first_members_;
};

// Reads the identity from the data folder, or chooses one and syncs it there
// before anything else is written. A host without state is a first voter only
// on the first start of the whole system; else it takes a new identity, so
// that it cannot be taken for one that lost its disk. Errors: kStorageFailed,
// kStorageCorrupt.
tl::expected<HostIdentity, ResultCode> LoadHostIdentity(
    const Settings& settings);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_HOST_IDENTITY_H_
