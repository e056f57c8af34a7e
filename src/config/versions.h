// Look-up of a version in a service's list.
#ifndef SRC_CONFIG_VERSIONS_H_
#define SRC_CONFIG_VERSIONS_H_

#include <algorithm>
#include <string>

#include "mesh.pb.h"

namespace buckthorngate::config {

inline bool HasVersion(const rpc::Service& service,
                       const std::string& version) {
  return std::find(service.versions().begin(), service.versions().end(),
                   version) != service.versions().end();
}

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_VERSIONS_H_
