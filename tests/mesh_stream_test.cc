// The bounded write queue of a stream between processes.
#define BOOST_TEST_MODULE mesh_stream
#include <boost/test/unit_test.hpp>

#include <string>

#include "rpc/mesh_stream.h"

namespace buckthorngate::tests {
namespace {

// A stream whose writes end when the test says so.
class HeldStream : public rpc::MeshStream {
 public:
  void EndWrite() { OnWritten(true); }
  size_t Written() const { return written_; }

 private:
  void StartWriteOf(const rpc::Envelope&, bool) override { ++written_; }
  void EndStream() override {}

  size_t written_ = 0;
};

rpc::Envelope MessageOf(size_t bytes) {
  rpc::Envelope envelope;
  envelope.mutable_claim_reply()->set_key(std::string(bytes, 'k'));
  return envelope;
}

// Guards against a control host that runs out of memory because a receiver
// doesn't read: the number of queued messages was bounded, but not their bytes.
BOOST_AUTO_TEST_CASE(TheBytesThatWaitForAReceiverAreBounded) {
  constexpr size_t kMessageBytes = size_t{1024} * 1024;
  HeldStream stream;
  size_t accepted = 0;
  for (int i = 0; i < 100; ++i) {
    accepted += stream.Send(MessageOf(kMessageBytes)) ? 1 : 0;
  }
  // One is being written.
  BOOST_TEST((accepted - 1) * kMessageBytes <= rpc::kMaxQueuedBytes);
  BOOST_TEST(accepted >= 4u);
  for (size_t i = 0; i < accepted; ++i) {
    stream.EndWrite();
  }
  BOOST_TEST(stream.Written() == accepted);
  BOOST_TEST(stream.Send(MessageOf(kMessageBytes)));
}

// A message beyond the limit is still sent, when nothing else waits.
BOOST_AUTO_TEST_CASE(AMessageThatIsLargerThanTheLimitIsSentAlone) {
  HeldStream stream;
  BOOST_TEST(stream.Send(MessageOf(1)));
  BOOST_TEST(stream.Send(MessageOf(rpc::kMaxQueuedBytes + 1)));
  BOOST_TEST(!stream.Send(MessageOf(1)));
  stream.EndWrite();
  BOOST_TEST(stream.Written() == 2u);
  BOOST_TEST(stream.Send(MessageOf(1)));
}

}  // namespace
}  // namespace buckthorngate::tests
