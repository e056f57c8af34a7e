// Checks of a publication as a whole, before anything of it is accepted.
#ifndef SRC_CONFIG_CHECK_H_
#define SRC_CONFIG_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/problem.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Checks that need no state: duplicate services and routes, unknown versions,
// conflicting options. The problem's file is the service's name.
Problems CheckServices(const std::vector<rpc::Service>& services);

// Adds kDeadlinePassed for each move whose deadline is not after `now`.
void CheckDeadlines(const std::vector<rpc::Service>& services,
                    base::WallTime now,
                    Problems& problems);

// Digest of a publication's content, independent of the order of services.
uint64_t PublicationDigest(const std::vector<rpc::Service>& services,
                           const std::vector<std::string>& lifted);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_CHECK_H_
