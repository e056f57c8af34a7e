// Packs configuration snapshots with zlib, through protobuf's streams.
#include "config/snapshot_codec.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <cstdint>
#include <string>
#include <utility>

namespace buckthorngate::config {
namespace {

namespace io = google::protobuf::io;

// The fastest level of zlib, since control hosts have little processor time.
constexpr int kCompressionLevel = 1;

}  // namespace

rpc::ConfigSnapshot PackSnapshot(rpc::ConfigSnapshot snapshot) {
  if (snapshot.ByteSizeLong() < kMinPackedBytes) {
    return snapshot;
  }
  rpc::ConfigSnapshot packed;
  packed.set_revision(snapshot.revision());
  packed.set_digest(snapshot.digest());
  io::StringOutputStream bytes(packed.mutable_packed());
  io::GzipOutputStream::Options options;
  options.format = io::GzipOutputStream::ZLIB;
  options.compression_level = kCompressionLevel;
  io::GzipOutputStream compressed(&bytes, options);
  const bool written =
      snapshot.SerializeToZeroCopyStream(&compressed) && compressed.Close();
  return written ? std::move(packed) : std::move(snapshot);
}

tl::expected<rpc::ConfigSnapshot, ResultCode> UnpackSnapshot(
    const rpc::ConfigSnapshot& snapshot) {
  if (snapshot.packed().empty()) {
    return snapshot;
  }
  io::ArrayInputStream bytes(snapshot.packed().data(),
                             static_cast<int>(snapshot.packed().size()));
  io::GzipInputStream decompressed(&bytes, io::GzipInputStream::ZLIB);
  io::LimitingInputStream limited(&decompressed,
                                  static_cast<int64_t>(kMaxUnpackedBytes));
  rpc::ConfigSnapshot unpacked;
  const bool valid = unpacked.ParseFromZeroCopyStream(&limited) &&
                     unpacked.revision() == snapshot.revision() &&
                     unpacked.digest() == snapshot.digest() &&
                     unpacked.packed().empty();
  if (!valid) {
    return tl::unexpected(ResultCode::kSnapshotDigestWrong);
  }
  return unpacked;
}

}  // namespace buckthorngate::config
