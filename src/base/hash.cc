// Deterministic serialization of protobuf messages, for digests.
#include "base/hash.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace buckthorngate::base {

std::string SerializeDeterministic(
    const google::protobuf::MessageLite& message) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::io::CodedOutputStream coded(&stream);
  coded.SetSerializationDeterministic(true);
  message.SerializeToCodedStream(&coded);
  coded.Trim();
  return bytes;
}

}  // namespace buckthorngate::base
