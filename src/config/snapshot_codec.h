// Packs configuration snapshots for their way to subscribers.
//
// The routes of a mesh resemble each other, so a packed snapshot takes a
// fraction of the bytes.
#ifndef SRC_CONFIG_SNAPSHOT_CODEC_H_
#define SRC_CONFIG_SNAPSHOT_CODEC_H_

#include <cstddef>

#include <tl/expected.hpp>

#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Snapshots smaller than this stay as they are.
inline constexpr size_t kMinPackedBytes = size_t{4} * 1024;
// A packed snapshot that would take more memory than this is refused.
inline constexpr size_t kMaxUnpackedBytes = size_t{64} * 1024 * 1024;

// Returns the snapshot packed, or unchanged if it is small.
rpc::ConfigSnapshot PackSnapshot(rpc::ConfigSnapshot snapshot);

// Undoes PackSnapshot; accepts snapshots that are not packed. Errors:
// kSnapshotDigestWrong if the packed bytes are no snapshot, or are not the one
// that revision and digest name.
tl::expected<rpc::ConfigSnapshot, ResultCode> UnpackSnapshot(
    const rpc::ConfigSnapshot& snapshot);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_SNAPSHOT_CODEC_H_
