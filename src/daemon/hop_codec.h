// Hops between daemons as HTTP messages.
#ifndef SRC_DAEMON_HOP_CODEC_H_
#define SRC_DAEMON_HOP_CODEC_H_

#include <tl/expected.hpp>

#include "daemon/hop.h"
#include "daemon/refusal.h"

namespace buckthorngate::daemon {

// Head of the message to the destination's daemon.
http::RequestHead EncodeHopRequest(const HopRequest& request,
                                   base::MonoTime now);
// Error: kMalformed. The body, cancellation and `still_wanted_` are left out.
tl::expected<HopRequest, ResultCode> DecodeHopRequest(
    const http::RequestHead& head,
    base::MonoTime now);

// Puts what the entry must know into the answer's headers; a failure becomes
// an answer of the daemon's own.
void EncodeHopAnswer(const HopRequest& request, HopAnswer& answer);
// Takes it out again.
void DecodeHopAnswer(HopAnswer& answer);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_HOP_CODEC_H_
