// Log lines on the way of configuration updates from a parent to a subscriber.
#ifndef SRC_DISTRIBUTION_UPDATE_LOG_H_
#define SRC_DISTRIBUTION_UPDATE_LOG_H_

#include <cstdint>
#include <string>

#include "mesh.pb.h"

namespace buckthorngate::distribution {

// "snapshot" or "delta".
std::string UpdateKind(const rpc::Envelope& update);

void LogResume(const std::string& to, const rpc::Resume& resume);

// An update that does not answer the Resume with the number `last_resume`.
void LogUpdateIgnored(const rpc::Envelope& update, uint64_t last_resume);

// The heartbeat in `envelope` shows that an update above `held` is lost.
void LogUpdateLost(const rpc::Envelope& envelope, uint64_t held);

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_UPDATE_LOG_H_
