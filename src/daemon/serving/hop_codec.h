// Encoding of hops between daemons as HTTP messages.
#ifndef SRC_DAEMON_SERVING_HOP_CODEC_H_
#define SRC_DAEMON_SERVING_HOP_CODEC_H_

#include <tl/expected.hpp>

#include "daemon/serving/hop.h"
#include "daemon/serving/refusal.h"

namespace buckthorngate::daemon::serving {

// Head of the HTTP request to the destination's daemon.
http::RequestHead EncodeHopRequest(const HopRequest& request,
                                   base::MonoTime now);
// Error: kMalformed. The body, the cancel signal and the callbacks are not set.
tl::expected<HopRequest, ResultCode> DecodeHopRequest(
    const http::RequestHead& head,
    base::MonoTime now);

// Writes the metadata for the entry side into the answer's headers. A failure
// is encoded as an error answer that the daemon generates.
void EncodeHopAnswer(const HopRequest& request, HopAnswer& answer);
// Reads the metadata from the answer's headers and removes them.
void DecodeHopAnswer(HopAnswer& answer);

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_HOP_CODEC_H_
